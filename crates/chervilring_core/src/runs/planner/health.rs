//! Whether an upstream is fit for work, by how its runs end.
//!
//! The load that this answers: an upstream fails all that it starts, or lets it stand still, and
//! looks idle and inviting for it. Jobs that can never be done fail everywhere, a few on each
//! upstream, and must not make all of them look sick.

use chervilring_wire::{Micros, Time};

/// How much of the past is kept with each ended run.
const KEEP: f64 = 0.8;

/// The share of bad ends from which an upstream is out.
const SICK_SHARE: f64 = 0.5;

/// Bad ends, fading with each run, below which it is not.
const SICK_COUNT: f64 = 1.7;

/// How long it is out at first.
const FIRST_OUT: Micros = Micros::from_millis(1_500);

/// How long it is out at most.
const LAST_OUT: Micros = Micros::from_secs(6);

/// The health of an upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    good: f64,
    bad: f64,
    /// Until when nothing is sent there; after that a run at a time, until one is good.
    out: Option<Time>,
    span: Micros,
}

impl Health {
    /// Takes in a run that was done.
    pub fn good(&mut self) {
        self.good = self.good * KEEP + 1.0;
        self.bad *= KEEP;
        if self.out.take().is_some() {
            self.bad = 0.0;
            self.span = Micros(self.span.0 / 2);
        }
    }

    /// Takes in a run that failed or stood still; returns whether the upstream is out by it.
    pub fn bad(&mut self, now: Time) -> bool {
        self.bad = self.bad * KEEP + 1.0;
        self.good *= KEEP;
        let share = self.bad / (self.good + self.bad);
        let sick = self.bad >= SICK_COUNT && share >= SICK_SHARE;
        if !sick && self.out.is_none() {
            return false;
        }
        let fresh = self.out.is_none_or(|out| now >= out);
        if fresh {
            self.span = Micros((self.span.0 * 2).clamp(FIRST_OUT.0, LAST_OUT.0));
            self.out = Some(now + self.span);
        }
        fresh
    }

    /// Returns how many runs of one planner it may have at once; `None` for any number.
    pub fn limit(&self, now: Time) -> Option<u32> {
        self.out.map(|out| u32::from(now >= out))
    }
}
