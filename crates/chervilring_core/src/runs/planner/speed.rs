//! How fast an upstream is, learnt from the runs that it has done.

use chervilring_wire::Micros;

/// How much of the past is kept with each run.
const KEEP: f64 = 0.96;

/// How many runs the assumption that an upstream has its declared speed counts for.
const PRIOR: f64 = 1.0;

/// The furthest that one run may be off, as a logarithm: declared sizes are rough.
const FURTHEST: f64 = 2.5;

/// The speed of an upstream: one where tasks take what they declare.
///
/// The mean is taken over logarithms, so that a few wrong declarations move it little.
#[derive(Debug, Clone, Copy, Default)]
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

    /// Returns how long a task of a declared size is expected to run.
    pub fn run(&self, size: Micros) -> Micros {
        Micros((size.0 as f64 / self.value()) as u64)
    }
}
