//! Runs that are stopped or have ended.

use chervilring_wire::{Micros, RefuseReason, RunEnd, RunKey, RunnerMessage, Time};

use super::call::{CallOutcome, Refused};
use super::event::RunnerEvent;
use super::state::{Run, RunState, Runner, RunnerStep};

/// How much of the past is kept with each run in the mean time that runs take.
const KEEP: f64 = 0.95;

/// How long a run must have gone on before a stop for its pace to be telling.
const TELLING: Micros = Micros::from_millis(250);

/// The share that counts as done while nothing is.
const LEAST_DONE: f64 = 0.005;

impl Run {
    /// Returns how much of its declared size is done.
    fn worked(&self) -> Micros {
        let done = (f64::from(self.percent) / 100.0).max(LEAST_DONE);
        Micros((self.size.0 as f64 * done) as u64)
    }
}

impl Runner {
    /// Has a run stopped.
    pub(super) fn stop(&mut self, now: Time, run: RunKey) {
        let Some(row) = self.runs.get_mut(&run) else {
            return;
        };
        match row.state {
            RunState::Queued => self.withdraw(now, run),
            RunState::Starting | RunState::Unsure(_) => row.doomed = true,
            RunState::Running(_) => {
                row.state = RunState::Stopping;
                self.call_stop(run);
            }
            RunState::Stopping | RunState::Stopped(_) => {}
        }
    }

    /// Refuses a run that still waits for room. The upstream may have begun any other.
    pub(super) fn withdraw(&mut self, now: Time, run: RunKey) {
        let waits = |r: &Run| r.state == RunState::Queued;
        if self.runs.get(&run).is_some_and(waits) {
            self.give_back(now, run, RefuseReason::Stopped);
        }
    }

    pub(super) fn stop_answered(
        &mut self,
        now: Time,
        sent: Time,
        run: RunKey,
        outcome: &CallOutcome,
    ) {
        let stopping = self
            .runs
            .get(&run)
            .is_some_and(|r| r.state == RunState::Stopping);
        if !stopping {
            return;
        }
        match outcome {
            CallOutcome::Lost
            | CallOutcome::Refused {
                why: Refused::Unhealthy,
                ..
            } => self.put_off(sent, run, "stop"),
            CallOutcome::Refused {
                why: Refused::Fence,
                ..
            } => {
                self.raise_fence();
                self.call_stop(run);
            }
            // Whether it ran to its end before is told by the next lists.
            _ => self.set_state(run, RunState::Stopped(now)),
        }
    }

    pub(super) fn set_state(&mut self, run: RunKey, state: RunState) {
        if let Some(row) = self.runs.get_mut(&run) {
            row.state = state;
        }
    }

    /// Tells the planner that a run has ended and gives its resources back.
    pub(super) fn end(&mut self, now: Time, run: RunKey, end: RunEnd) {
        let Some(row) = self.runs.remove(&run) else {
            return;
        };
        let since = match row.state {
            RunState::Running(since) => since,
            _ => row.taken,
        };
        let span = now.duration_since(since);
        match end {
            RunEnd::Done => {
                self.span = self.span * KEEP + span.0 as f64 * (1.0 - KEEP);
                self.speed.learn(row.size, span);
            }
            // A run that is stopped for its pace tells of the upstream as well.
            RunEnd::Stopped if span >= TELLING => self.speed.learn(row.worked(), span),
            RunEnd::Stopped | RunEnd::Failed | RunEnd::Lapsed => {}
        }
        self.steps
            .push(RunnerStep::Log(RunnerEvent::Ended { run, end, span }));
        if let Some(link) = row.link {
            let message = RunnerMessage::Ended { run, end };
            self.steps.push(RunnerStep::Send { link, message });
        }
    }

    pub(super) fn log_no_answer(&mut self, run: Option<RunKey>, call: &'static str) {
        let event = RunnerEvent::NoAnswer { run, call };
        self.steps.push(RunnerStep::Log(event));
    }
}
