//! The lease of an upstream, on its own clock.

use chervilring_wire::{Micros, Time};

/// By how much the upstream's clock may be slow, as a share.
const SLOW_CLOCK: f64 = 0.02;

/// What is known of an upstream's clock and of the lease that it was given.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lease {
    /// A reading of its clock, in milliseconds, and when that came in.
    read: Option<(u64, Time)>,
    /// The furthest end that was sent, in milliseconds of its clock.
    end: u64,
}

impl Lease {
    /// Takes in a reading of the clock; an older one that comes late is ignored.
    pub fn read(&mut self, now: Time, clock: u64) {
        if self.read.is_none_or(|(last, _)| clock >= last) {
            self.read = Some((clock, now));
        }
    }

    /// Returns the end of a lease of `span` from now, to be sent to the upstream; `None` as long as
    /// its clock has not been read.
    pub fn extend(&mut self, now: Time, span: Micros) -> Option<u64> {
        let (clock, at) = self.read?;
        let end = clock + (now.since(at) + span).as_millis();
        self.end = self.end.max(end);
        Some(end)
    }

    /// Returns when the lease has surely ended, however slow the upstream's clock is.
    pub fn over(&self) -> Time {
        let Some((clock, at)) = self.read else {
            return Time::NEVER;
        };
        let left = self.end.saturating_sub(clock) as f64 / (1.0 - SLOW_CLOCK);
        at + Micros::from_millis(left.ceil() as u64 + 1)
    }
}
