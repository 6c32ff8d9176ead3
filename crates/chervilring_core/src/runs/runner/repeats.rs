//! Calls that got no answer, and are made again.
//!
//! The load that this answers: an upstream goes down while it has many runs, and refuses each
//! connection at once. What is asked of it waits until it answers the calls for its lists, which are
//! made at a falling pace.

use chervilring_wire::{Micros, RunKey, Time};

use super::state::{RunState, Runner};
use super::worker::{Contact, Worker, WorkerState};

/// The least time between two calls about one run: so long a call may take on the same host.
const PACE: Micros = Micros::from_millis(30);

/// How soon the upstream is asked for its lists again after a call that got no answer.
const FIRST_WAIT: Micros = Micros::from_millis(10);

/// The longest wait before that.
const LAST_WAIT: Micros = Micros::from_millis(100);

/// The doublings after which the wait is the longest one in any case.
const MOST_DOUBLINGS: u32 = 4;

impl Worker {
    /// Takes in that a call for its lists got no answer.
    pub(super) fn missed(&mut self, now: Time) {
        let wait = Micros(FIRST_WAIT.0 << self.misses.min(MOST_DOUBLINGS));
        self.retry = now + wait.min(LAST_WAIT);
        self.misses += 1;
    }
}

impl Runner {
    /// Has a call that was made at `sent`, and got no answer, made again when that is of use.
    pub(super) fn put_off(&mut self, sent: Time, run: RunKey, call: &'static str) {
        if let Some(row) = self.runs.get_mut(&run) {
            row.again = Some(sent + PACE);
        }
        self.log_no_answer(Some(run), call);
    }

    /// Makes calls again that are due, if the upstream answers.
    pub(super) fn repeat_calls(&mut self, now: Time) {
        let Some(worker) = self.worker.as_ref().filter(|w| w.contact == Contact::Well) else {
            return;
        };
        let drains = worker.report.state != WorkerState::Ready;
        let rows = self.runs.iter_mut();
        let due = rows.filter(|(_, r)| r.again.is_some_and(|at| at <= now));
        let due: Vec<(RunKey, RunState, bool)> = due
            .map(|(&run, row)| {
                row.again = None;
                (run, row.state, row.doomed || drains)
            })
            .collect();
        for (run, state, is_unwanted) in due {
            match (state, is_unwanted) {
                (RunState::Starting, false) => self.call_start(now, run),
                (RunState::Starting, true) => {
                    self.set_state(run, RunState::Stopping);
                    self.call_stop(run);
                }
                (RunState::Stopping, _) => self.call_stop(run),
                // The lists have told meanwhile.
                _ => {}
            }
        }
    }

    /// Returns when calls are to be made again.
    pub(super) fn repeat_at(&self) -> Time {
        let is_well = |w: &Worker| w.contact == Contact::Well;
        if !self.worker.as_ref().is_some_and(is_well) {
            return Time::NEVER;
        }
        let times = self.runs.values().filter_map(|r| r.again);
        times.min().unwrap_or(Time::NEVER)
    }
}
