//! Periodic work of a runner: deadlines, and polls and lease of the upstream.

use chervilring_wire::{Micros, RunKey, RunnerMessage, Time};

use super::call::{CallOutcome, CallRefusal, UpstreamCall};
use super::event::RunnerEvent;
use super::retries::MIN_CALL_INTERVAL;
use super::state::{Run, RunState, Runner, RunnerStep};
use super::upstream::{Availability, Reachability, Silence, Upstream};

/// How long the upstream may delay the answer to a poll while it has runs. An end in a lost answer
/// is reported by the next one.
const BUSY_POLL_WAIT: Micros = Micros::from_millis(50);

/// How long it may delay the answer while it has no runs.
const IDLE_POLL_WAIT: Micros = Micros::from_millis(100);

/// How long an upstream may leave calls unanswered before it gets no more runs. Single answers are
/// lost more often than upstreams fail.
const UPSTREAM_SILENCE: Micros = Micros::from_millis(200);

/// By how much the fencing token is raised when an earlier incarnation had a higher one.
const FENCING_TOKEN_STEP: u64 = 10_000;

impl Runner {
    /// Carries out everything that is due.
    pub fn tick(&mut self, now: Time) {
        self.drop_silent_links(now);
        self.check_silence(now);
        self.end_claims(now);
        self.end_expired_runs(now);
        self.check_lease(now);
        self.send_hellos(now);
        self.share_evacuations();
        self.request_closes(now);
        self.retry_calls(now);
        self.start_queued(now);
        self.poll_upstream(now);
        self.store_speed_if_changed(now);
        self.log_accepting();
        self.send_states(now);
        self.check_shutdown(now);
    }

    /// Returns when [`Runner::tick`] is due next.
    pub fn wake_at(&self) -> Time {
        let mut wake = self.next_retry();
        for row in self.links.values().filter(|l| l.hello_sent) {
            wake = wake.min(row.deadline + Micros(1));
            wake = wake.min(row.close_after.unwrap_or(Time::NEVER));
        }
        let queued = self.runs.values().filter(|r| r.state == RunState::Queued);
        if let Some(start_deadline) = queued.map(|r| r.start_deadline).min() {
            wake = wake.min(start_deadline + Micros(1));
        }
        let claims = self.runs.values().filter_map(Run::claim_deadline);
        if let Some(deadline) = claims.min() {
            wake = wake.min(deadline + Micros(1));
        }
        let detached = self.runs.values().filter_map(Run::predecessor);
        wake = wake.min(detached.map(|p| p.expiry).min().unwrap_or(Time::NEVER));
        if let Some(upstream) = &self.upstream {
            if !upstream.poll_pending {
                wake = wake.min(upstream.next_poll);
            }
            if upstream.reachability == Reachability::Silent {
                wake = wake.min(upstream.lease.runs_end_at());
            }
        }
        wake
    }

    pub(super) fn record_answer(&mut self, now: Time, outcome: &CallOutcome) {
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        let started_ms = upstream.report.incarnation.started_ms;
        let clock = match outcome {
            CallOutcome::Done { clock } | CallOutcome::Refused { clock, .. } => *clock,
            // The clock of another incarnation is another one.
            CallOutcome::Listed(lists) => (lists.started_ms == started_ms).then_some(lists.clock),
            CallOutcome::NoAnswer | CallOutcome::NotListening => None,
        };
        if let Some(clock) = clock {
            upstream.lease.record_clock(now, clock);
        }
        let is_other = matches!(
            outcome,
            CallOutcome::Refused {
                reason: CallRefusal::OtherLife,
                ..
            }
        );
        let is_missing = matches!(outcome, CallOutcome::NoAnswer | CallOutcome::NotListening);
        if !is_missing && !is_other {
            upstream.last_answer = now;
            upstream.silence = Silence::Unexplained;
        }
    }

    pub(super) fn raise_fencing_token(&mut self) {
        self.fencing_token += FENCING_TOKEN_STEP;
    }

    pub(super) fn call_start(&mut self, now: Time, run: RunKey) {
        let Some(lease_end) = self.extend_lease(now) else {
            if let Some(row) = self.runs.get_mut(&run) {
                row.retry_at = Some(now + MIN_CALL_INTERVAL);
            }
            return;
        };
        let (Some(upstream), Some(row)) = (&self.upstream, self.runs.get(&run)) else {
            return;
        };
        let call = UpstreamCall::Start {
            incarnation: upstream.report.incarnation.clone(),
            run,
            spec: row.spec.clone(),
            demand: row.demand,
            lease_end,
            fencing_token: self.fencing_token,
        };
        self.steps.push(RunnerStep::Call(call));
    }

