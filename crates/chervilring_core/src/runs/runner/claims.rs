//! Claims of room, held for a short time until their planner confirms them or gives them back.
//!
//! They answer loads under which tasks of wide jobs wait for room at more than one upstream and start
//! where they have it first. A claim waits in the queue as a run does. When its turn comes it takes room
//! and is told, in place of being started. It starts only when it is confirmed, and ends with its link,
//! with this incarnation of the upstream or the runner, and at its deadline.
//!
//! Planners confirm each claim as soon as it has room, whatever becomes of the others. So no job holds
//! room while it waits for more, and jobs cannot block each other.

use std::collections::BTreeMap;

use chervilring_wire::{Micros, RefuseReason, RunKey, RunnerMessage, Time};

use super::event::{ClaimEnd, RunnerEvent};
use super::state::{Run, RunState, Runner, RunnerStep};
use crate::runs::planner::LinkNo;

/// A claim that is not confirmed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Claim {
    /// How long the room is held, from when it is there.
    pub(super) hold: Micros,
}

impl Run {
    /// Returns when a claim for which room is held runs out.
    pub(super) fn claim_deadline(&self) -> Option<Time> {
        match self.state {
            RunState::Claimed(deadline) => Some(deadline),
            _ => None,
        }
    }

    /// Gives a run the room that it was waiting for: it starts, or, if it is a claim, holds the room.
    pub(super) fn take_room(&mut self, now: Time) {
        self.state = match self.claim {
            Some(claim) => RunState::Claimed((now + claim.hold).min(self.start_deadline)),
            None => RunState::Starting,
        };
    }
}

impl Runner {
    /// Starts claimed runs of a link that were confirmed. Those whose claim has ended are refused
    /// already.
    pub(super) fn confirm_claims(&mut self, now: Time, link: LinkNo, runs: Vec<RunKey>) {
        self.end_claims(now);
        if self.links.get(&link).is_none_or(|l| l.is_overdue(now)) {
            return;
        }
        for run in runs {
            let is_held = |r: &&mut Run| r.link == Some(link) && r.claim_deadline().is_some();
            let Some(row) = self.runs.get_mut(&run).filter(is_held) else {
                continue;
            };
            row.claim = None;
            row.state = RunState::Starting;
            self.log(RunnerEvent::ClaimConfirmed { run });
            self.call_start(now, run);
        }
    }

    /// Refuses the claims whose deadline has passed, and all when no runs are accepted.
    pub(super) fn end_claims(&mut self, now: Time) {
        let is_closed = !self.is_accepting();
        let is_over = |r: &Run| {
            let deadline = r.claim_deadline();
            deadline.is_some_and(|d| now > d || is_closed || r.stop_requested)
        };
        let rows = self.runs.iter().filter(|(_, r)| is_over(r));
        let ended: Vec<RunKey> = rows.map(|(run, _)| *run).collect();
        for run in ended {
            self.log(RunnerEvent::ClaimEnded {
                run,
                end: ClaimEnd::RunOut,
            });
            let reason = if is_closed {
                self.closed_refusal()
            } else {
                RefuseReason::ClaimExpired
            };
            self.abandon_queued(now, run, reason);
        }
    }

    /// Gives back a claim's room at the request of its planner, or because its link is lost.
    pub(super) fn give_back_claim(&mut self, now: Time, run: RunKey) {
        self.log(RunnerEvent::ClaimEnded {
            run,
            end: ClaimEnd::GivenBack,
        });
        self.abandon_queued(now, run, RefuseReason::Stopped);
    }

    /// Tells planners of claims for which room is held from now on.
    pub(super) fn report_claims(&mut self, claimed: Vec<RunKey>) {
        let mut by_link: BTreeMap<LinkNo, Vec<RunKey>> = BTreeMap::new();
        for run in claimed {
            if let Some(link) = self.runs.get(&run).and_then(|r| r.link) {
                by_link.entry(link).or_default().push(run);
            }
        }
        for (link, runs) in by_link {
            self.log(RunnerEvent::Claimed {
                run: runs[0],
                runs: runs.len() as u32,
            });
            let message = RunnerMessage::Claimed(runs);
            self.steps.push(RunnerStep::Send { link, message });
        }
    }

    fn log(&mut self, event: RunnerEvent) {
        self.steps.push(RunnerStep::Log(event));
    }
}
