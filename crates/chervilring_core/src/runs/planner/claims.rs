//! Claims: each task of an urgent wide job claims room at two upstreams, and starts where it has room
//! first.
//!
//! They answer loads under which nearly all upstreams are full and urgent jobs are wide: with one
//! upstream a task, a job is as late as the one whose upstream has no end of a run for longest. A task
//! that waits at two places seldom waits long, and no room has to be kept free for it. The other claim
//! is given back as soon as one has room. With ample room no claims are made, and starts cost no round
//! trip.

use chervilring_wire::{Micros, Name, PlannerMessage, Resources, RunKey, Time, UpstreamState};

use super::choice::{Candidate, Choice, choose_upstream};
use super::event::{LossCause, PlannerEvent};
use super::job::{Job, Task, TaskState};
use super::links::LinkNo;
use super::placing::{take_slot, task_times};
use super::sending::Placement;
use super::state::{Planner, PlannerStep};

/// The least number of tasks of a step, placed at once, for which room is claimed. A job with fewer
/// seldom waits for the slowest.
const MIN_TASKS: usize = 4;

/// The longest time for which a runner holds room until the confirmation arrives.
const MAX_HOLD: Micros = Micros::from_millis(30);

/// The share of an upstream up to which runners do not report a change at once.
const UNREPORTED_SHARE: f64 = 0.125;

/// A second claim for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Spare {
    pub(super) link: LinkNo,
    pub(super) attempt: u32,
    /// The run time that the task is expected to take there at speed one.
    pub(super) sent_runtime: Micros,
}

impl Task {
    /// Returns whether its run cannot have started, as its claim was not confirmed.
    pub(super) fn is_claim_pending(&self) -> bool {
        self.claimed && matches!(self.state, TaskState::Sent { .. })
    }

    /// Returns whether an attempt was sent over a link and its end is not known.
    pub(super) fn has_run(&self, attempt: u32, link: LinkNo) -> bool {
        if attempt != self.attempt {
            let spare = self.spare.filter(|s| s.attempt == attempt);
            return spare.is_some_and(|s| s.link == link);
        }
        self.sent_link() == Some(link)
    }

    /// Makes the spare claim the claim of the task. Returns whether there was one.
    fn promote_spare(&mut self, now: Time) -> bool {
        let Some(spare) = self.spare.take() else {
            return false;
        };
        self.attempt = spare.attempt;
        self.sent_runtime = spare.sent_runtime;
        self.state = TaskState::Sent {
            link: spare.link,
            at: now,
        };
        true
    }
}

impl Job {
    /// Returns how long runners hold claimed room.
    pub(super) fn hold(&self, now: Time) -> Micros {
        now.duration_until(self.start_deadline).min(MAX_HOLD)
    }

    /// Returns the spare claims, each with the link to its upstream.
    pub(super) fn spare_runs(&self) -> impl Iterator<Item = (RunKey, LinkNo)> + '_ {
        let tasks = self.tasks.iter().enumerate();
        tasks.filter_map(|(index, task)| {
            let spare = task.spare?;
            let run = RunKey {
                attempt: spare.attempt,
                ..self.run_key(index)
            };
            Some((run, spare.link))
        })
    }

    fn has_claims(&self) -> bool {
        self.tasks.iter().any(Task::is_claim_pending)
    }

    /// Returns the tasks of a step with one claim that awaits its confirmation. Tasks that were refused
    /// for room are left out, so that none is refused twice at once.
    fn lone_claims(&self, step: usize) -> Vec<usize> {
        let is_lone = |t: &Task| {
            let is_single = t.spare.is_none() && t.room_refusals == 0;
            t.step == step && is_single && t.is_claim_pending()
        };
        let tasks = self.tasks.iter().enumerate();
        tasks.filter(|(_, t)| is_lone(t)).map(|(i, _)| i).collect()
    }
}

impl Planner {
    /// Returns whether the tasks of placements claim their room: those of a wide job that has not
    /// started, where room is short and the job has less time than a run usually takes to end.
    pub(super) fn should_claim(&self, now: Time, job: &Job, placements: &[Placement]) -> bool {
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
        let is_urgent = |p: &Placement| {
            let state = self.links.get(&p.link).and_then(|u| u.state.as_ref());
            let slack = job.urgency(now, p.run_time).slack;
            state.is_some_and(|(s, _)| slack < s.run_time)
        };
        let tasks: usize = placements.iter().map(|p| p.tasks.len()).sum();
        tasks >= MIN_TASKS
            && !job.may_have_started()
            && placements.iter().any(|p| p.is_short)
            && placements.iter().any(is_urgent)
    }

    /// Claims spare room for the tasks of a step whose room was claimed.
    pub(super) fn claim_spares(&mut self, now: Time, seq: u64, step: usize) {
        let placements = self.choose_spares(now, seq, step);
        let mut runners = Vec::with_capacity(placements.len());
        for placement in placements {
            let Some(job) = self.jobs.get_mut(&seq) else {
                return;
            };
            let runs = mark_spares(job, &placement);
            let count = runs.len() as u32;
            self.send_runs(now, (seq, step), &placement, runs, true);
            runners.push((placement.name, count));
        }
        if let Some(job) = self.jobs.get(&seq).filter(|_| !runners.is_empty()) {
            let job = job.submission.id;
            let event = PlannerEvent::SparesClaimed { job, runners };
            self.steps.push(PlannerStep::Log(event));
        }
    }

