//! How fast an upstream is at the moment, by how far its runs have got.
//!
//! The load that this answers: an upstream turns several times slower, or lets its tasks stand still.
//! What is learnt from ended runs tells so only when slow runs end; until then it looks idle and as
//! fast as before, and is sent more.

use chervilring_wire::{Micros, Time};

use super::state::{RunState, Runner};
use crate::runs::speed::Speed;

/// Before this how far a run has got says little.
const FIRST_LOOK: Micros = Micros::from_millis(30);

/// The least time of work, over all runs, from which a pace is taken: declared sizes are rough.
const LEAST_WORK: Micros = Micros::from_millis(150);

/// How many times slower than usual the runs must be for the upstream to count as slow.
const SLOWER: f64 = 2.5;

/// How long an upstream counts as slow after that was last seen.
const MEMORY: Micros = Micros::from_secs(1);

/// The least speed that is told.
const LEAST: f64 = 0.02;

/// A pace much below the usual one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SlowPace {
    speed: f64,
    until: Time,
}

impl Runner {
    /// Takes in how far runs have got.
    pub(super) fn watch_pace(&mut self, now: Time) {
        let (mut work, mut span) = (Micros::default(), Micros::default());
        for row in self.runs.values() {
            let RunState::Running(since) = row.state else {
                continue;
            };
            let age = now.since(since);
            if age >= FIRST_LOOK && row.size.0 > 0 {
                work = work + row.worked();
                span = span + age;
            }
        }
        if span < LEAST_WORK {
            return;
        }
        let speed = (work.0 as f64 / span.0 as f64).max(LEAST);
        self.slow = (speed * SLOWER < self.speed.value()).then_some(SlowPace {
            speed,
            until: now + MEMORY,
        });
    }

    /// Returns the speed to tell planners, in thousandths.
    pub(super) fn told_speed(&self, now: Time) -> u32 {
        let slow = self.slow.filter(|slow| now < slow.until);
        slow.map_or(self.speed.permille(), |slow| Speed::steps(slow.speed))
    }
}
