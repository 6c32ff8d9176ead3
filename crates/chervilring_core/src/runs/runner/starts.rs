//! Runs from being asked for to their start or refusal.

use chervilring_wire::{
    RefuseReason, Resources, RunEnd, RunKey, RunnerMessage, ServiceName, StartRuns, Time,
};

use super::call::{CallOutcome, Refused};
use super::event::RunnerEvent;
use super::state::{Run, RunState, Runner, RunnerStep};
use crate::runs::planner::LinkNo;

impl Runner {
    /// Takes on or refuses runs; those taken on start as soon as there is room.
    pub(super) fn start(&mut self, now: Time, link: LinkNo, start: StartRuns) {
        let Some(row) = self.links.get_mut(&link).filter(|l| l.greeted) else {
            return;
        };
        row.number = start.seq;
        if row.parting.is_some() {
            row.await_quiet(now);
        }
        let free = self.free();
        let latest = now + start.queue_timeout;
        let first = start.runs.first().copied();
        let mut taken = 0;
        for run in start.runs {
            if let Some(reason) = self.refusal(&start.service, &run, &start.demand, latest) {
                self.refuse(run, Some(link), reason);
                continue;
            }
            taken += 1;
            let row = Run {
                link: Some(link),
                demand: start.demand,
                size: start.declared_runtime,
                percent: 0,
                spec: start.spec.clone(),
                state: RunState::Queued,
                doomed: false,
                unanswered: false,
                taken: now,
                latest,
                again: None,
            };
            self.runs.insert(run, row);
        }
        if let (Some(run), true) = (first, taken > 0) {
            let event = RunnerEvent::Taken {
                run,
                runs: taken,
                free,
            };
            self.steps.push(RunnerStep::Log(event));
        }
        self.start_queued(now);
        self.trim_queue(now);
    }

    /// Refuses the runs that can wait longest while more waits than the upstream holds at once.
    fn trim_queue(&mut self, now: Time) {
        let Some(capacity) = self.worker.as_ref().map(|w| w.report.capacity) else {
            return;
        };
        while !capacity.can_fit(&self.queued()) {
            let waits = |(_, r): &(&RunKey, &Run)| r.state == RunState::Queued;
            let rows = self.runs.iter().filter(waits);
            let Some((&run, _)) = rows.max_by_key(|(run, r)| (r.latest, **run)) else {
                return;
            };
            self.give_back(now, run, RefuseReason::Room);
        }
    }

    /// Starts the runs that wait, the most urgent first, as far as there is room.
    pub(super) fn start_queued(&mut self, now: Time) {
        let waits = |(run, row): (&RunKey, &Run)| {
            (row.state == RunState::Queued).then_some((row.latest, *run))
        };
        let mut order: Vec<(Time, RunKey)> = self.runs.iter().filter_map(waits).collect();
        if order.is_empty() {
            return;
        }
        order.sort_unstable();
        let open = self.is_open();
        let mut free = self.free();
        for (latest, run) in order {
            let Some(row) = self.runs.get_mut(&run) else {
                continue;
            };
            if now > latest || !open || row.doomed {
                let reason = if open {
                    RefuseReason::Room
                } else {
                    RefuseReason::Closed
                };
                self.give_back(now, run, reason);
                continue;
            }
            if !free.can_fit(&row.demand) {
                continue;
            }
            free = free.saturating_sub(&row.demand);
            row.state = RunState::Starting;
            self.call_start(now, run);
        }
    }

    /// Gives up a run that waits for room. One that an earlier life of the upstream may have begun
    /// counts as lapsed; the others have not begun.
    pub(super) fn give_back(&mut self, now: Time, run: RunKey, reason: RefuseReason) {
        let Some(row) = self.runs.get(&run) else {
            return;
        };
        if row.unanswered {
            self.end(now, run, RunEnd::Lapsed);
            return;
        }
        let link = row.link;
        self.runs.remove(&run);
        self.refuse(run, link, reason);
    }

    /// Tells a planner that a run is not started and will not be.
    fn refuse(&mut self, run: RunKey, link: Option<LinkNo>, reason: RefuseReason) {
        let free = self.free();
        let event = RunnerEvent::Refused { run, reason, free };
        self.steps.push(RunnerStep::Log(event));
        if let Some(link) = link {
            let message = RunnerMessage::Refused { run, reason };
            self.steps.push(RunnerStep::Send { link, message });
        }
    }

