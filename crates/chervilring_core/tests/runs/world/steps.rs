//! Carries out the steps of planners and runners, and checks each start of a run.

use std::collections::BTreeSet;
use std::ops::Range;

use chervilring_core::runs::planner::{PlannerEvent, PlannerStep};
use chervilring_core::runs::runner::{CallOutcome, RunnerStep, UpstreamCall};
use chervilring_wire::{Micros, PlannerMessage, RefuseReason, RunKey, RunnerMessage, Time};

use super::links::Packet;
use super::successors::Listener;
use super::{CALL_TIME, Event, NEAR, POLL_TIME, TestJob, Without, World};
use crate::upstream::{TaskId, task_of};

/// How long runs may start after the acknowledgement of a report that an upstream drains.
const DRAIN_TIME: Micros = Micros::from_secs(2);

/// How long an upstream is down that a task has crashed, in microseconds.
const DEADLY_DOWNTIME: Range<u64> = 100_000..1_000_000;

impl World {
    pub(super) fn planner_step(&mut self, p: usize, step: PlannerStep) {
        match step {
            PlannerStep::Send { link, message } => {
                self.claims.0 += u32::from(matches!(&message, PlannerMessage::Claim(_)));
                self.claims.1 += u32::from(matches!(&message, PlannerMessage::Confirm(_)));
                let message = match message {
                    PlannerMessage::Claim(claim) if self.without == Without::Confirmation => {
                        PlannerMessage::StartOrdered(claim.start)
                    }
                    message => message,
                };
                self.record_orders(p, link.0, &message);
                self.send(link.0, Packet::ToRunner(message));
            }
            PlannerStep::Close(link) => {
                self.losses.close_link(link.0);
                self.send(link.0, Packet::EndAtRunner);
            }
            PlannerStep::Answer { caller, answer, .. } => {
                let Some(job) = self.callers.remove(&(p, caller)) else {
                    return;
                };
                self.answered(job, answer);
            }
            PlannerStep::Replica(_) => {}
            PlannerStep::Log(event) => {
                let is_part = matches!(event, PlannerEvent::LinkClosed { .. });
                self.closed_links += u32::from(is_part);
                if let PlannerEvent::Answered {
                    job, objective_met, ..
                } = &event
                {
                    self.said_met.insert(job.0, *objective_met);
                }
                self.trace(&format!("planner {p}: {event:?}"));
            }
        }
    }

    pub(super) fn runner_step(&mut self, r: usize, step: RunnerStep) {
        match step {
            RunnerStep::Send { link, message } => {
                if let RunnerMessage::Refused { run, reason } = &message
                    && *reason == RefuseReason::Room
                {
                    self.capacity_refusals += 1;
                    *self.room_refusals.entry(task_of(run)).or_default() += 1;
                }
                self.sent_states += u32::from(matches!(&message, RunnerMessage::State(_)));
                self.send(link.0, Packet::ToPlanner(message));
            }
            RunnerStep::Close(link) => self.send(link.0, Packet::EndAtPlanner),
            RunnerStep::Call(call) => self.call(r, call),
            RunnerStep::Log(event) => self.trace(&format!("runner {r}: {event:?}")),
            RunnerStep::StoreRecord(record) => {
                self.records.insert(r, record);
            }
            RunnerStep::Exit => {}
        }
    }

    pub(super) fn call(&mut self, r: usize, call: UpstreamCall) {
        let now = Time(self.now.0 - self.runners[r].suspended);
        let incarnation = self.runners[r].incarnation;
        let lost = CallOutcome::NoAnswer;
        if self.listener(r, &call).is_none() {
            let refused = CallOutcome::NotListening;
            self.at(CALL_TIME, Event::Called(r, incarnation, now, call, refused));
            return;
        }
        let order = !matches!(call, UpstreamCall::Poll { .. });
        let share = match call {
            UpstreamCall::Stop { .. } => self.late_share.max(self.late_stops),
            _ => self.late_share,
        };
        if order && self.rng.f64() < share {
            let span = self.rng.u64(1_000_000..6_000_000);
            self.at(span, Event::CallLate(r, call.clone()));
            self.at(CALL_TIME, Event::Called(r, incarnation, now, call, lost));
            return;
        }
        if self.leaves_call(r) {
            let span = self.rng.u64(1_000_000..6_000_000);
            self.at(span, Event::CallLate(r, call.clone()));
            self.at(CALL_TIME, Event::Called(r, incarnation, now, call, lost));
            return;
        }
        if self.is_mute(r) {
            self.handle_call(r, &call);
            self.at(CALL_TIME, Event::Called(r, incarnation, now, call, lost));
            return;
        }
        if let UpstreamCall::Poll { lease_end, .. } = &call {
            // The lease counts from the arrival of the call, the lists from its answer.
            if lease_end.is_some() {
                self.handle_call(r, &call);
            }
            self.at(POLL_TIME, Event::PollEnds(r, incarnation, now, call));
            return;
        }
        let outcome = self.handle_call(r, &call);
        if matches!(call, UpstreamCall::Start { .. }) && self.now < self.mute_until {
            self.at(CALL_TIME, Event::Called(r, incarnation, now, call, lost));
            return;
        }
        let late = match self.jitter {
            0 => 0,
            most => self.rng.u64(0..=most),
        };
        self.at(
            2 * NEAR + late,
            Event::Called(r, incarnation, now, call, outcome),
        );
    }

