//! Upkeep of the links to planners: hellos, closing, loss, and state messages.

use chervilring_wire::{Micros, RunKey, RunnerLevel, RunnerMessage, Time, UpstreamState};
use rustc_hash::FxHashSet;

use super::call::UpstreamCall;
use super::event::RunnerEvent;
use super::pace::expected_speed;
use super::state::{Run, RunState, Runner, RunnerStep};
use super::state_updates::{change_threshold, is_significant_change};
use crate::runs::planner::LinkNo;

impl Runner {
    /// Handles a pause of the process. By now planners have dropped its links and the lease has
    /// expired.
    pub fn paused(&mut self, now: Time, duration: Micros) {
        self.steps
            .push(RunnerStep::Log(RunnerEvent::Paused { duration }));
        let links: Vec<LinkNo> = self.links.keys().copied().collect();
        for link in links {
            self.drop_link(now, link, "paused");
            self.steps.push(RunnerStep::Close(link));
        }
        self.tick(now);
    }

    /// Removes a link and stops its runs.
    pub(super) fn drop_link(&mut self, now: Time, link: LinkNo, reason: &'static str) {
        let Some(lost) = self.links.remove(&link) else {
            return;
        };
        let rows = self.runs.iter_mut().filter(|(_, r)| r.link == Some(link));
        let mut runs: Vec<RunKey> = Vec::new();
        for (run, row) in rows {
            row.unlink(&lost);
            runs.push(*run);
        }
        // A link without any message is a planner that could not be reached.
        if lost.planner_heard {
            let is_unneeded = lost.close_after.is_some() && runs.is_empty();
            let event = RunnerEvent::LinkLost {
                link: link.0,
                reason: if is_unneeded { "not needed" } else { reason },
                runs: runs.len() as u32,
            };
            self.steps.push(RunnerStep::Log(event));
        }
        for run in runs {
            if !self.withdraw_start(run) {
                self.stop_run(now, run);
            }
        }
    }

    /// Takes back the start of a run if it has not left this process, and forgets the run.
    fn withdraw_start(&mut self, run: RunKey) -> bool {
        let is_first = |r: &Run| r.state == RunState::Starting && !r.maybe_started;
        if !self.runs.get(&run).is_some_and(is_first) {
            return false;
        }
        let is_start = |step: &RunnerStep| matches!(step, RunnerStep::Call(UpstreamCall::Start { run: started, .. }) if *started == run);
        let Some(place) = self.steps.iter().position(is_start) else {
            return false;
        };
        self.steps.remove(place);
        self.runs.remove(&run);
        true
    }

    /// Returns whether hellos may be sent: no runs of a lost link remain.
    pub fn may_send_hello(&self, now: Time) -> bool {
        if self.runs.values().any(|r| r.link.is_none()) {
            return false;
        }
        // Runs of an earlier incarnation of this runner are known from the upstream's lists, or
        // have expired with their lease.
        now >= self.prior_expiry || self.upstream.as_ref().is_some_and(|u| u.runs_known)
    }

    /// Sends a hello on each new link.
    pub(super) fn send_hellos(&mut self, now: Time) {
        if !self.may_send_hello(now) {
            return;
        }
        let replica_version = self.replica_version();
        for (&link, row) in &mut self.links {
            if row.hello_sent {
                continue;
            }
            row.mark_hello_sent(now);
            let message = RunnerMessage::Hello {
                name: self.name.clone(),
                domain: self.domain.clone(),
                incarnation: self.incarnation,
                link_seq: RunnerLevel::ROOM.mark_link(link.0),
                replica_version,
            };
            self.steps.push(RunnerStep::Send { link, message });
        }
    }

    /// Asks planners to close surplus links that no runs belong to.
    pub(super) fn request_closes(&mut self, now: Time) {
        let busy: FxHashSet<LinkNo> = self.runs.values().filter_map(|r| r.link).collect();
        for (&link, row) in &mut self.links {
            let is_due = row.close_after.is_some_and(|at| now >= at);
            if !is_due || busy.contains(&link) {
                continue;
            }
            row.postpone_close(now);
            let message = RunnerMessage::CloseLink;
            self.steps.push(RunnerStep::Send { link, message });
        }
    }

    /// Closes links on which heartbeats are not acknowledged.
    pub(super) fn drop_silent_links(&mut self, now: Time) {
        let rows = self
            .links
            .iter()
            .filter(|(_, l)| now > l.deadline && l.hello_sent);
        let silent: Vec<LinkNo> = rows.map(|(&l, _)| l).collect();
        for link in silent {
            self.drop_link(now, link, "silent");
            self.steps.push(RunnerStep::Close(link));
        }
    }

    /// Returns the speed of the upstream to expect now, in thousandths.
    fn expected_speed(&self, now: Time) -> u32 {
        let pace = |(run, row): (&RunKey, &Run)| Some((run.job, row.pace.speed(now)?));
        expected_speed(self.runs.iter().filter_map(pace), self.speed.permille())
    }

    /// Sends the upstream's state to the planners for which it has changed.
    pub(super) fn send_states(&mut self, now: Time) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        let is_accepting = self.is_accepting();
        let mut state = UpstreamState {
            start_seq: 0,
            accepting: is_accepting,
            service: upstream.report.service.clone(),
            capacity: upstream.report.capacity,
            free: self.free_capacity(),
            queued: self.queued_by_timeout(now),
            run_time: Micros::from_millis(self.mean_run_time as u64 / 1_000),
            speed: self.expected_speed(now),
            labels: upstream.report.labels.clone(),
        };
        let busy: FxHashSet<LinkNo> = self.steps.iter().filter_map(target_link).collect();
        let threshold = change_threshold(self.links.len());
        for (&link, row) in self.links.iter_mut().filter(|(_, l)| l.hello_sent) {
            state.start_seq = row.start_seq;
            state.accepting = is_accepting && row.close_after.is_none();
            let is_due = row.sent_state.as_ref().is_none_or(|sent| {
                *sent != state
                    && (busy.contains(&link) || is_significant_change(sent, &state, threshold))
            });
            if !is_due {
                continue;
            }
            row.sent_state = Some(state.clone());
            let message = RunnerMessage::State(state.clone());
            self.steps.push(RunnerStep::Send { link, message });
        }
    }
}

/// Returns the link over which a step sends a message.
fn target_link(step: &RunnerStep) -> Option<LinkNo> {
    match step {
        RunnerStep::Send { link, .. } => Some(*link),
        _ => None,
    }
}
