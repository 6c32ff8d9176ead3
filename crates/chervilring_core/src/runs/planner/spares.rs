//! Spare claims: each task of a wide job claims room at two upstreams and starts where it has room
//! first.
//!
//! They answer loads under which all upstreams are full and urgent jobs are wide: with one upstream a
//! task, a job is as late as the one whose upstream has no end of a run for longest. A task that waits
//! at two places seldom waits long, and nothing has to be kept free for it. What is not used is given
//! back as soon as the task has its room.

use chervilring_wire::{Micros, Name, PlannerMessage, RunKey, Time};

use super::choice::{Candidate, Choice, choose_upstream};
use super::claims::Claim;
use super::job::{Job, Task, TaskState};
use super::links::LinkNo;
use super::placing::{take_slot, task_times};
use super::sending::Placement;
use super::state::{Planner, PlannerStep};

/// The number of tasks from which a job claims spare room.
const MIN_TASKS: usize = 4;

/// A second claim for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Spare {
    pub(super) link: LinkNo,
    pub(super) attempt: u32,
    /// The run time that the task is expected to take there at speed one.
    pub(super) sent_runtime: Micros,
}

impl Task {
    /// Returns whether an attempt is known, and was sent over a link.
    pub(super) fn has_run(&self, attempt: u32, link: LinkNo) -> bool {
        if attempt != self.attempt {
            return self
                .spare
                .is_some_and(|s| s.attempt == attempt && s.link == link);
        }
        match self.state {
            TaskState::Sent { link: l, .. } | TaskState::Stopping(l) => l == link,
            TaskState::Waiting(_) | TaskState::Done => false,
        }
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

    /// Returns the tasks of a step whose claim has no answer and that have no spare one.
    fn lone_claims(&self, step: usize) -> Vec<usize> {
        let is_lone = |t: &Task| t.step == step && t.spare.is_none() && t.claim == Claim::Requested;
        let tasks = self.tasks.iter().enumerate();
        tasks.filter(|(_, t)| is_lone(t)).map(|(i, _)| i).collect()
    }
}

impl Planner {
    /// Claims spare room for the tasks of a step whose room was claimed.
    pub(super) fn claim_spares(&mut self, now: Time, seq: u64, step: usize) {
        let placements = self.choose_spares(now, seq, step);
        if !placements.is_empty() {
            self.send_spares(now, seq, step, placements);
        }
    }

    fn choose_spares(&mut self, now: Time, seq: u64, step: usize) -> Vec<Placement> {
        let mut random = self.random.fork();
        let Some(job) = self.jobs.get(&seq) else {
            return Vec::new();
        };
        let lone = job.lone_claims(step);
        if !job.is_late_bound || lone.is_empty() {
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
            let candidates: Vec<Candidate> =
                slots.iter().map(|s| s.candidate(demand, avoid)).collect();
            if let Choice::Place(index) = choose_upstream(&candidates, &times, || random.f64()) {
                take_slot(&mut slots[index], demand, task, &mut placements);
            }
        }
        placements
    }

    fn send_spares(&mut self, now: Time, seq: u64, step: usize, placements: Vec<Placement>) {
        for placement in placements {
            let Some(job) = self.jobs.get_mut(&seq) else {
                return;
            };
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
            self.send_runs(now, (seq, step), &placement, runs, true);
        }
    }

    /// Returns whether a job binds each task to the upstream that has room first.
    pub(super) fn is_late_bound(&self, now: Time, job: &Job, placements: &[Placement]) -> bool {
        let tasks: usize = placements.iter().map(|p| p.tasks.len()).sum();
        // Others can wait until a run of the usual length has ended.
        let is_urgent = |p: &Placement| {
            let state = self.links.get(&p.link).and_then(|u| u.state.as_ref());
            let slack = job.urgency(now, p.run_time).slack;
            state.is_some_and(|(s, _)| slack < s.run_time)
        };
        tasks >= MIN_TASKS && placements.iter().any(is_urgent)
    }

    /// Starts a task for which an upstream holds room, and gives back its other claim.
    pub(super) fn bind_task(&mut self, now: Time, link: LinkNo, run: RunKey) {
        let Some(&(seq, index)) = self.runs.get(&run) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        let mut other = job
            .spare_runs()
            .find(|(r, _)| r.index == run.index && r.step == run.step);
        let task = &mut job.tasks[index];
        if run.attempt != task.attempt {
            let TaskState::Sent { link: first, .. } = task.state else {
                return;
            };
            other = Some((job.run_key(index), first));
            job.tasks[index].promote_spare(now);
        }
        let task = &mut job.tasks[index];
        task.spare = None;
        task.claim = Claim::None;
        let message = PlannerMessage::Confirm(vec![run]);
        self.steps.push(PlannerStep::Send { link, message });
        if let Some((run, link)) = other {
            self.runs.remove(&run);
            let message = PlannerMessage::CancelQueued(vec![run]);
            self.steps.push(PlannerStep::Send { link, message });
        }
    }

    /// Forgets a claim that was refused if the task has another one. Returns whether it has.
    pub(super) fn drop_claim(&mut self, now: Time, run: RunKey) -> bool {
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
            self.runs.remove(&run);
        }
        has_other
    }

    /// Forgets the spare claims over a link that has ended.
    pub(super) fn drop_spares(&mut self, link: LinkNo) {
        for job in self.jobs.values_mut() {
            let lost: Vec<(RunKey, LinkNo)> =
                job.spare_runs().filter(|(_, l)| *l == link).collect();
            for (run, _) in lost {
                if let Some((_, index)) = self.runs.remove(&run) {
                    job.tasks[index].spare = None;
                }
            }
        }
    }
}