    pub(super) fn call_stop(&mut self, run: RunKey) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        let call = UpstreamCall::Stop {
            incarnation: upstream.report.incarnation.clone(),
            run,
            fencing_token: self.fencing_token,
        };
        self.steps.push(RunnerStep::Call(call));
    }

    /// Requests the lists of runs, which also extends the lease.
    fn poll_upstream(&mut self, now: Time) {
        let is_idle = self.runs.is_empty();
        let is_due = |u: &Upstream| !u.poll_pending && now >= u.next_poll;
        let Some(upstream) = self.upstream.as_ref().filter(|u| is_due(u)) else {
            return;
        };
        // The lease of runs that an earlier incarnation of this runner started is not extended. A
        // silent upstream may still receive calls although its answers are lost, so its lease must
        // expire as well.
        let may_extend = upstream.runs_known && !upstream.is_silent() && !is_idle;
        let lease_end = if may_extend {
            self.extend_lease(now)
        } else {
            None
        };
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        upstream.poll_pending = true;
        let max_wait = match (
            upstream.runs_known && upstream.reachability == Reachability::Answering,
            is_idle,
        ) {
            (true, true) => IDLE_POLL_WAIT,
            (true, false) => BUSY_POLL_WAIT,
            (false, _) => Micros::default(),
        };
        if !upstream.runs_known {
            upstream.next_poll = now + IDLE_POLL_WAIT;
        }
        let call = UpstreamCall::Poll {
            incarnation: upstream.report.incarnation.clone(),
            lease_end,
            acked: upstream.acked,
            max_wait,
            fencing_token: self.fencing_token,
        };
        self.steps.push(RunnerStep::Call(call));
    }

    fn check_silence(&mut self, now: Time) {
        if let Some(upstream) = &mut self.upstream {
            let silent = now.duration_since(upstream.last_answer) > UPSTREAM_SILENCE;
            match (silent, upstream.is_silent()) {
                (true, false) => upstream.reachability = Reachability::Silent,
                (false, true) => upstream.reachability = Reachability::Missed,
                _ => {}
            }
        }
    }

    /// Ends the runs on an upstream that does not answer, once they have certainly ended with its lease.
    fn check_lease(&mut self, now: Time) {
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        if upstream.reachability != Reachability::Silent || now < upstream.lease.runs_end_at() {
            return;
        }
        upstream.reachability = Reachability::Expired;
        // If it is still silent, one that has reported meanwhile takes its place.
        upstream.next_poll = now;
        let end = upstream.run_end();
        let id = upstream.report.incarnation.id.clone();
        let is_here = |r: &Run| r.link.is_some() && r.predecessor().is_none();
        let sent = self.runs.iter_mut().filter(|(_, r)| is_here(r));
        let mut runs = 0;
        for (&run, row) in sent {
            // The run takes capacity until the upstream's lists show its end.
            let Some(link) = row.link.take() else {
                continue;
            };
            runs += 1;
            let elapsed = now.duration_since(row.accepted);
            let message = RunnerMessage::Ended { run, end };
            self.steps.push(RunnerStep::Send { link, message });
            self.steps
                .push(RunnerStep::Log(RunnerEvent::Ended { run, end, elapsed }));
            row.stop_requested = true;
            row.limit_to(now);
        }
        // An upstream that has never answered has no lease to expire.
        if upstream.last_answer > Time::default() {
            let event = RunnerEvent::LeaseExpired { id, runs };
            self.steps.push(RunnerStep::Log(event));
        }
    }

    fn log_accepting(&mut self) {
        let accepting = self.is_accepting();
        if accepting == self.accepting {
            return;
        }
        self.accepting = accepting;
        let Some(upstream) = &self.upstream else {
            return;
        };
        let event = RunnerEvent::AcceptingChanged {
            id: upstream.report.incarnation.id.clone(),
            accepting,
            reason: self.closed_reason(upstream),
        };
        self.steps.push(RunnerStep::Log(event));
    }

    /// Exits once no runs remain after the start of a shutdown, or its deadline has passed.
    fn check_shutdown(&mut self, now: Time) {
        let Some(deadline) = self.shutdown_deadline else {
            return;
        };
        let is_pending = |r: &Run| r.link.is_some() || r.state != RunState::Starting;
        let busy = self.runs.values().any(is_pending);
        if !busy || now >= deadline {
            self.steps.push(RunnerStep::Exit);
        }
    }

    /// Returns why runs are not accepted, or `"ready"` if they are.
    fn closed_reason(&self, upstream: &Upstream) -> &'static str {
        if self.shutdown_deadline.is_some() {
            return "runner is shutting down";
        }
        if self.is_evacuated() {
            return "failure domain is evacuated";
        }
        unusable_reason(upstream)
    }
}

/// Returns why an upstream is not usable by itself, or `"ready"` if it is.
fn unusable_reason(upstream: &Upstream) -> &'static str {
    if upstream.report.state == Availability::Left {
        return "upstream has left";
    }
    if upstream.report.state == Availability::Draining {
        return "upstream is draining";
    }
    if upstream.is_silent() {
        return "upstream does not answer";
    }
    if !upstream.runs_known {
        return "active runs of the upstream are not known yet";
    }
    if !upstream.report_current {
        return "new incarnation of the upstream has not reported yet";
    }
    "ready"
}
