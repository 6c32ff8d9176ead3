//! Run times learnt from answers, never declared.
//!
//! The logarithm of a run time is taken as the sum of what the service, the upstream and the task
//! each bring to it. Means of logarithms are little moved by the few tasks that take very long, so
//! that few answers tell fast upstreams from slow ones.

/// What a lane's own answers count against the prior, in answers.
const PRIOR_WEIGHT: f64 = 3.0;

/// How much of the past is kept with each answer.
const KEEP: f64 = 0.99;

/// How much of the past is kept with each answer in the mean over the last few.
const KEEP_SHORT: f64 = 0.8;

/// The gap between the logarithms of recent and earlier run times that shows a change.
const CHANGE: f64 = 1.2;

/// How much of a service's past is kept with each answer.
const KEEP_SERVICE: f64 = 0.998;

/// The run time assumed of a service before its first answer, in microseconds.
const FIRST_RUN: f64 = 200_000.0;

/// A mean that forgets.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Mean {
    weight: f64,
    sum: f64,
}

impl Mean {
    pub(crate) fn add(&mut self, value: f64, keep: f64) {
        self.weight = self.weight * keep + 1.0;
        self.sum = self.sum * keep + value;
    }

    /// Returns the mean, drawn towards a prior that counts as so many values.
    pub(crate) fn value(&self, prior: f64, weight: f64) -> f64 {
        (self.sum + prior * weight) / (self.weight + weight)
    }

    /// Forgets a share of what it is made of, so that the prior counts for more.
    pub(crate) fn fade(&mut self, keep: f64) {
        self.weight *= keep;
        self.sum *= keep;
    }
}

/// What is learnt of a service over all upstreams.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceSpeed {
    /// The logarithm of the run time, the upstreams' parts taken out.
    base: Mean,
    /// The mean run time over the one that the mean logarithm gives.
    skew: Mean,
}

impl ServiceSpeed {
    fn base(&self) -> f64 {
        self.base.value(FIRST_RUN.ln(), 1.0)
    }
}

/// What is learnt of an upstream over all services: the logarithm of its slowness.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HostSpeed(Mean);

impl HostSpeed {
    fn value(&self) -> f64 {
        self.0.value(0.0, PRIOR_WEIGHT)
    }
}

/// What is learnt of a service on one upstream: the logarithm of the run time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LaneSpeed {
    /// Over many answers.
    long: Mean,
    /// Over the last few answers.
    short: Mean,
}

impl LaneSpeed {
    /// Learns from an answer that took `run` microseconds.
    pub(crate) fn learn(&mut self, service: &mut ServiceSpeed, host: &mut HostSpeed, run: f64) {
        let log = run.max(1.0).ln();
        let before = self.log(service, host);
        service
            .skew
            .add((log - before).exp().min(30.0), KEEP_SERVICE);
        service.base.add(log - host.value(), KEEP_SERVICE);
        host.0.add(log - service.base(), KEEP);
        self.long.add(log, KEEP);
        self.short.add(log, KEEP_SHORT);
        let gap = self.short.value(0.0, 0.0) - self.long.value(0.0, 0.0);
        if gap.abs() > CHANGE {
            // The upstream has changed: what was learnt before no longer holds.
            self.long = self.short;
        }
    }

    /// Returns the expected run time in microseconds.
    pub(crate) fn run(&self, service: &ServiceSpeed, host: &HostSpeed) -> f64 {
        self.log(service, host).exp() * service.skew.value(1.2, 5.0)
    }

    /// Forgets most of what was learnt, after a long time without answers.
    pub(crate) fn fade(&mut self) {
        self.long.fade(0.5);
    }

    fn log(&self, service: &ServiceSpeed, host: &HostSpeed) -> f64 {
        self.long.value(service.base() + host.value(), PRIOR_WEIGHT)
    }
}
