//! Retries of calls that got no answer.
//!
//! An upstream that goes down with many runs refuses every connection at once. Calls about its runs
//! therefore wait until it answers polls again, and polls are retried with a growing delay.

use chervilring_wire::{Micros, RunKey, Time};

use super::state::{RunState, Runner};
use super::upstream::{Reachability, Upstream};

/// The minimum interval between two calls about one run. On the same host, a call may take this
/// long.
pub(super) const MIN_CALL_INTERVAL: Micros = Micros::from_millis(30);

/// The delay before the next poll after a first one without answer.
const INITIAL_POLL_DELAY: Micros = Micros::from_millis(10);

/// The longest delay between polls without answer.
const MAX_POLL_DELAY: Micros = Micros::from_millis(100);

/// The number of doublings after which the delay has reached its maximum.
const MAX_DOUBLINGS: u32 = 4;

impl Upstream {
    /// Records a poll without answer and schedules the next one.
    pub(super) fn record_missed_poll(&mut self, now: Time) {
        let wait = Micros(INITIAL_POLL_DELAY.0 << self.missed_polls.min(MAX_DOUBLINGS));
        self.next_poll = now + wait.min(MAX_POLL_DELAY);
        self.missed_polls += 1;
    }
}

impl Runner {
    /// Schedules the retry of a call that was sent at `sent` and got no answer.
    pub(super) fn schedule_retry(&mut self, sent: Time, run: RunKey, call: &'static str) {
        if let Some(row) = self.runs.get_mut(&run) {
            row.retry_at = Some(sent + MIN_CALL_INTERVAL);
        }
        self.log_no_answer(Some(run), call);
    }

    /// Retries the calls that are due, if the upstream answers.
    pub(super) fn retry_calls(&mut self, now: Time) {
        let is_answering = |u: &Upstream| u.reachability == Reachability::Answering;
        if !self.upstream.as_ref().is_some_and(is_answering) {
            return;
        }
        let may_start = self.may_start();
        let rows = self.runs.iter_mut();
        let due = rows.filter(|(_, r)| r.retry_at.is_some_and(|at| at <= now));
        let due: Vec<(RunKey, RunState, bool)> = due
            .map(|(&run, row)| {
                row.retry_at = None;
                (run, row.state, row.stop_requested || !may_start)
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
                // The lists have decided about the run in the meantime.
                _ => {}
            }
        }
    }

    /// Returns when the next retry is due.
    pub(super) fn next_retry(&self) -> Time {
        let is_answering = |u: &Upstream| u.reachability == Reachability::Answering;
        if !self.upstream.as_ref().is_some_and(is_answering) {
            return Time::NEVER;
        }
        let times = self.runs.values().filter_map(|r| r.retry_at);
        times.min().unwrap_or(Time::NEVER)
    }
}
