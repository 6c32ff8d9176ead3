//! Run times learnt from answers, never declared.
//!
//! The logarithm of a run time is taken as the sum of what the service, the upstream and the task
//! each bring to it. Means of logarithms are little moved by the few tasks that take very long, so
//! that few answers tell fast upstreams from slow ones.

/// What a lane's own answers count against the prior, in answers.
const PRIOR_WEIGHT: f64 = 3.0;

/// How much of the past is kept with each answer.
const DECAY: f64 = 0.99;

/// How much of the past is kept with each answer in the mean over the last few.
const RECENT_DECAY: f64 = 0.8;

/// The gap between the logarithms of recent and earlier run times that shows a change.
const CHANGE_THRESHOLD: f64 = 1.2;

/// How much of a service's past is kept with each answer.
const SERVICE_DECAY: f64 = 0.998;

/// The run time assumed of a service before its first answer, in microseconds.
const INITIAL_RUN_TIME: f64 = 200_000.0;

/// A mean that forgets.
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

    /// Returns the mean, drawn towards a prior that counts as so many values.
    pub(crate) fn value(&self, prior: f64, weight: f64) -> f64 {
        (self.sum + prior * weight) / (self.weight + weight)
    }

    /// Forgets a share of what it is made of, so that the prior counts for more.
    pub(crate) fn decay(&mut self, factor: f64) {
        self.weight *= factor;
        self.sum *= factor;
    }
}

/// What is learnt of a service over all upstreams.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceSpeed {
    /// The logarithm of the run time, the upstreams' parts taken out.
    base: DecayingMean,
    /// The mean run time over the one that the mean logarithm gives.
    skew: DecayingMean,
}

impl ServiceSpeed {
    fn base(&self) -> f64 {
        self.base.value(INITIAL_RUN_TIME.ln(), 1.0)
    }
}

/// What is learnt of an upstream over all services: the logarithm of its slowness.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct UpstreamSpeed(DecayingMean);

impl UpstreamSpeed {
    fn value(&self) -> f64 {
        self.0.value(0.0, PRIOR_WEIGHT)
    }
}

/// What is learnt of a service on one upstream: the logarithm of the run time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LaneSpeed {
    /// Over many answers.
    long_term: DecayingMean,
    /// Over the last few answers.
    recent: DecayingMean,
}

impl LaneSpeed {
    /// Learns from an answer that took `run` microseconds.
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
            // The upstream has changed: what was learnt before no longer holds.
            self.long_term = self.recent;
        }
    }

    /// Returns the expected run time in microseconds.
    pub(crate) fn run_time(&self, service: &ServiceSpeed, upstream: &UpstreamSpeed) -> f64 {
        self.log_run_time(service, upstream).exp() * service.skew.value(1.2, 5.0)
    }

    /// Forgets most of what was learnt, after a long time without answers.
    pub(crate) fn decay(&mut self) {
        self.long_term.decay(0.5);
    }

    fn log_run_time(&self, service: &ServiceSpeed, upstream: &UpstreamSpeed) -> f64 {
        self.long_term
            .value(service.base() + upstream.value(), PRIOR_WEIGHT)
    }
}
