//! Placement of the tasks of a job on upstreams.

use chervilring_wire::{Resources, Time, UpstreamState};

use super::candidates::{UpstreamSlot, could_run};
use super::choice::{Candidate, Choice, TaskTimes, choose_upstream};
use super::job::{Job, Step, TaskState};
use super::queue_timeouts::can_move;
use super::sending::Placement;
use super::state::Planner;

/// The share of all upstreams' processors from which a step counts as wide.
const WIDE_SHARE: f64 = 0.25;

impl Planner {
    /// Places as many tasks of a job as possible. Returns the number of tasks left waiting.
    pub(super) fn place_job(&mut self, now: Time, seq: u64) -> u32 {
        let Some(job) = self.jobs.get_mut(&seq) else {
            return 0;
        };
        job.last_placement = now;
        if job.cancelling {
            return 0;
        }
        let mut unplaced = 0;
        for step in 0..job.submission.steps.len() {
            unplaced += self.place_step(now, seq, step);
        }
        unplaced
    }

    fn place_step(&mut self, now: Time, seq: u64, step: usize) -> u32 {
        let Some(job) = self.jobs.get(&seq) else {
            return 0;
        };
        if !job.is_step_ready(step) {
            return 0;
        }
        let is_due = |t: &super::job::Task| {
            t.step == step && matches!(t.state, TaskState::Waiting(at) if at <= now)
        };
        let rows = job.tasks.iter().enumerate();
        let due: Vec<usize> = rows.filter(|(_, t)| is_due(t)).map(|(i, _)| i).collect();
        if due.is_empty() {
            return 0;
        }
        let (placements, unplaced) = self.choose_placements(now, seq, step, &due);
        let started = self.jobs.get(&seq).is_some_and(Job::may_have_started);
        // A partial result is of no use to the caller, so a job starts only once all tasks of the
        // step have a place.
        let may_start = started || unplaced == 0 || self.is_wide(seq, step);
        if placements.is_empty() || !may_start {
            return unplaced;
        }
        self.send(now, seq, step, placements, unplaced);
        self.claim_spares(now, seq, step);
        unplaced
    }

    /// Returns whether a job has a task that no known upstream of its service could ever run. False
    /// as long as no upstream is known.
    pub(super) fn is_unfit(&self, seq: u64) -> bool {
        let Some(job) = self.jobs.get(&seq) else {
            return false;
        };
        let service = job.submission.route.service.as_str();
        let accepting = self.links.values().filter(|u| u.accepts(service));
        let states: Vec<&UpstreamState> = accepting
            .filter_map(|u| u.state.as_ref().map(|(s, _)| s))
            .collect();
        let unfit = |step: &Step| !states.iter().any(|s| could_run(s, step));
        !states.is_empty() && job.submission.steps.iter().any(unfit)
    }

    /// Returns whether a step has so many tasks that they cannot be expected to run at once.
    fn is_wide(&self, seq: u64, step: usize) -> bool {
        let Some(job) = self.jobs.get(&seq) else {
            return false;
        };
        let row = &job.submission.steps[step];
        let total_cpu = self.total_cpu(job.submission.route.service.as_str());
        row.demand.cpu as f64 * f64::from(row.count) > total_cpu as f64 * WIDE_SHARE
    }

    /// Chooses upstreams for tasks of a step. Returns the number of tasks without a place.
    fn choose_placements(
        &mut self,
        now: Time,
        seq: u64,
        step: usize,
        due: &[usize],
    ) -> (Vec<Placement>, u32) {
        // A separate generator, because the tables stay borrowed below.
        let mut random = self.random.fork();
        let Some(job) = self.jobs.get(&seq) else {
            return (Vec::new(), 0);
        };
        let demand = &job.submission.steps[step].demand;
        let mut slots = self.slots(now, job, step);
        let times = task_times(now, job);
        let mut unplaced = 0;
        let mut candidates: Vec<Candidate> = Vec::with_capacity(slots.len());
        let mut placements: Vec<Placement> = Vec::new();
        for &task in due {
            let avoid = job.tasks[task].avoid_runner.as_ref();
            let is_other = |s: &UpstreamSlot| s.max_runs > 0 && Some(s.name) != avoid;
            let avoid = avoid.filter(|_| slots.iter().any(is_other));
            candidates.clear();
            candidates.extend(slots.iter().map(|s| s.candidate(demand, avoid)));
            match choose_upstream(&candidates, &times, || random.f64()) {
                Choice::Place(index) => {
                    let placed = take_slot(&mut slots[index], demand, task, &mut placements);
                    placed.can_move &= can_move(&candidates, index, &times);
                }
                Choice::Wait => unplaced += 1,
            }
        }
        (placements, unplaced)
    }
}

/// Returns the times that the tasks of a job must meet.
pub(super) fn task_times(now: Time, job: &Job) -> TaskTimes {
    let job_started = job.started_at.is_some();
    TaskTimes {
        now,
        objective: job.objective,
        deadline: job.submission.deadline,
        start_deadline: if job_started {
            job.objective
        } else {
            job.start_deadline
        },
        job_started,
    }
}

/// Adds a task to the placement on an upstream, which has less room from then on. Returns the
/// placement.
pub(super) fn take_slot<'p>(
    slot: &mut UpstreamSlot<'_>,
    demand: &Resources,
    task: usize,
    placements: &'p mut Vec<Placement>,
) -> &'p mut Placement {
    slot.max_runs -= 1;
    slot.requested = slot.requested.saturating_add(demand);
    let found = placements.iter().position(|p| p.link == slot.link);
    let index = found.unwrap_or(placements.len());
    if found.is_none() {
        placements.push(Placement {
            link: slot.link,
            name: slot.name.clone(),
            declared_runtime: slot.declared_runtime,
            run_time: slot.run_time,
            can_move: true,
            is_short: false,
            tasks: Vec::new(),
        });
    }
    let placement = &mut placements[index];
    placement.tasks.push(task);
    placement.is_short |= slot.is_short();
    placement
}
