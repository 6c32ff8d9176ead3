//! Runs from their request to their start or refusal.

use chervilring_wire::{
    OrderedStart, RefuseReason, Resources, RunEnd, RunKey, RunnerMessage, ServiceName, Time,
};

use super::call::{CallOutcome, CallRefusal};
use super::claims::Claim;
use super::event::RunnerEvent;
use super::pace::RunPace;
use super::state::{Run, RunState, Runner, RunnerStep};
use crate::runs::order::WorkOrder;
use crate::runs::planner::LinkNo;

impl Runner {
    /// Accepts or refuses runs. Accepted runs start as soon as resources are free; claims then hold
    /// them.
    pub(super) fn accept_runs(
        &mut self,
        now: Time,
        link: LinkNo,
        ordered: OrderedStart,
        claim: Option<Claim>,
    ) {
        let OrderedStart { start, urgency } = ordered;
        let order = WorkOrder::new(now, &urgency);
        let Some(row) = self.links.get_mut(&link).filter(|l| l.hello_sent) else {
            return;
        };
        // The message may have waited here for long, and its tasks may have been started elsewhere.
        let is_overdue = row.is_overdue(now);
        row.start_seq = start.seq;
        if row.close_after.is_some() {
            row.postpone_close(now);
        }
        let free = self.free_capacity();
        let start_deadline = now + start.queue_timeout;
        let first = start.runs.first().copied();
        let mut accepted = 0;
        for run in start.runs {
            let closed = is_overdue.then_some(RefuseReason::Closed);
            let reason = self.refusal_reason(&start.service, &run, &start.demand, order);
            if let Some(reason) = closed.or(reason) {
                self.log_refusal(run, reason);
                self.send_refusal(run, Some(link), reason);
                continue;
            }
            accepted += 1;
            let row = Run {
                link: Some(link),
                demand: start.demand,
                declared_runtime: start.declared_runtime,
                percent: 0,
                pace: RunPace::default(),
                spec: start.spec.clone(),
                state: RunState::Queued,
                stop_requested: false,
                maybe_started: false,
                accepted: now,
                start_deadline,
                order,
                claim,
                retry_at: None,
                end_by: Time::NEVER,
            };
            self.runs.insert(run, row);
        }
        if let (Some(run), true) = (first, accepted > 0) {
            let event = RunnerEvent::Accepted {
                run,
                runs: accepted,
                free,
            };
            self.steps.push(RunnerStep::Log(event));
        }
        self.start_queued(now);
        self.trim_queue(now);
    }

    /// Refuses the runs that are last in order while the queue exceeds the upstream's capacity.
    fn trim_queue(&mut self, now: Time) {
        let Some(capacity) = self.upstream.as_ref().map(|u| u.report.capacity) else {
            return;
        };
        while !capacity.can_fit(&self.queued_demand()) {
            let is_queued = |(_, r): &(&RunKey, &Run)| r.state == RunState::Queued;
            let rows = self.runs.iter().filter(is_queued);
            let Some((&run, _)) = rows.max_by_key(|(run, r)| (r.order, **run)) else {
                return;
            };
            self.abandon_queued(now, run, RefuseReason::Room);
        }
    }

    /// Starts queued runs in their order, as far as resources are free.
    pub(super) fn start_queued(&mut self, now: Time) {
        self.end_claims(now);
        let is_queued = |(run, row): (&RunKey, &Run)| {
            (row.state == RunState::Queued).then_some((row.order, *run))
        };
        let mut order: Vec<(WorkOrder, RunKey)> = self.runs.iter().filter_map(is_queued).collect();
        if order.is_empty() {
            return;
        }
        order.sort_unstable();
        let open = self.is_accepting();
        let mut free = self.free_capacity();
        let mut claimed: Vec<RunKey> = Vec::new();
        for (_, run) in order {
            let Some(row) = self.runs.get_mut(&run) else {
                continue;
            };
            if now > row.start_deadline || !open || row.stop_requested {
                let reason = if open {
                    RefuseReason::Room
                } else {
                    self.closed_refusal()
                };
                self.abandon_queued(now, run, reason);
                continue;
            }
            if !free.can_fit(&row.demand) {
                continue;
            }
            free = free.saturating_sub(&row.demand);
            row.take_room(now);
            let waited = now.duration_since(row.accepted);
            let is_claim = row.claim.is_some();
            let event = RunnerEvent::Begun { run, waited };
            self.steps.push(RunnerStep::Log(event));
            if is_claim {
                claimed.push(run);
                continue;
            }
            self.call_start(now, run);
        }
        self.report_claims(claimed);
    }

    /// Removes a run from the queue. If an earlier incarnation of the upstream may have started it,
    /// its end is lapsed; otherwise it is refused as not started.
    pub(super) fn abandon_queued(&mut self, now: Time, run: RunKey, reason: RefuseReason) {
        let Some(row) = self.runs.get(&run) else {
            return;
        };
        if row.maybe_started {
            self.finish_run(now, run, RunEnd::Lapsed);
            return;
        }
        let link = row.link;
        // A claim that its planner gives back is not refused.
        let is_given_back = row.claim.is_some() && reason == RefuseReason::Stopped;
        self.runs.remove(&run);
        if !is_given_back {
            self.log_refusal(run, reason);
        }
        self.send_refusal(run, link, reason);
    }

