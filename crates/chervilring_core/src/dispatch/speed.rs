//! Run times learnt from answers; no run time is declared.
//!
//! The logarithm of a run time is modelled as the sum of the contributions of service, upstream and
//! task. A mean of logarithms is robust against the few tasks that take very long, so few answers
//! suffice to tell fast upstreams from slow ones.

/// Weight of the prior against a lane's own answers, in answers.
const PRIOR_WEIGHT: f64 = 3.0;

/// Factor by which earlier answers decay with each new one in the long-term mean.
const DECAY: f64 = 0.99;

/// Factor by which earlier answers decay with each new one in the recent mean.
const RECENT_DECAY: f64 = 0.8;

/// Difference between the recent and the long-term mean of logarithms that shows a change of the
/// upstream's speed.
const CHANGE_THRESHOLD: f64 = 1.2;

/// Factor by which earlier answers of a service decay with each new one.
const SERVICE_DECAY: f64 = 0.998;

/// Run time assumed for a service before its first answer, in microseconds.
const INITIAL_RUN_TIME: f64 = 200_000.0;

/// Mean with exponentially decaying weights.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingMean {
    weight: f64,
    sum: f64,
}

impl DecayingMean {
    pub(crate) fn add(&mut self, value: f64, decay: f64) {
        self.weight = self.weight * decay + 1.0;
        self.sum = self.sum * decay + value;
    }

    /// Returns the mean, with a prior that has the given weight.
    pub(crate) fn value(&self, prior: f64, weight: f64) -> f64 {
        (self.sum + prior * weight) / (self.weight + weight)
    }

    /// Reduces the weight of all values, so that the prior counts for more.
    pub(crate) fn decay(&mut self, factor: f64) {
        self.weight *= factor;
        self.sum *= factor;
    }
}

/// Run times of a service over all upstreams.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceSpeed {
    /// Logarithm of the run time, without the contributions of the upstreams.
    base: DecayingMean,
    /// Ratio of the run time to the one expected from the mean of logarithms.
    skew: DecayingMean,
}

impl ServiceSpeed {
    fn base(&self) -> f64 {
        self.base.value(INITIAL_RUN_TIME.ln(), 1.0)
    }
}

/// Slowness of an upstream over all services, as a logarithm.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct UpstreamSpeed(DecayingMean);

impl UpstreamSpeed {
    fn value(&self) -> f64 {
        self.0.value(0.0, PRIOR_WEIGHT)
    }
}

/// Run times of a service on one upstream, as logarithms.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LaneSpeed {
    /// Mean over many answers.
    long_term: DecayingMean,
    /// Mean over the last few answers.
    recent: DecayingMean,
}

impl LaneSpeed {
    /// Records an answer that took `run_time` microseconds.
    pub(crate) fn record(
        &mut self,
        service: &mut ServiceSpeed,
        upstream: &mut UpstreamSpeed,
        run_time: f64,
    ) {
        let log = run_time.max(1.0).ln();
        let expected = self.log_run_time(service, upstream);
        service
            .skew
            .add((log - expected).exp().min(30.0), SERVICE_DECAY);
        service.base.add(log - upstream.value(), SERVICE_DECAY);
        upstream.0.add(log - service.base(), DECAY);
        self.long_term.add(log, DECAY);
        self.recent.add(log, RECENT_DECAY);
        let gap = self.recent.value(0.0, 0.0) - self.long_term.value(0.0, 0.0);
        if gap.abs() > CHANGE_THRESHOLD {
            // The speed of the upstream has changed, so earlier answers no longer apply.
            self.long_term = self.recent;
        }
    }

    /// Returns the expected run time in microseconds.
    pub(crate) fn run_time(&self, service: &ServiceSpeed, upstream: &UpstreamSpeed) -> f64 {
        self.log_run_time(service, upstream).exp() * service.skew.value(1.2, 5.0)
    }

    /// Reduces the weight of earlier answers, after a long time without new ones.
    pub(crate) fn decay(&mut self) {
        self.long_term.decay(0.5);
    }

    fn log_run_time(&self, service: &ServiceSpeed, upstream: &UpstreamSpeed) -> f64 {
        self.long_term
            .value(service.base() + upstream.value(), PRIOR_WEIGHT)
    }
}
