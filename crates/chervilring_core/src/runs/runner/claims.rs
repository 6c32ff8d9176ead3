//! Claims of room, held for a short time until their planner confirms them or gives them back.
//!
//! They answer loads under which wide jobs find room for some of their tasks only: what was started is
//! spent in vain. A claim waits in the queue as a run does. When its turn comes it takes room and is
//! told, in place of being started. It starts only when it is confirmed, and ends with its link, with
//! this incarnation of the upstream or the runner, and at its deadline.
//!
//! Jobs that each hold what the other waits for would wait until their claims run out. Wound-wait rules
//! that out: a claim takes over the room of unconfirmed claims that rank behind it, which go back into
//! the queue. The rank is the priority and then the job, so that it is the same at all runners, and a
//! job that waits for a claim waits for one that ranks before it. The first one in rank waits for no
//! claim at all.

use std::collections::BTreeMap;

use chervilring_wire::{Micros, RefuseReason, Resources, RunKey, RunnerMessage, Time};

use super::event::{ClaimEnd, RunnerEvent};
use super::state::{Run, RunState, Runner, RunnerStep};
use crate::runs::order::WorkOrder;
use crate::runs::planner::LinkNo;

/// A claim that is not confirmed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Claim {
    /// How long the room is held, from when it is there.
    pub(super) hold: Micros,
    /// The priority of the route.
    pub(super) priority: u32,
}

/// The rank among claims; the least goes first. It is the same at all runners.
type Rank = (u32, RunKey);

impl Run {
    fn rank(&self, run: RunKey) -> Option<Rank> {
        Some((self.claim?.priority, run))
    }

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
    /// Starts claimed runs of a link that were confirmed. A run that has lost its room to another
    /// claim on the way goes first in the queue, as other tasks of its job have started.
    pub(super) fn confirm_claims(&mut self, now: Time, link: LinkNo, runs: Vec<RunKey>) {
        self.end_claims(now);
        for run in runs {
            let is_claim = |r: &&mut Run| r.link == Some(link) && r.claim.is_some();
            let Some(row) = self.runs.get_mut(&run).filter(is_claim) else {
                continue;
            };
            row.claim = None;
            let has_room = row.claim_deadline().is_some();
            self.log(RunnerEvent::ClaimConfirmed { run, has_room });
            if has_room {
                self.set_state(run, RunState::Starting);
                self.call_start(now, run);
            } else if let Some(row) = self.runs.get_mut(&run) {
                row.order = WorkOrder::first(now);
            }
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
                RefuseReason::Unconfirmed
            };
            self.abandon_queued(now, run, reason);
        }
    }

    /// Returns a claim's room at the request of its planner, or because its link is lost.
    pub(super) fn return_claim(&mut self, now: Time, run: RunKey) {
        self.log(RunnerEvent::ClaimEnded {
            run,
            end: ClaimEnd::GivenBack,
        });
        self.abandon_queued(now, run, RefuseReason::Stopped);
    }

    /// Takes over the room of claims that rank behind a claim which does not fit into `free`, if that
    /// makes room for it. Returns the free resources from then on.
    pub(super) fn take_over_room(&mut self, run: RunKey, free: Resources) -> Resources {
        let Some(row) = self.runs.get(&run) else {
            return free;
        };
        let Some(rank) = row.rank(run) else {
            return free;
        };
        let demand = row.demand;
        let rival = |(key, other): (&RunKey, &Run)| {
            other.claim_deadline()?;
            let other_rank = other.rank(*key)?;
            (other_rank > rank && key.job != run.job).then_some((other_rank, other.demand))
        };
        let mut rivals: Vec<(Rank, Resources)> = self.runs.iter().filter_map(rival).collect();
        rivals.sort_unstable_by_key(|(rank, _)| *rank);
        let mut freed = free;
        let mut wounded: Vec<RunKey> = Vec::new();
        while !freed.can_fit(&demand) {
            let Some(((_, key), taken)) = rivals.pop() else {
                return free;
            };
            freed = freed.saturating_add(&taken);
            wounded.push(key);
        }
        for key in wounded {
            self.set_state(key, RunState::Queued);
            self.log(RunnerEvent::ClaimEnded {
                run: key,
                end: ClaimEnd::TakenOver(run),
            });
        }
        freed
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
