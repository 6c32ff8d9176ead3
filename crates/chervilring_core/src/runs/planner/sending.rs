//! The start messages for placed tasks.

use chervilring_wire::{
    ClaimRuns, Micros, Name, OrderedStart, PlannerMessage, QueuedRuns, Resources, RunKey,
    StartRuns, Time,
};

use super::claims::Claim;
use super::event::PlannerEvent;
use super::job::{Job, TaskState};
use super::links::LinkNo;
use super::state::{Planner, PlannerStep};

/// The tasks placed on one upstream.
pub(super) struct Placement {
    pub(super) link: LinkNo,
    pub(super) name: Name,
    /// The run time of each task there at speed one.
    pub(super) declared_runtime: Micros,
    /// The expected run time of each task there.
    pub(super) run_time: Micros,
    /// Whether all its tasks are placed on free room, and could go elsewhere.
    pub(super) can_move: bool,
    /// Whether all its tasks are placed on free room.
    pub(super) is_free: bool,
    /// Whether room is short there.
    pub(super) is_short: bool,
    pub(super) tasks: Vec<usize>,
}

impl Planner {
    /// Sends placed tasks of a step to their upstreams.
    pub(super) fn send(
        &mut self,
        now: Time,
        seq: u64,
        step: usize,
        placements: Vec<Placement>,
        unplaced: u32,
    ) {
        let is_claim = self.should_claim(now, seq, &placements, unplaced);
        let late_bound = |job: &Job| is_claim && self.is_late_bound(now, job, &placements) && super::claims::knob("CL_LATE", 1) == 1;
        let is_late_bound = self.jobs.get(&seq).is_some_and(late_bound);
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        job.is_late_bound |= is_late_bound;
        if !is_claim && !job.is_late_bound {
            // What the job has claimed before goes with the runs that start without a claim.
            self.confirm_claims(now, seq);
        }
        let mut state_age = Micros::default();
        let mut runners = Vec::with_capacity(placements.len());
        for placement in placements {
            let Some(upstream) = self.links.get(&placement.link) else {
                continue;
            };
            if let Some((_, at)) = &upstream.state {
                state_age = state_age.max(now.duration_since(*at));
            }
            let Some(job) = self.jobs.get_mut(&seq) else {
                return;
            };
            let runs = mark_sent(job, now, &placement, is_claim);
            let count = runs.len() as u32;
            self.send_runs(now, (seq, step), &placement, runs, is_claim);
            runners.push((placement.name, count));
        }
        let Some(job) = self.jobs.get(&seq) else {
            return;
        };
        let event = PlannerEvent::Placed {
            job: job.submission.id,
            runners,
            waited: now.duration_since(job.arrived),
            state_age,
            unplaced,
            claimed: is_claim,
        };
        self.steps.push(PlannerStep::Log(event));
    }

    /// Sends runs of a step of a job to an upstream, to start or to claim their room.
    pub(super) fn send_runs(
        &mut self,
        now: Time,
        (seq, step): (u64, usize),
        placement: &Placement,
        runs: Vec<RunKey>,
        is_claim: bool,
    ) {
        let Some(job) = self.jobs.get(&seq) else {
            return;
        };
        let Some(upstream) = self.links.get_mut(&placement.link) else {
            return;
        };
        let rows = runs.iter().copied().zip(placement.tasks.iter().copied());
        self.runs.extend(rows.map(|(run, task)| (run, (seq, task))));
        let knows_room = upstream.source.knows_room();
        let can_move = placement.can_move && !job.is_late_bound;
        let queue_timeout = if knows_room {
            job.queue_timeout(now, placement.run_time, can_move)
        } else {
            now.duration_until(job.latest_useful_start(now, placement.run_time))
        };
        let row = &job.submission.steps[step];
        let urgency = job.urgency(now, placement.run_time);
        let queued = QueuedRuns {
            queue_timeout: upstream.remaining(now, job, placement.run_time),
            demand: total(&row.demand, runs.len()),
        };
        let start = StartRuns {
            seq: upstream.record_start(queued, runs.len() as u32),
            service: job.submission.route.service.clone(),
            spec: job.submission.spec.clone(),
            demand: row.demand,
            declared_runtime: placement.declared_runtime,
            queue_timeout,
            runs,
        };
        let message = if is_claim {
            let start = OrderedStart { start, urgency };
            let hold = job.hold(now);
            PlannerMessage::Claim(ClaimRuns { start, hold })
        } else if knows_room {
            PlannerMessage::StartOrdered(OrderedStart { start, urgency })
        } else {
            PlannerMessage::Start(start)
        };
        let link = placement.link;
        self.steps.push(PlannerStep::Send { link, message });
    }
}

/// Marks the tasks of a placement as sent and returns their runs.
fn mark_sent(job: &mut Job, now: Time, placement: &Placement, is_claim: bool) -> Vec<RunKey> {
    let mut runs = Vec::with_capacity(placement.tasks.len());
    for &task in &placement.tasks {
        let row = &mut job.tasks[task];
        row.last_attempt += 1;
        row.attempt = row.last_attempt;
        row.spare = None;
        row.claim = if is_claim {
            Claim::Requested
        } else {
            Claim::None
        };
        row.sent_runtime = placement.declared_runtime;
        row.state = TaskState::Sent {
            link: placement.link,
            at: now,
        };
        runs.push(job.run_key(task));
    }
    job.sent_runs += runs.len() as u32;
    runs
}

/// Returns what a number of runs take together.
fn total(demand: &Resources, runs: usize) -> Resources {
    (0..runs).fold(Resources::default(), |sum, _| sum.saturating_add(demand))
}