    fn choose_spares(&mut self, now: Time, seq: u64, step: usize) -> Vec<Placement> {
        // A separate generator, because the tables stay borrowed below.
        let mut random = self.random.fork();
        let Some(job) = self.jobs.get(&seq) else {
            return Vec::new();
        };
        let lone = job.lone_claims(step);
        if lone.is_empty() {
            return Vec::new();
        }
        let demand = &job.submission.steps[step].demand;
        let mut slots = self.slots(now, job, step);
        let times = task_times(now, job);
        let mut placements: Vec<Placement> = Vec::new();
        for task in lone {
            let TaskState::Sent { link, .. } = job.tasks[task].state else {
                continue;
            };
            let avoid: Option<&Name> = self.links.get(&link).map(|u| &u.name);
            let candidates = slots.iter().map(|s| s.candidate(demand, avoid));
            let candidates: Vec<Candidate> = candidates.collect();
            if let Choice::Place(index) = choose_upstream(&candidates, &times, || random.f64()) {
                take_slot(&mut slots[index], demand, task, &mut placements);
            }
        }
        placements
    }

    /// Confirms the runs of a link for which their runner holds room.
    pub(super) fn confirm_claims(&mut self, now: Time, link: LinkNo, runs: &[RunKey]) {
        let mut confirmed: Vec<RunKey> = Vec::with_capacity(runs.len());
        for &run in runs {
            if self.was_sent_over(&run, link) && self.bind_task(now, run) {
                confirmed.push(run);
            }
        }
        if !confirmed.is_empty() {
            let message = PlannerMessage::Confirm(confirmed);
            self.steps.push(PlannerStep::Send { link, message });
        }
    }

    /// Binds a task to the upstream that holds room for a run of it, and gives back its other claim.
    /// Returns whether the run is to be confirmed.
    fn bind_task(&mut self, now: Time, run: RunKey) -> bool {
        let Some(&(seq, index)) = self.runs.get(&run) else {
            return false;
        };
        let Some(job) = self.jobs.get_mut(&seq) else {
            return false;
        };
        if job.cancelling || !job.tasks[index].is_claim_pending() {
            return false;
        }
        let is_spare = run.attempt != job.tasks[index].attempt;
        let other = if is_spare {
            let first = job.run_key(index);
            let link = job.tasks[index].sent_link();
            link.map(|l| (first, l))
        } else {
            job.spare_runs().find(|(r, _)| r.task() == run.task())
        };
        let task = &mut job.tasks[index];
        if is_spare {
            task.promote_spare(now);
        }
        task.spare = None;
        task.claimed = false;
        if let Some((other_run, link)) = other {
            self.runs.remove(&other_run);
            let message = PlannerMessage::CancelQueued(vec![other_run]);
            self.steps.push(PlannerStep::Send { link, message });
        }
        true
    }

    /// Forgets a lost claim if its task has another one. Returns whether it has.
    pub(super) fn drop_claim(&mut self, now: Time, run: RunKey, cause: LossCause) -> bool {
        let Some(&(seq, index)) = self.runs.get(&run) else {
            return false;
        };
        let Some(job) = self.jobs.get_mut(&seq) else {
            return false;
        };
        let task = &mut job.tasks[index];
        let is_spare = run.attempt != task.attempt;
        if is_spare {
            task.spare = None;
        }
        let has_other = is_spare || task.promote_spare(now);
        if has_other {
            task.record_loss(cause);
            self.runs.remove(&run);
        }
        has_other
    }

    /// Forgets the spare claims over a link that has ended.
    pub(super) fn drop_spares(&mut self, link: LinkNo) {
        for job in self.jobs.values_mut() {
            let spares = job.spare_runs().filter(|(_, l)| *l == link);
            let lost: Vec<RunKey> = spares.map(|(run, _)| run).collect();
            for run in lost {
                if let Some((_, index)) = self.runs.remove(&run) {
                    job.tasks[index].spare = None;
                }
            }
        }
    }
}

/// Records the spare claims of a placement and returns their runs.
fn mark_spares(job: &mut Job, placement: &Placement) -> Vec<RunKey> {
    let mut runs = Vec::with_capacity(placement.tasks.len());
    for &index in &placement.tasks {
        let run = job.run_key(index);
        let task = &mut job.tasks[index];
        task.last_attempt += 1;
        task.spare = Some(Spare {
            link: placement.link,
            attempt: task.last_attempt,
            sent_runtime: placement.declared_runtime,
        });
        runs.push(RunKey {
            attempt: task.last_attempt,
            ..run
        });
    }
    runs
}

/// Returns whether `requested`, which includes the runs to be placed, leaves less free than the share
/// whose use is not reported at once: other planners may have taken it.
pub(super) fn is_room_short(state: &UpstreamState, requested: &Resources) -> bool {
    let is_short = |free: u64, requested: u64, capacity: u64| {
        let unreported = (capacity as f64 * UNREPORTED_SHARE) as u64;
        requested > 0 && free < requested.saturating_add(unreported)
    };
    is_short(state.free.cpu, requested.cpu, state.capacity.cpu)
        || is_short(state.free.memory, requested.memory, state.capacity.memory)
        || is_short(state.free.gpu, requested.gpu, state.capacity.gpu)
}
