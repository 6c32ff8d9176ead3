//! What a runner does over its tables: what is due, the upstream's lists and its lease.

use chervilring_wire::{Micros, RunEnd, RunKey, RunnerMessage, Time};

use super::call::{CallOutcome, Refused, WorkerCall};
use super::event::RunnerEvent;
use super::state::{Run, RunState, Runner, RunnerStep};
use super::worker::{Contact, Worker, WorkerState};
use crate::runs::bounds::LEASE;

/// How long the upstream may wait for an end before it answers, while it runs something: an end
/// whose answer is lost is told by the next one.
const WAIT: Micros = Micros::from_millis(50);

/// How long it may wait while it runs nothing.
const IDLE_WAIT: Micros = Micros::from_millis(100);

/// How long an upstream may leave calls without answer before it is given nothing more; single
/// answers are lost more often than upstreams are.
const UPSTREAM_SILENCE: Micros = Micros::from_millis(200);

/// By how much the fencing token is raised when an earlier life has had a higher one.
const FENCE_STEP: u64 = 10_000;

impl Runner {
    /// Runs what is due.
    pub fn tick(&mut self, now: Time) {
        self.drop_silent(now);
        self.check_silence(now);
        self.check_lease(now);
        self.greet_links(now);
        self.part_links(now);
        self.repeat_calls(now);
        self.start_queued(now);
        self.hold(now);
        self.keep_speed(now);
        self.log_open();
        self.tell_states(now);
        self.check_leave(now);
    }

    /// Returns when something is due.
    pub fn wake_at(&self) -> Time {
        let mut wake = self.repeat_at();
        for row in self.links.values().filter(|l| l.greeted) {
            wake = wake.min(row.alive + Micros(1));
            wake = wake.min(row.parting.unwrap_or(Time::NEVER));
        }
        let queued = self.runs.values().filter(|r| r.state == RunState::Queued);
        if let Some(latest) = queued.map(|r| r.latest).min() {
            wake = wake.min(latest + Micros(1));
        }
        if let Some(worker) = &self.worker {
            if !worker.held {
                wake = wake.min(worker.retry);
            }
            if worker.contact == Contact::Silent {
                wake = wake.min(worker.lease.over());
            }
        }
        wake
    }

    pub(super) fn read_clock(&mut self, now: Time, outcome: &CallOutcome) {
        let clock = match outcome {
            CallOutcome::Done { clock } | CallOutcome::Refused { clock, .. } => *clock,
            CallOutcome::Listed(lists) => Some(lists.clock),
            CallOutcome::Lost => None,
        };
        let Some(worker) = &mut self.worker else {
            return;
        };
        if let Some(clock) = clock {
            worker.lease.read(now, clock);
        }
        let other = matches!(
            outcome,
            CallOutcome::Refused {
                why: Refused::OtherLife,
                ..
            }
        );
        if *outcome != CallOutcome::Lost && !other {
            worker.heard = now;
        }
    }

    pub(super) fn raise_fence(&mut self) {
        self.fence += FENCE_STEP;
    }

    pub(super) fn call_start(&mut self, now: Time, run: RunKey) {
        let span = self.lease.min(LEASE);
        let (Some(worker), Some(row)) = (&mut self.worker, self.runs.get(&run)) else {
            return;
        };
        let Some(lease) = worker.lease.extend(now, span) else {
            return;
        };
        let call = WorkerCall::Start {
            life: worker.report.life.clone(),
            run,
            spec: row.spec.clone(),
            demand: row.demand,
            lease,
            fence: self.fence,
        };
        self.steps.push(RunnerStep::Call(call));
    }

    pub(super) fn call_stop(&mut self, run: RunKey) {
        let Some(worker) = &self.worker else {
            return;
        };
        let call = WorkerCall::Stop {
            life: worker.report.life.clone(),
            run,
            fence: self.fence,
        };
        self.steps.push(RunnerStep::Call(call));
    }

