//! Runs that are stopped or have ended.

use chervilring_wire::{Micros, RefuseReason, RunEnd, RunKey, RunnerMessage, Time};

use super::call::{CallOutcome, CallRefusal};
use super::event::RunnerEvent;
use super::state::{Run, RunState, Runner, RunnerStep};
use super::upstream::Upstream;
use crate::runs::bounds::MAX_UNHEARD_TIME;

/// The weight of the past in the moving average of run times.
const MEAN_DECAY: f64 = 0.95;

/// How long a stopped run must have been running for its progress to count towards the speed.
const MIN_SAMPLE: Micros = Micros::from_millis(250);

/// The fraction assumed done while the reported progress is zero.
const MIN_DONE: f64 = 0.005;

impl Run {
    /// Returns the part of the declared run time that is done.
    fn work_done(&self) -> Micros {
        let done = (f64::from(self.percent) / 100.0).max(MIN_DONE);
        Micros((self.declared_runtime.0 as f64 * done) as u64)
    }
}

impl Runner {
    /// Stops a run.
    pub(super) fn stop_run(&mut self, now: Time, run: RunKey) {
        let Some(row) = self.runs.get_mut(&run) else {
            return;
        };
        row.limit_to(now + MAX_UNHEARD_TIME);
        match row.state {
            RunState::Queued | RunState::Claimed(_) => self.cancel_queued(now, run),
            RunState::Starting | RunState::Unconfirmed(_) | RunState::Detached(_) => {
                row.stop_requested = true;
            }
            RunState::Running(_) => {
                row.state = RunState::Stopping;
                self.call_stop(run);
            }
            RunState::Stopping | RunState::Stopped(_) => {}
        }
    }

    /// Refuses a run that is still queued, or claimed and not confirmed. Any other run may have been
    /// started by the upstream.
    pub(super) fn cancel_queued(&mut self, now: Time, run: RunKey) {
        match self.runs.get(&run).map(|r| r.state) {
            Some(RunState::Queued) => self.abandon_queued(now, run, RefuseReason::Stopped),
            Some(RunState::Claimed(_)) => self.give_back_claim(now, run),
            _ => {}
        }
    }

    pub(super) fn handle_stop_outcome(
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
            CallOutcome::NoAnswer
            | CallOutcome::NotListening
            | CallOutcome::Refused {
                reason: CallRefusal::Unhealthy,
                ..
            } => self.schedule_retry(sent, run, "stop"),
            CallOutcome::Refused {
                reason: CallRefusal::Fence,
                ..
            } => {
                self.raise_fencing_token();
                self.call_stop(run);
            }
            // The next lists show whether it completed before the stop.
            _ => self.set_state(run, RunState::Stopped(now)),
        }
    }

    pub(super) fn set_state(&mut self, run: RunKey, state: RunState) {
        if let Some(row) = self.runs.get_mut(&run) {
            row.state = state;
        }
    }

    /// Removes a run, reports its end to its planner and frees its resources.
    pub(super) fn finish_run(&mut self, now: Time, run: RunKey, end: RunEnd) {
        let Some(row) = self.runs.remove(&run) else {
            return;
        };
        let since = match row.state {
            RunState::Running(since) => since,
            _ => row.accepted,
        };
        let elapsed = now.duration_since(since);
        let is_gone = self.upstream.as_ref().is_some_and(Upstream::is_gone);
        match end {
            RunEnd::Done => {
                self.mean_run_time =
                    self.mean_run_time * MEAN_DECAY + elapsed.0 as f64 * (1.0 - MEAN_DECAY);
                self.speed.record(row.declared_runtime, elapsed);
            }
            // The pace of a stopped run is also a sample of the upstream's speed, unless it stood still with
            // an upstream that is gone.
            RunEnd::Stopped if elapsed >= MIN_SAMPLE && !is_gone => {
                self.speed.record(row.work_done(), elapsed);
            }
            RunEnd::Stopped | RunEnd::Failed | RunEnd::Lapsed => {}
        }
        self.steps
            .push(RunnerStep::Log(RunnerEvent::Ended { run, end, elapsed }));
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
