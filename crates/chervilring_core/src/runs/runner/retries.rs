//! Retries of calls that got no answer.
//!
//! An upstream that goes down with many runs refuses every connection at once. Calls about its runs
//! therefore wait until it answers again, and polls are retried with a growing delay. A single answer
//! is lost more often than an upstream goes down. While only polls are known to be unanswered, one call
//! at a time is therefore repeated, with a growing delay as well: its answer shows that the upstream
//! answers.

use chervilring_wire::{Micros, RunKey, Time};

use super::event::RunnerEvent;
use super::state::{RunState, Runner, RunnerStep};
use super::upstream::{Reachability, Silence, Upstream};

/// The minimum interval between two stops of one run. On the same host, a call may take this long.
const MIN_STOP_INTERVAL: Micros = Micros::from_millis(30);

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
        self.missed_at = now;
    }

    /// Returns whether calls may be repeated without limit.
    fn is_answering(&self) -> bool {
        match self.reachability {
            Reachability::Answering => true,
            Reachability::Missed => self.last_answer > self.missed_at,
            Reachability::Silent | Reachability::Expired => false,
        }
    }

    /// Returns the time from which a single call may be repeated although a poll was not answered.
    fn probe_time(&self) -> Time {
        match (self.reachability, self.silence) {
            (Reachability::Missed, Silence::Unexplained) => self.next_probe,
            _ => Time::NEVER,
        }
    }

    /// Returns how many calls may be repeated now.
    fn repeat_limit(&self, now: Time) -> usize {
        if self.is_answering() {
            return usize::MAX;
        }
        usize::from(now >= self.probe_time())
    }
}

impl Runner {
    /// Schedules the retry of a stop that was sent at `sent` and got no answer.
    pub(super) fn schedule_stop(&mut self, sent: Time, run: RunKey) {
        if let Some(row) = self.runs.get_mut(&run) {
            row.retry_at = Some(sent + MIN_STOP_INTERVAL);
        }
        self.log_no_answer(Some(run), "stop");
    }

    /// Schedules the repeat of a start that was sent at `sent` and got no answer.
    pub(super) fn schedule_repeat(&mut self, sent: Time, run: RunKey) {
        let (Some(upstream), Some(row)) = (&self.upstream, self.runs.get_mut(&run)) else {
            return;
        };
        row.retry_at = Some(sent + upstream.call_times.interval(row.unanswered));
        row.maybe_started = true;
        row.unanswered += 1;
        self.log_no_answer(Some(run), "start");
    }

    fn repeat_start(&mut self, now: Time, run: RunKey) {
        let event = RunnerEvent::StartRepeated { run };
        self.steps.push(RunnerStep::Log(event));
        self.call_start(now, run);
    }

    /// Retries the calls that are due, as far as the upstream answers.
    pub(super) fn retry_calls(&mut self, now: Time) {
        let limit = self.upstream.as_ref().map_or(0, |u| u.repeat_limit(now));
        let may_start = self.may_start();
        let rows = self.runs.iter_mut();
        let due = rows.filter(|(_, r)| r.retry_at.is_some_and(|at| at <= now));
        let due: Vec<(RunKey, RunState, bool)> = due
            .take(limit)
            .map(|(&run, row)| {
                row.retry_at = None;
                (run, row.state, row.stop_requested || !may_start)
            })
            .collect();
        if let Some(upstream) = self.upstream.as_mut().filter(|_| !due.is_empty()) {
            upstream.next_probe = now + upstream.call_times.interval(upstream.missed_polls);
        }
        for (run, state, is_unwanted) in due {
            match (state, is_unwanted) {
                (RunState::Starting, false) => self.repeat_start(now, run),
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
        let Some(upstream) = &self.upstream else {
            return Time::NEVER;
        };
        let times = self.runs.values().filter_map(|r| r.retry_at);
        let Some(first) = times.min() else {
            return Time::NEVER;
        };
        if upstream.is_answering() {
            return first;
        }
        first.max(upstream.probe_time())
    }
}
