//! The clock by which leases lapse and rates are counted.

use std::time::{Duration, Instant};

/// A clock that can be put forward.
#[derive(Debug)]
pub(super) struct Clock {
    start: Instant,
    ahead: Duration,
}

impl Clock {
    pub(super) fn new() -> Self {
        Self {
            start: Instant::now(),
            ahead: Duration::ZERO,
        }
    }

    /// Returns the span since the clock was made.
    pub(super) fn now(&self) -> Duration {
        self.start.elapsed() + self.ahead
    }

    pub(super) fn advance(&mut self, span: Duration) {
        self.ahead += span;
    }
}
