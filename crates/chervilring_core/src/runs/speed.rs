//! How fast an upstream is, learnt from the runs that it has done.

use chervilring_wire::Micros;
use serde::{Deserialize, Serialize};

/// How much of the past is kept with each run.
const KEEP: f64 = 0.96;

/// How many runs the assumption that an upstream has its declared speed counts for.
const PRIOR: f64 = 1.0;

/// The furthest that one run may be off, as a logarithm: declared sizes are rough.
const FURTHEST: f64 = 2.5;

/// The steps in which a speed is told, in thousandths.
const STEP: u32 = 20;

/// How many runs what is known of an earlier time counts for.
const FADED: f64 = 10.0;

/// The speed of an upstream: one where tasks take what they declare.
///
/// The mean is taken over logarithms, so that a few wrong declarations move it little.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Speed {
    weight: f64,
    sum: f64,
}

impl Speed {
    /// Learns from a run that was declared to take `size` and took `span`.
    pub fn learn(&mut self, size: Micros, span: Micros) {
        if size.0 == 0 {
            return;
        }
        let ratio = size.0 as f64 / (span.0.max(1) as f64);
        let log = ratio.ln().clamp(-FURTHEST, FURTHEST);
        self.weight = self.weight * KEEP + 1.0;
        self.sum = self.sum * KEEP + log;
    }

    /// Returns the speed.
    pub fn value(&self) -> f64 {
        (self.sum / (self.weight + PRIOR)).exp()
    }

    /// Returns the speed in thousandths, in steps: finer ones would change, and be told, with each
    /// run.
    pub fn permille(&self) -> u32 {
        let value = self.value() * 1_000.0 / f64::from(STEP);
        (value.round() as u32).max(1) * STEP
    }

    /// Returns the same speed, to be learnt anew sooner: what is known may be of an earlier time.
    pub fn faded(&self) -> Self {
        let share = (FADED / self.weight).min(1.0);
        Self {
            weight: self.weight * share,
            sum: self.sum * share,
        }
    }
}

/// Returns how long a task of a declared size is expected to run at a speed in thousandths.
pub fn run_at(permille: u32, size: Micros) -> Micros {
    Micros(size.0 * 1_000 / u64::from(permille.max(1)))
}
