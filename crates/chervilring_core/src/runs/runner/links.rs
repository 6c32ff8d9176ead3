//! The links of a runner to planners.

use std::collections::VecDeque;

use chervilring_wire::{Time, UpstreamState};

use crate::runs::bounds::LINK_SILENCE;

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
        }
    }

    /// Takes in that the hello is sent: from now on the planner may ask for runs, and counts them as
    /// gone when it hears nothing.
    pub(super) fn greet(&mut self, now: Time) {
        self.greeted = true;
        self.alive = now + LINK_SILENCE;
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
