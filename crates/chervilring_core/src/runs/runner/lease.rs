//! The lease of an upstream, measured on the upstream's own clock.

use chervilring_wire::{Micros, Time};

use crate::runs::bounds::MAX_END_DELAY;

/// The fraction by which the upstream's clock may be slow.
const SLOW_CLOCK: f64 = 0.02;

/// What a slow clock may have lost since it was last read, and what is lost by rounding.
const CLOCK_DRIFT: Micros = Micros::from_millis(4);

/// The last reading of an upstream's clock, and the lease granted to it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lease {
    /// The last reading of its clock, in milliseconds, and when the reading arrived.
    reading: Option<(u64, Time)>,
    /// The latest end of the lease that was sent, in milliseconds of its clock.
    latest_end: u64,
    /// The lease does not expire before this point, whatever the clock says.
    earliest_expiry: Time,
}

impl Lease {
    /// Records a reading of the clock. An older one that arrives late is ignored.
    pub fn record_clock(&mut self, now: Time, clock: u64) {
        if self.reading.is_none_or(|(last, _)| clock >= last) {
            self.reading = Some((clock, now));
        }
    }

    /// Returns the end of a lease of this duration from now, to be sent to the upstream; `None`
    /// until its clock has been read.
    pub fn extend(&mut self, now: Time, duration: Micros) -> Option<u64> {
        let (clock, at) = self.reading?;
        let end = clock.saturating_add((now.duration_since(at) + duration).as_millis());
        self.latest_end = self.latest_end.max(end);
        Some(end)
    }

    /// Returns the longest duration of a lease that has certainly expired after a time, however slow the
    /// upstream's clock is.
    pub fn certain_duration(&self, left: Micros) -> Micros {
        let slow = Micros((left.0 as f64 * (1.0 - SLOW_CLOCK)) as u64);
        Micros(slow.0.saturating_sub(CLOCK_DRIFT.0))
    }

    /// Defers the expiry by the longest possible lease. Calls that carried an end on the clock of
    /// an earlier incarnation may have been carried out by this one.
    pub fn defer_expiry(&mut self, now: Time, longest: Micros) {
        self.earliest_expiry = end_of_longest(now, longest);
    }

    /// Returns by when all runs have certainly ended if the lease is not extended from now on, also while
    /// the clock is not known.
    pub fn runs_end_by(&self, now: Time, longest: Micros) -> Time {
        self.expires_at().min(end_of_longest(now, longest)) + MAX_END_DELAY
    }

    /// Returns when the lease has certainly expired, however slow the upstream's clock is.
    pub fn expires_at(&self) -> Time {
        let Some((clock, at)) = self.reading else {
            return Time::NEVER;
        };
        let left = self.latest_end.saturating_sub(clock) as f64 / (1.0 - SLOW_CLOCK);
        let end = at + Micros::from_millis(left.ceil() as u64 + 1);
        end.max(self.earliest_expiry)
    }

    /// Returns when all runs have certainly ended with the lease: the upstream may be late with ending them.
    pub fn runs_end_at(&self) -> Time {
        self.expires_at() + MAX_END_DELAY
    }
}

/// Returns when the longest lease has certainly expired that an upstream may be granted now.
fn end_of_longest(now: Time, longest: Micros) -> Time {
    let slow = Micros((longest.0 as f64 / (1.0 - SLOW_CLOCK)) as u64);
    now + slow + Micros::from_millis(1)
}