    /// Asks for the lists, which extends the lease of what runs.
    fn hold(&mut self, now: Time) {
        let span = self.lease.min(LEASE);
        let idle = self.runs.is_empty();
        let Some(worker) = &mut self.worker else {
            return;
        };
        if worker.held || now < worker.retry {
            return;
        }
        // What an earlier life of this runner has started is not kept alive. An upstream whose
        // answers are lost may still hear the calls: its lease must end all the same.
        let lease = if worker.known && !worker.is_silent() && !idle {
            worker.lease.extend(now, span)
        } else {
            None
        };
        worker.held = true;
        let wait = match (worker.known && worker.contact == Contact::Well, idle) {
            (true, true) => IDLE_WAIT,
            (true, false) => WAIT,
            (false, _) => Micros::default(),
        };
        if !worker.known {
            worker.retry = now + IDLE_WAIT;
        }
        let call = WorkerCall::Hold {
            life: worker.report.life.clone(),
            lease,
            acked: worker.acked,
            wait,
            fence: self.fence,
        };
        self.steps.push(RunnerStep::Call(call));
    }

    fn check_silence(&mut self, now: Time) {
        if let Some(worker) = &mut self.worker {
            let silent = now.duration_since(worker.heard) > UPSTREAM_SILENCE;
            match (silent, worker.is_silent()) {
                (true, false) => worker.contact = Contact::Silent,
                (false, true) => worker.contact = Contact::Missed,
                _ => {}
            }
        }
    }

    /// Ends what runs on an upstream that does not answer, once its lease has surely ended.
    fn check_lease(&mut self, now: Time) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        if worker.contact != Contact::Silent || now < worker.lease.over() {
            return;
        }
        worker.contact = Contact::Lapsed;
        let id = worker.report.life.id.clone();
        let told = self.runs.iter_mut().filter(|(_, r)| r.link.is_some());
        let mut runs = 0;
        for (&run, row) in told {
            // It counts against the capacity until the upstream's lists tell of its end.
            let Some(link) = row.link.take() else {
                continue;
            };
            runs += 1;
            let end = RunEnd::Lapsed;
            let span = now.duration_since(row.taken);
            let message = RunnerMessage::Ended { run, end };
            self.steps.push(RunnerStep::Send { link, message });
            self.steps
                .push(RunnerStep::Log(RunnerEvent::Ended { run, end, span }));
            row.doomed = true;
        }
        // One that has never answered has no lease that could have ended.
        if worker.heard > Time::default() {
            let event = RunnerEvent::LeaseOver { id, runs };
            self.steps.push(RunnerStep::Log(event));
        }
    }

    fn log_open(&mut self) {
        let open = self.is_open();
        if open == self.open {
            return;
        }
        self.open = open;
        let Some(worker) = &self.worker else {
            return;
        };
        let event = RunnerEvent::WorkerOpen {
            id: worker.report.life.id.clone(),
            open,
            why: why_closed(worker, self.leaving.is_some()),
        };
        self.steps.push(RunnerStep::Log(event));
    }

    /// Ends the process once it leaves and nothing runs, or its time is over.
    fn check_leave(&mut self, now: Time) {
        let Some(until) = self.leaving else {
            return;
        };
        let known = |r: &Run| r.link.is_some() || r.state != RunState::Starting;
        let busy = self.runs.values().any(known);
        if !busy || now >= until {
            self.steps.push(RunnerStep::Left);
        }
    }
}

/// Returns why an upstream takes no work, or that it does.
fn why_closed(worker: &Worker, leaving: bool) -> &'static str {
    if leaving {
        return "runner leaves";
    }
    if worker.report.state == WorkerState::Left {
        return "upstream has left";
    }
    if worker.report.state == WorkerState::Draining {
        return "upstream drains";
    }
    if worker.is_silent() {
        return "upstream does not answer";
    }
    if !worker.known {
        return "what runs is not known yet";
    }
    if !worker.described {
        return "what the new life has is not known yet";
    }
    "ready"
}
