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
        let is_claim = self.should_claim(seq, &placements, unplaced);
        if !is_claim {
            // What the job has claimed before goes with the runs that start without a claim.
            self.confirm_claims(now, seq);
        }
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        let mut state_age = Micros::default();
        let mut runners = Vec::with_capacity(placements.len());
        for placement in placements {
            let Some(upstream) = self.links.get_mut(&placement.link) else {
                continue;
            };
            if let Some((_, at)) = &upstream.state {
                state_age = state_age.max(now.duration_since(*at));
            }
            let runs = mark_sent(job, now, &placement, is_claim);
            let rows = runs.iter().copied().zip(placement.tasks.iter().copied());
            self.runs.extend(rows.map(|(run, task)| (run, (seq, task))));
            let knows_room = upstream.source.knows_room();
            let claim_wait = crate::runs::planner::claims::knob("CL_WAIT", 0);
            let queue_timeout = if is_claim && claim_wait > 0 {
                Micros::from_millis(claim_wait)
            } else if knows_room {
                job.queue_timeout(now, placement.run_time, placement.can_move)
            } else {
                now.duration_until(job.latest_useful_start(now, placement.run_time))
            };
            let row = &job.submission.steps[step];
            let urgency = job.urgency(now, placement.run_time);
            let queued = QueuedRuns {
                queue_timeout: upstream.remaining(now, job, placement.run_time),
                demand: total(&row.demand, runs.len()),
            };
            let count = runs.len() as u32;
            let start = StartRuns {
                seq: upstream.record_start(queued, count),
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
            self.steps.push(PlannerStep::Send {
                link: placement.link,
                message,
            });
            runners.push((placement.name, count));
        }
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
}

/// Marks the tasks of a placement as sent and returns their runs.
fn mark_sent(job: &mut Job, now: Time, placement: &Placement, is_claim: bool) -> Vec<RunKey> {
    let mut runs = Vec::with_capacity(placement.tasks.len());
    for &task in &placement.tasks {
        let row = &mut job.tasks[task];
        row.attempt += 1;
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