    /// Returns whether an upstream leaves the next call unanswered.
    fn is_mute(&mut self, r: usize) -> bool {
        let Some(&(until, share)) = self.muted.get(&r) else {
            return false;
        };
        self.now < until && self.rng.f64() < share
    }

    pub(super) fn handle_call(&mut self, r: usize, call: &UpstreamCall) -> CallOutcome {
        let Some(listener) = self.listener(r, call) else {
            return CallOutcome::NoAnswer;
        };
        let now = self.now;
        let hang = self.hangs.contains(&r);
        let bad = self.fails.contains(&r);
        let before: BTreeSet<RunKey> = self.upstream(listener).active.keys().copied().collect();
        let jobs = &self.jobs;
        let work = |run: &RunKey| {
            let job = jobs.iter().find(|j| j.id == run.job.0);
            let (span, fails) = job.map_or((50_000, false), |j| (j.work, j.fails));
            (span, fails || bad, hang)
        };
        let upstream = match listener {
            Listener::Newest(r) => &mut self.upstreams[r],
            Listener::Beside(place) => &mut self.beside[place].1,
        };
        let outcome = upstream.handle_call(now, call, work);
        let new = upstream.active.keys().find(|k| !before.contains(k));
        let Some(run) = new.copied() else {
            return outcome;
        };
        self.started(r, listener, run);
        let is_deadly = self.jobs.iter().any(|j| j.id == run.job.0 && j.is_deadly);
        if is_deadly && listener == Listener::Newest(r) {
            return self.crash_by_start(r, outcome);
        }
        outcome
    }

    /// Crashes an upstream by what it has started, at once or soon. Returns the outcome of the start.
    fn crash_by_start(&mut self, r: usize, outcome: CallOutcome) -> CallOutcome {
        let down = self.rng.u64(DEADLY_DOWNTIME);
        if self.rng.bool() {
            self.trace(&format!("upstream {r} crashes by a start"));
            self.crash(r, down);
            return CallOutcome::NoAnswer;
        }
        let span = self.rng.u64(0..100_000);
        self.at(span, Event::Crash(r, down));
        outcome
    }

    /// Checks a start: the run has no duplicate, its job was not refused, and its upstream has the
    /// capacity.
    fn started(&mut self, r: usize, listener: Listener, run: RunKey) {
        self.starts += 1;
        let now = self.now;
        let name: TaskId = task_of(&run);
        *self.started.entry(run.job.0).or_default() += 1;
        let newest = (0..self.upstreams.len()).map(Listener::Newest);
        let beside = (0..self.beside.len()).map(Listener::Beside);
        for place in newest.chain(beside) {
            let up = self.upstream(place);
            let is_here = |k: &&RunKey| place == listener && **k == run;
            let mut duplicates = up.active.keys().filter(|k| task_of(k) == name);
            if up.up && duplicates.any(|k| !is_here(&k)) {
                let id = &up.id;
                let violation = format!("{now:?}: {run} runs on {id} and {r}");
                self.violations.push(violation);
            }
        }
        let job = self.jobs.iter().find(|j| j.id == run.job.0);
        if job.is_some_and(TestJob::is_refused) {
            self.violations
                .push(format!("{now:?}: {run} starts, though its job was refused"));
        }
        self.check_evacuation(r, run);
        self.check_losses(r, run);
        let up = self.upstream(listener);
        let is_over = !up.capacity.can_fit(&up.used());
        let is_late = up.drain_acknowledged.duration_until(now) > DRAIN_TIME;
        let is_draining = up.draining;
        if is_over {
            self.violations
                .push(format!("{now:?}: {run} brings {r} over its capacity"));
        }
        if is_draining && is_late && !self.is_late_call {
            self.violations
                .push(format!("{now:?}: {run} starts while {r} drains"));
        }
    }

    /// Reports more capacity to runners than their upstreams have.
    pub(crate) fn overstate(&mut self) {
        for r in 0..self.upstreams.len() {
            let mut report = self.upstreams[r].report(self.now);
            report.capacity.cpu *= 3;
            report.sequence = 1_000_000;
            self.wake_runner(r, move |core, now| {
                core.handle_report(now, report);
            });
        }
    }
}