    fn log_refusal(&mut self, run: RunKey, reason: RefuseReason) {
        let free = self.free_capacity();
        let event = RunnerEvent::Refused { run, reason, free };
        self.steps.push(RunnerStep::Log(event));
    }

    /// Tells a planner that a run was not started and will not be.
    fn send_refusal(&mut self, run: RunKey, link: Option<LinkNo>, reason: RefuseReason) {
        if let Some(link) = link {
            let message = RunnerMessage::Refused { run, reason };
            self.steps.push(RunnerStep::Send { link, message });
        }
    }

    /// Returns why no runs are accepted at all.
    pub(super) fn closed_refusal(&self) -> RefuseReason {
        if self.is_evacuated() {
            RefuseReason::Evacuated
        } else {
            RefuseReason::Closed
        }
    }

    /// Returns why a run with this place in the order is not accepted, if it is not.
    fn refusal_reason(
        &self,
        service: &ServiceName,
        run: &RunKey,
        demand: &Resources,
        order: WorkOrder,
    ) -> Option<RefuseReason> {
        let Some(upstream) = self.upstream.as_ref().filter(|_| self.is_accepting()) else {
            return Some(self.closed_refusal());
        };
        if upstream.report.service != *service {
            return Some(RefuseReason::Closed);
        }
        // Another run of the same task is still here, for another planner or because it is being
        // stopped.
        let duplicate = self.runs.keys().any(|r| r.task() == run.task());
        if duplicate {
            return Some(RefuseReason::Twin);
        }
        // Queued runs that are later in order yield.
        let ahead = |r: &&Run| r.state == RunState::Queued && r.order <= order;
        let rows = self.runs.values().filter(ahead);
        let queue = rows.fold(*demand, |sum, r| sum.saturating_add(&r.demand));
        let fits = upstream.report.capacity.can_fit(&queue);
        (!fits).then_some(RefuseReason::Room)
    }

    pub(super) fn handle_start_outcome(
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
            CallOutcome::Done { .. } | CallOutcome::Listed(_) => self.mark_running(now, run),
            CallOutcome::Refused { reason, .. } => self.handle_start_refusal(now, run, *reason),
            // The refused connection may be a retry, after a start that was carried out.
            CallOutcome::NoAnswer | CallOutcome::NotListening => {
                row.maybe_started = true;
                self.schedule_retry(sent, run, "start");
            }
        }
    }

    /// Records that the upstream has started a run.
    pub(super) fn mark_running(&mut self, now: Time, run: RunKey) {
        let Some(row) = self.runs.get_mut(&run) else {
            return;
        };
        row.state = RunState::Running(now);
        let stop_requested = row.stop_requested;
        if let Some(link) = row.link {
            let message = RunnerMessage::Started(run);
            self.steps.push(RunnerStep::Send { link, message });
        }
        if stop_requested {
            self.stop_run(now, run);
        }
    }

    fn handle_start_refusal(&mut self, now: Time, run: RunKey, refusal: CallRefusal) {
        let Some(row) = self.runs.get(&run) else {
            return;
        };
        let maybe_started = row.maybe_started;
        let may_start = !row.stop_requested && self.may_start();
        match refusal {
            CallRefusal::Fence => {
                self.raise_fencing_token();
                if may_start {
                    self.call_start(now, run);
                    return;
                }
            }
            CallRefusal::Late if may_start => {
                self.call_start(now, run);
                return;
            }
            _ => {}
        }
        self.steps.push(RunnerStep::Log(RunnerEvent::NotStarted {
            run,
            reason: refusal,
        }));
        if maybe_started {
            self.resolve_refused_start(now, run, refusal);
            return;
        }
        let reason = match refusal {
            CallRefusal::Old => RefuseReason::Old,
            CallRefusal::Invalid => RefuseReason::Invalid,
            CallRefusal::Unhealthy => RefuseReason::Unhealthy,
            CallRefusal::Room => RefuseReason::Room,
            CallRefusal::OtherLife => RefuseReason::Closed,
            CallRefusal::Fence | CallRefusal::Late => RefuseReason::Stopped,
        };
        let Some(row) = self.runs.remove(&run) else {
            return;
        };
        if let Some(link) = row.link {
            let message = RunnerMessage::Refused { run, reason };
            self.steps.push(RunnerStep::Send { link, message });
        }
    }

    /// Determines the fate of a run whose start is refused after an earlier call for it got no
    /// answer. That call may have been carried out, or may still be. A stop prevents any later
    /// start, and the lists show the rest.
    fn resolve_refused_start(&mut self, now: Time, run: RunKey, refusal: CallRefusal) {
        // The upstream has already stopped or ended it.
        if refusal == CallRefusal::Old {
            self.set_state(run, RunState::Stopped(now));
            return;
        }
        self.set_state(run, RunState::Stopping);
        self.call_stop(run);
    }
}
