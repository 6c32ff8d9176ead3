//! Notices that the process has stood still.

use chervilring_core::runs::PAUSE_LIMIT;
use chervilring_wire::Micros;

use crate::net::Clock;

/// Watches the time between looks, on the clock that goes on while a host is suspended.
#[derive(Debug)]
pub(super) struct PauseWatch {
    last: Micros,
}

impl PauseWatch {
    pub(super) fn new(clock: &Clock) -> Self {
        Self {
            last: clock.since_boot(),
        }
    }

    /// Returns how long the process stood still, if it was longer than its beliefs last.
    ///
    /// It must be asked more often than that.
    pub(super) fn look(&mut self, clock: &Clock) -> Option<Micros> {
        let now = clock.since_boot();
        let span = Micros(now.0.saturating_sub(self.last.0));
        self.last = now;
        (span > PAUSE_LIMIT).then_some(span)
    }
}
