//! Claims: a job whose room is short starts once all its tasks have room, and not before.
//!
//! They answer loads under which most upstreams are full and several planners count on the same room:
//! some tasks of a wide job start, the others wait until its answer is useless, and the cores of those
//! that ran were spent in vain. With ample room no claims are made, and starts cost no round trip.

use std::collections::BTreeMap;

use chervilring_wire::{Micros, PlannerMessage, Resources, RunKey, Time, UpstreamState};

use super::event::PlannerEvent;
use super::job::{Job, Task, TaskState};
use super::links::LinkNo;
use super::sending::Placement;
use super::state::{Planner, PlannerStep};

/// The longest time for which a runner holds room: the other tasks must find theirs in that time.
const MAX_HOLD: Micros = Micros::from_millis(30);

/// The share of an upstream up to which runners do not report a change at once.
const UNREPORTED_SHARE: f64 = 0.125;

/// What the run of a task has of its room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum Claim {
    /// There is no claim: it starts when it has room.
    #[default]
    None,
    /// Room is claimed.
    Requested,
    /// The runner holds the room until the run is confirmed.
    Held,
}

impl Task {
    /// Returns the link over which room is claimed for its run and not confirmed.
    fn claim_link(&self) -> Option<LinkNo> {
        match self.state {
            TaskState::Sent { link, .. } if self.claim != Claim::None => Some(link),
            _ => None,
        }
    }

    /// Returns whether its run cannot have started, as its claim was not confirmed.
    pub(super) fn is_unconfirmed(&self) -> bool {
        self.claim_link().is_some()
    }
}

impl Job {
    /// Returns how long runners hold claimed room.
    pub(super) fn hold(&self, now: Time) -> Micros {
        now.duration_until(self.start_deadline)
            .min(Micros::from_millis(knob("CL_HOLD", 30)))
    }

    fn has_claims(&self) -> bool {
        self.tasks.iter().any(Task::is_unconfirmed)
    }

    /// Returns whether no task lacks room that could start now.
    fn is_all_claimed(&self) -> bool {
        let lacks_room = |t: &Task| match t.state {
            TaskState::Waiting(_) => self.is_step_ready(t.step),
            TaskState::Sent { .. } => t.claim == Claim::Requested,
            TaskState::Stopping(_) | TaskState::Done => false,
        };
        !self.tasks.iter().any(lacks_room)
    }
}

impl Planner {
    /// Returns whether the room of placements is claimed before they start: those of a job of several
    /// tasks that has not started, where room is short.
    pub(super) fn should_claim(&self, now: Time, seq: u64, placements: &[Placement], unplaced: u32) -> bool {
        let Some(job) = self.jobs.get(&seq) else {
            return false;
        };
        let knows_claims = |p: &Placement| {
            let upstream = self.links.get(&p.link);
            upstream.is_some_and(|u| u.source.knows_room())
        };
        let may_claim = self.settings.claims && job.started_at.is_none();
        if !may_claim || !placements.iter().all(knows_claims) {
            return false;
        }
        if job.has_claims() {
            return true;
        }
        let runs: usize = placements.iter().map(|p| p.tasks.len()).sum();
        let is_whole = runs > 1 && unplaced == 0 && !job.may_have_started();
        let mode = knob("CL_MODE", 0);
        if mode == 1 && !placements.iter().all(|p| p.is_free) {
            return false;
        }
        let late = self.is_late_bound(now, job, placements) && knob("CL_LATE", 1) == 1;
        if knob("CL_WHOLE", 0) == 0 && !late {
            return false;
        }
        is_whole && placements.iter().any(|p| p.is_short)
    }

    /// Records that a runner holds room for claimed runs, and confirms the jobs that have all.
    pub(super) fn record_claims(&mut self, now: Time, link: LinkNo, runs: &[RunKey]) {
        for run in runs {
            if !self.was_sent_over(run, link) {
                continue;
            }
            let Some(&(seq, index)) = self.runs.get(run) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(&seq) else {
                continue;
            };
            if job.is_late_bound && !job.cancelling && job.tasks[index].claim == Claim::Requested {
                self.bind_task(now, link, *run);
                continue;
            }
            let task = &mut job.tasks[index];
            if task.claim == Claim::Requested {
                task.claim = Claim::Held;
            }
            if !job.cancelling && job.is_all_claimed() {
                self.confirm_claims(now, seq);
            }
        }
    }

    /// Confirms all claims of a job, so that its runs start. Those that have no room yet wait for it
    /// as other runs do.
    pub(super) fn confirm_claims(&mut self, now: Time, seq: u64) {
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        let mut by_link: BTreeMap<LinkNo, Vec<RunKey>> = BTreeMap::new();
        for index in 0..job.tasks.len() {
            let Some(link) = job.tasks[index].claim_link() else {
                continue;
            };
            job.tasks[index].claim = Claim::None;
            by_link.entry(link).or_default().push(job.run_key(index));
        }
        if by_link.is_empty() {
            return;
        }
        let event = PlannerEvent::Confirmed {
            job: job.submission.id,
            runs: by_link.values().map(Vec::len).sum(),
            runners: by_link.len(),
            waited: now.duration_since(job.arrived),
        };
        self.steps.push(PlannerStep::Log(event));
        for (link, runs) in by_link {
            let message = PlannerMessage::Confirm(runs);
            self.steps.push(PlannerStep::Send { link, message });
        }
    }
}

/// Returns whether room is short on an upstream where `requested`, which includes the runs to be
/// placed, takes what is free: other planners may have taken it.
pub(super) fn is_room_short(state: &UpstreamState, requested: &Resources) -> bool {
    let is_short = |free: u64, requested: u64, capacity: u64| {
        let unreported = (capacity as f64 * UNREPORTED_SHARE) as u64;
        requested > 0 && free < requested.saturating_add(unreported)
    };
    is_short(state.free.cpu, requested.cpu, state.capacity.cpu)
        || is_short(state.free.memory, requested.memory, state.capacity.memory)
        || is_short(state.free.gpu, requested.gpu, state.capacity.gpu)
}

pub(super) fn knob(name: &str, other: u64) -> u64 {
    std::env::var(name)
        .ok()
        .map_or(other, |t| t.parse().unwrap())
}
