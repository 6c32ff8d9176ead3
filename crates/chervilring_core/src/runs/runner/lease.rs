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
    /// Before this it is not over, whatever the clock says.
    floor: Time,
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
        let end = clock + (now.duration_since(at) + span).as_millis();
        self.end = self.end.max(end);
        Some(end)
    }

    /// Takes in that orders with ends on the clock of an earlier life may have been carried out:
    /// they hold for the longest lease that there is.
    pub fn doubt(&mut self, now: Time, longest: Micros) {
        let slow = Micros((longest.0 as f64 / (1.0 - SLOW_CLOCK)) as u64);
        self.floor = now + slow + Micros::from_millis(1);
    }

    /// Returns when the lease has surely ended, however slow the upstream's clock is.
    pub fn over(&self) -> Time {
        let Some((clock, at)) = self.read else {
            return Time::NEVER;
        };
        let left = self.end.saturating_sub(clock) as f64 / (1.0 - SLOW_CLOCK);
        let end = at + Micros::from_millis(left.ceil() as u64 + 1);
        end.max(self.floor)
    }
}
