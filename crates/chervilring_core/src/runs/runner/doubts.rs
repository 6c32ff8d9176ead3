//! Doubts: runs whose start has no answer, so that the upstream may run them, or may do so later.
//!
//! Answers the load of jobs of several tasks on upstreams some of which leave starts unanswered.
//! The first repeat resolves most doubts before a planner could hear of them. Planners are therefore told
//! of those whose repeat got no answer either. Such an upstream is likely to leave more starts
//! unanswered, so planners hear of more doubts at once, and of fewer only after a while.

use chervilring_wire::{Micros, RunnerMessage, Time};

use super::state::{Run, RunState, Runner, RunnerStep};

/// How long planners go on counting doubts that are resolved.
const MEMORY: Micros = Micros::from_secs(2);

/// The number of starts of one run without answer from which planners are told.
const TOLD_STARTS: u32 = 2;

/// What planners are told about doubts.
#[derive(Debug, Default)]
pub(super) struct ToldDoubts {
    /// The number of doubts.
    count: u32,
    /// Until when it does not fall.
    held_until: Time,
}

impl ToldDoubts {
    /// Updates the number from that of the open doubts.
    fn update(&mut self, now: Time, open: u32) {
        if open > 0 {
            self.held_until = now + MEMORY;
        }
        if open > self.count || now >= self.held_until {
            self.count = open;
        }
    }
}

impl Run {
    /// Returns whether this many starts have no answer and the upstream has not shown otherwise what
    /// became of it.
    fn is_in_doubt(&self, starts: u32) -> bool {
        let is_open = matches!(self.state, RunState::Starting | RunState::Stopping);
        is_open && self.unanswered >= starts
    }
}

impl Runner {
    /// Returns the number of runs whose start has no answer.
    pub fn doubt_count(&self) -> usize {
        self.runs.values().filter(|r| r.is_in_doubt(1)).count()
    }

    /// Tells the number of doubts to the planners that do not know it.
    pub(super) fn tell_doubts(&mut self, now: Time) {
        let told = |r: &&Run| r.is_in_doubt(TOLD_STARTS);
        let open = self.runs.values().filter(told).count();
        self.doubts.update(now, open as u32);
        let count = self.doubts.count;
        let knowing = |l: &super::links::Link| l.hello_sent && l.knows_room;
        for (&link, row) in self.links.iter_mut().filter(|(_, l)| knowing(l)) {
            if row.sent_doubts == count {
                continue;
            }
            row.sent_doubts = count;
            let message = RunnerMessage::Doubts(count);
            self.steps.push(RunnerStep::Send { link, message });
        }
    }
}
