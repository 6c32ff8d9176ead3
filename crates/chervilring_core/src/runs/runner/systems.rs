//! What a runner does over its tables: lease, heartbeats, states, links.

use chervilring_wire::{Micros, RunEnd, RunKey, RunnerMessage, Time, UpstreamState};
use rustc_hash::FxHashSet;

use super::call::{CallOutcome, Refused, WorkerCall};
use super::event::RunnerEvent;
use super::state::{Run, RunState, Runner, RunnerStep};
use super::telling::{differs, grain};
use super::worker::{Contact, Worker, WorkerState};
use crate::runs::bounds::LEASE;
use crate::runs::planner::LinkNo;

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
        self.start_queued(now);
        self.hold(now);
        self.keep_speed(now);
        self.log_open();
        self.tell_states(now);
        self.check_leave(now);
    }

    /// Returns when something is due.
    pub fn wake_at(&self) -> Time {
        let mut wake = Time::NEVER;
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

    /// Takes in that the process had stood still: planners have dropped its links, and the lease
    /// has ended.
    pub fn paused(&mut self, now: Time, span: Micros) {
        self.steps
            .push(RunnerStep::Log(RunnerEvent::Paused { span }));
        let links: Vec<LinkNo> = self.links.keys().copied().collect();
        for link in links {
            self.lose(link, "paused");
            self.steps.push(RunnerStep::Close(link));
        }
        self.tick(now);
    }

    /// Ends the belief in a link and stops its runs.
    pub(super) fn lose(&mut self, link: LinkNo, why: &'static str) {
        let Some(lost) = self.links.remove(&link) else {
            return;
        };
        let rows = self.runs.iter_mut().filter(|(_, r)| r.link == Some(link));
        let mut runs: Vec<RunKey> = Vec::new();
        for (run, row) in rows {
            row.link = None;
            runs.push(*run);
        }
        // One that was never heard is a planner that could not be reached as yet.
        if lost.heard {
            let is_parted = lost.parting.is_some() && runs.is_empty();
            let event = RunnerEvent::LinkLost {
                link: link.0,
                why: if is_parted { "not needed" } else { why },
                runs: runs.len() as u32,
            };
            self.steps.push(RunnerStep::Log(event));
        }
        for run in runs {
            self.stop(run);
        }
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
            let silent = now.since(worker.heard) > UPSTREAM_SILENCE;
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
            let span = now.since(row.taken);
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

    /// Returns whether planners may be greeted: nothing runs for one that was lost.
    pub fn may_greet(&self, now: Time) -> bool {
        if self.runs.values().any(|r| r.link.is_none()) {
            return false;
        }
        // What an earlier life of this runner has started is known from the upstream's lists, or
        // over with its lease.
        now >= self.past || self.worker.as_ref().is_some_and(|w| w.known)
    }

    /// Says hello on new links.
    fn greet_links(&mut self, now: Time) {
        if !self.may_greet(now) {
            return;
        }
        let kept = self.kept();
        for (&link, row) in &mut self.links {
            if row.greeted {
                continue;
            }
            row.greet(now);
            let message = RunnerMessage::Hello {
                name: self.name.clone(),
                domain: self.domain.clone(),
                kept,
            };
            self.steps.push(RunnerStep::Send { link, message });
        }
    }

    /// Asks planners to close links that are not needed and over which nothing runs.
    fn part_links(&mut self, now: Time) {
        let busy: FxHashSet<LinkNo> = self.runs.values().filter_map(|r| r.link).collect();
        for (&link, row) in &mut self.links {
            let is_due = row.parting.is_some_and(|at| now >= at);
            if !is_due || busy.contains(&link) {
                continue;
            }
            row.put_off(now);
            let message = RunnerMessage::Part;
            self.steps.push(RunnerStep::Send { link, message });
        }
    }

    /// Closes links on which no heartbeat is answered.
    fn drop_silent(&mut self, now: Time) {
        let rows = self
            .links
            .iter()
            .filter(|(_, l)| now > l.alive && l.greeted);
        let silent: Vec<LinkNo> = rows.map(|(&l, _)| l).collect();
        for link in silent {
            self.lose(link, "silent");
            self.steps.push(RunnerStep::Close(link));
        }
    }

    /// Tells planners the state of the upstream where it has changed.
    fn tell_states(&mut self, now: Time) {
        let Some(worker) = &self.worker else {
            return;
        };
        let is_open = self.is_open();
        let mut state = UpstreamState {
            number: 0,
            open: is_open,
            service: worker.report.service.clone(),
            capacity: worker.report.capacity,
            free: self.free(),
            queued: self.queue(now),
            span: Micros::from_millis(self.span as u64 / 1_000),
            speed: self.speed.permille(),
            labels: worker.report.labels.clone(),
        };
        let busy: FxHashSet<LinkNo> = self.steps.iter().filter_map(goes_to).collect();
        let grain = grain(self.links.len());
        for (&link, row) in self.links.iter_mut().filter(|(_, l)| l.greeted) {
            state.number = row.number;
            state.open = is_open && row.parting.is_none();
            let is_due = row.told.as_ref().is_none_or(|told| {
                *told != state && (busy.contains(&link) || differs(told, &state, grain))
            });
            if !is_due {
                continue;
            }
            row.told = Some(state.clone());
            let message = RunnerMessage::State(state.clone());
            self.steps.push(RunnerStep::Send { link, message });
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

/// Returns the link over which a step sends something.
fn goes_to(step: &RunnerStep) -> Option<LinkNo> {
    match step {
        RunnerStep::Send { link, .. } => Some(*link),
        _ => None,
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