    /// Returns why a run that is to begin by `latest` is not taken on, if it is not.
    fn refusal(
        &self,
        service: &ServiceName,
        run: &RunKey,
        demand: &Resources,
        latest: Time,
    ) -> Option<RefuseReason> {
        let Some(worker) = self.worker.as_ref().filter(|_| self.is_open()) else {
            return Some(RefuseReason::Closed);
        };
        if worker.report.service != *service {
            return Some(RefuseReason::Closed);
        }
        // Another run of the same task is still here, for another planner or being stopped.
        let task = |r: &RunKey| (r.job, r.occurrence, r.step, r.index);
        let twin = self.runs.keys().any(|r| task(r) == task(run));
        if twin {
            return Some(RefuseReason::Twin);
        }
        // Those that can wait longer make way.
        let ahead = |r: &&Run| r.state == RunState::Queued && r.latest <= latest;
        let rows = self.runs.values().filter(ahead);
        let queue = rows.fold(*demand, |sum, r| sum.saturating_add(&r.demand));
        let holds = worker.report.capacity.can_fit(&queue);
        (!holds).then_some(RefuseReason::Room)
    }

    pub(super) fn start_answered(
        &mut self,
        now: Time,
        sent: Time,
        run: RunKey,
        outcome: &CallOutcome,
    ) {
        let Some(row) = self.runs.get_mut(&run) else {
            return;
        };
        if row.state != RunState::Starting {
            return;
        }
        match outcome {
            CallOutcome::Done { .. } | CallOutcome::Listed(_) => self.begun(now, run),
            CallOutcome::Refused { why, .. } => self.start_refused(now, run, *why),
            CallOutcome::Lost => {
                row.unanswered = true;
                self.put_off(sent, run, "start");
            }
        }
    }

    /// Takes in that the upstream has begun a run.
    pub(super) fn begun(&mut self, now: Time, run: RunKey) {
        let Some(row) = self.runs.get_mut(&run) else {
            return;
        };
        row.state = RunState::Running(now);
        let doomed = row.doomed;
        if let Some(link) = row.link {
            let message = RunnerMessage::Started(run);
            self.steps.push(RunnerStep::Send { link, message });
        }
        if doomed {
            self.stop(now, run);
        }
    }

    fn start_refused(&mut self, now: Time, run: RunKey, why: Refused) {
        let Some(row) = self.runs.get(&run) else {
            return;
        };
        let (doomed, unanswered) = (row.doomed, row.unanswered);
        match why {
            Refused::Fence => {
                self.raise_fence();
                if !doomed {
                    self.call_start(now, run);
                    return;
                }
            }
            Refused::Late if !doomed => {
                self.call_start(now, run);
                return;
            }
            _ => {}
        }
        self.steps
            .push(RunnerStep::Log(RunnerEvent::NotStarted { run, why }));
        if unanswered {
            self.clear_up(now, run, why);
            return;
        }
        let reason = match why {
            Refused::Old => RefuseReason::Old,
            Refused::Invalid => RefuseReason::Invalid,
            Refused::Unhealthy => RefuseReason::Unhealthy,
            Refused::Room => RefuseReason::Room,
            Refused::OtherLife => RefuseReason::Closed,
            Refused::Fence | Refused::Late => RefuseReason::Stopped,
        };
        let Some(row) = self.runs.remove(&run) else {
            return;
        };
        if let Some(link) = row.link {
            let message = RunnerMessage::Refused { run, reason };
            self.steps.push(RunnerStep::Send { link, message });
        }
    }

    /// Finds out what became of a run whose start is refused after an earlier call for it got no
    /// answer. That call may have been carried out, or may be yet: a stop rules out that it begins
    /// from now on, and the lists tell the rest.
    fn clear_up(&mut self, now: Time, run: RunKey, why: Refused) {
        // The upstream has stopped or ended it already.
        if why == Refused::Old {
            self.set_state(run, RunState::Stopped(now));
            return;
        }
        self.set_state(run, RunState::Stopping);
        self.call_stop(run);
    }
}
