//! The ejection of upstreams by how their runs end.
//!
//! An upstream that fails all its runs, or stalls them, looks idle and would attract more. Jobs
//! that fail everywhere cause a few failures on each upstream, which must not eject all of them.

use chervilring_wire::{Micros, Time};

/// The weight of earlier runs, applied with each ended run.
const DECAY: f64 = 0.8;

/// The share of failures from which an upstream is ejected.
const FAILURE_SHARE: f64 = 0.5;

/// The decayed number of failures from which an upstream is ejected.
const FAILURE_COUNT: f64 = 1.7;

/// The length of the first ejection.
const MIN_EJECTION: Micros = Micros::from_millis(1_500);

/// The longest ejection.
const MAX_EJECTION: Micros = Micros::from_secs(6);

/// The health of an upstream, from the outcomes of its runs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    successes: f64,
    failures: f64,
    /// The end of the ejection. After it one run at a time is allowed until a run succeeds.
    ejected_until: Option<Time>,
    ejection: Micros,
}

impl Health {
    /// Records a successful run and ends an ejection.
    pub fn record_success(&mut self) {
        self.successes = self.successes * DECAY + 1.0;
        self.failures *= DECAY;
        if self.ejected_until.take().is_some() {
            self.failures = 0.0;
            self.ejection = Micros(self.ejection.0 / 2);
        }
    }

    /// Records a run that failed or stalled. Returns whether this starts an ejection.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.failures = self.failures * DECAY + 1.0;
        self.successes *= DECAY;
        let share = self.failures / (self.successes + self.failures);
        let exceeded = self.failures >= FAILURE_COUNT && share >= FAILURE_SHARE;
        if !exceeded && self.ejected_until.is_none() {
            return false;
        }
        let is_new = self.ejected_until.is_none_or(|until| now >= until);
        if is_new {
            self.ejection = Micros((self.ejection.0 * 2).clamp(MIN_EJECTION.0, MAX_EJECTION.0));
            self.ejected_until = Some(now + self.ejection);
        }
        is_new
    }

    /// Returns how many runs of one planner the upstream may have at once, or `None` if unlimited.
    pub fn run_limit(&self, now: Time) -> Option<u32> {
        self.ejected_until.map(|until| u32::from(now >= until))
    }
}
