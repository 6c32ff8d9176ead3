//! The links of a runner to planners.

use std::collections::VecDeque;

use chervilring_wire::{Micros, Time, UpstreamState};

use crate::runs::bounds::LINK_SILENCE;

/// How long starts may be under way over a link on which no more are wanted.
const QUIET: Micros = Micros::from_millis(200);

/// A link to a planner.
#[derive(Debug)]
pub(super) struct Link {
    /// Whether the hello was sent.
    pub(super) greeted: bool,
    /// Whether the planner was heard over it.
    pub(super) heard: bool,
    /// The number of the newest heartbeat sent.
    pub(super) beat: u64,
    /// The heartbeats that are not answered, with when they were sent.
    pub(super) open: VecDeque<(u64, Time)>,
    /// Until when the link counts as alive.
    pub(super) alive: Time,
    /// The newest message of starts that was taken in.
    pub(super) number: u64,
    /// The state that was last told.
    pub(super) told: Option<UpstreamState>,
    /// Once it is not needed any more: when it may be closed, if nothing runs over it.
    pub(super) parting: Option<Time>,
}

impl Link {
    pub(super) fn new() -> Self {
        Self {
            greeted: false,
            heard: false,
            beat: 0,
            open: VecDeque::new(),
            alive: Time::NEVER,
            number: 0,
            told: None,
            parting: None,
        }
    }

    /// Takes in that the hello is sent: from now on the planner may ask for runs, and counts them as
    /// gone when it hears nothing.
    pub(super) fn greet(&mut self, now: Time) {
        self.greeted = true;
        self.alive = now + LINK_SILENCE;
    }

    /// Takes in that starts have come over it, or that it is not needed any more.
    pub(super) fn await_quiet(&mut self, now: Time) {
        self.parting = Some(now + QUIET);
    }

    /// Returns the number of the next heartbeat, which is sent now.
    pub(super) fn next_beat(&mut self, now: Time) -> u64 {
        self.beat += 1;
        self.open.push_back((self.beat, now));
        self.beat
    }

    /// Takes in that the planner has heard a heartbeat: the link is alive since that was sent.
    pub(super) fn answered(&mut self, echo: u64) {
        while let Some(&(number, sent)) = self.open.front() {
            if number > echo {
                return;
            }
            self.open.pop_front();
            self.alive = self.alive.max(sent + LINK_SILENCE);
        }
    }
}
