//! Estimates of how fast an upstream is, from the runs that it has completed.

use chervilring_wire::Micros;
use serde::{Deserialize, Serialize};

/// The factor by which earlier samples decay with each run.
const DECAY: f64 = 0.96;

/// The weight, in runs, of the assumption that an upstream runs at speed one.
const PRIOR_WEIGHT: f64 = 1.0;

/// The limit of a single sample, as a logarithm: declared run times are rough.
const MAX_LOG_RATIO: f64 = 2.5;

/// The step to which reported speeds are rounded, in thousandths.
const PERMILLE_STEP: u32 = 20;

/// The maximum weight, in runs, of an estimate from an earlier incarnation.
const MAX_RECALLED_WEIGHT: f64 = 10.0;

/// The speed of an upstream; at speed one, tasks take their declared run time.
///
/// The mean is taken over logarithms, so that a few wrong declarations have little effect.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Speed {
    weight: f64,
    sum: f64,
}

impl Speed {
    /// Adds a sample: a run with the declared run time that took `run_time`.
    pub fn record(&mut self, declared: Micros, run_time: Micros) {
        if declared.0 == 0 {
            return;
        }
        let ratio = declared.0 as f64 / (run_time.0.max(1) as f64);
        let log = ratio.ln().clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        self.weight = self.weight * DECAY + 1.0;
        self.sum = self.sum * DECAY + log;
    }

    /// Returns the speed as a factor.
    pub fn value(&self) -> f64 {
        (self.sum / (self.weight + PRIOR_WEIGHT)).exp()
    }

    /// Returns the speed in thousandths, rounded to steps. Without them it would change, and be
    /// sent to planners, with each run.
    pub fn permille(&self) -> u32 {
        let value = self.value() * 1_000.0 / f64::from(PERMILLE_STEP);
        (value.round() as u32).max(1) * PERMILLE_STEP
    }

    /// Returns the same speed with a limited weight, so that new samples replace it sooner: the
    /// estimate may be outdated.
    pub fn decayed(&self) -> Self {
        let share = (MAX_RECALLED_WEIGHT / self.weight).min(1.0);
        Self {
            weight: self.weight * share,
            sum: self.sum * share,
        }
    }
}

/// Returns the expected run time of a task with this declared run time, at a speed in thousandths.
pub fn expected_run_time(permille: u32, declared: Micros) -> Micros {
    Micros(declared.0 * 1_000 / u64::from(permille.max(1)))
}
