//! Jobs of a planner, with their steps and tasks.

use std::sync::Arc;

use chervilring_wire::{JobId, Micros, Name, Resources, RunKey, Time};
use rustc_hash::FxHashMap;

use super::claims::Spare;
use super::crashes::Crashes;
use super::links::LinkNo;
use crate::runs::order::WorkOrder;
use crate::runs::route::Route;

/// The interval of the check whether a waiting task can still finish before its caller leaves.
const RECHECK_INTERVAL: Micros = Micros::from_millis(10);

/// The memory that a job takes beside its steps and tasks, in bytes.
const JOB_MEMORY: usize = 1 << 10;

/// The memory that a task takes with its run and the messages about it, in bytes.
const TASK_MEMORY: usize = 1 << 10;

/// Identifies a caller that waits for an answer. Never reused within a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Caller(pub u64);

/// A step of a job: tasks with the same requirements.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task takes.
    pub demand: Resources,
    /// The declared run time of each task.
    pub declared_runtime: Micros,
    /// The indices of the steps that must be done before this one starts.
    pub dependencies: Vec<usize>,
    /// A label that the worker must have, if any.
    pub required_label: Option<Name>,
    /// The maximum number of tasks of the step on one worker, if limited.
    pub worker_limit: Option<u32>,
    /// The label of the rack that holds the data, if any. Tasks run longer outside it.
    pub data_rack: Option<Name>,
}

/// A job as its caller submits it.
#[derive(Debug, Clone, PartialEq)]
pub struct NewJob {
    /// The id chosen by the caller.
    pub id: JobId,
    /// The route on which it arrived.
    pub route: Arc<Route>,
    /// The version of the configuration that defines the route.
    pub config_version: u64,
    /// The specification passed to its tasks.
    pub spec: Name,
    /// The caller's name for this submission; empty for none.
    pub request: Name,
    /// The steps. Each step comes after those that it depends on.
    pub steps: Vec<Step>,
    /// When the caller stops waiting.
    pub deadline: Time,
}

/// The state of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskState {
    /// Waits to be placed, no earlier than the given time.
    Waiting(Time),
    /// A run was sent to an upstream.
    Sent {
        /// The link to the upstream.
        link: LinkNo,
        /// When it was sent.
        at: Time,
    },
    /// The run is being stopped so that the task can start elsewhere.
    Stopping(LinkNo),
    /// A run has completed the task.
    Done,
}

/// A task of a job.
#[derive(Debug, Clone)]
pub(super) struct Task {
    pub(super) step: usize,
    pub(super) index: u32,
    pub(super) state: TaskState,
    /// The number of the latest attempt.
    pub(super) attempt: u32,
    /// The highest number of an attempt so far, that of a spare claim included.
    pub(super) last_attempt: u32,
    /// The second claim, until one of both has room.
    pub(super) spare: Option<Spare>,
    /// Whether the latest attempt claims its room and is not confirmed.
    pub(super) claimed: bool,
    /// The run time that the latest attempt is expected to take at speed one, where it was sent.
    pub(super) sent_runtime: Micros,
    /// The number of failed attempts.
    pub(super) failures: u32,
    /// How often its runs were refused for room.
    pub(super) room_refusals: u32,
    /// The upstreams that crashed under the task.
    pub(super) crashes: Crashes,
    /// The attempt of the latest run that is known to have started.
    pub(super) started_attempt: u32,
    /// The attempt and the time of the latest reported start.
    pub(super) running_since: Option<(u32, Time)>,
    /// The run time on a sound upstream near the data, once it is measured.
    pub(super) work: Option<Micros>,
    /// The same of runs that failed.
    pub(super) failed_work: Micros,
    /// The runner whose upstream the next attempt should avoid: the task last failed or stalled
    /// there.
    pub(super) avoid_runner: Option<Name>,
    /// Whether a run was already stopped for being slow. This is done once per task.
    pub(super) restarted: bool,
}

/// What is known of the tasks of a job that has ended, for when its caller submits it again.
#[derive(Debug, Clone, Default)]
pub(super) struct PastJob {
    /// The highest attempt.
    pub(super) attempt: u32,
    /// The upstreams that crashed under a task, by its step and index.
    pub(super) crashes: FxHashMap<(usize, u32), Crashes>,
    /// When it is forgotten.
    pub(super) expires_at: Time,
}

/// A submitted job that is not answered yet.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) submission: NewJob,
    pub(super) callers: Vec<Caller>,
    pub(super) arrived: Time,
    /// How long the caller had waited before this submission, if it is a resubmission.
    pub(super) prior_wait: Option<Micros>,
    /// When the objective is missed.
    pub(super) objective: Time,
    /// The expected run time of the longest chain of dependent steps.
    pub(super) critical_path: Micros,
    /// The latest time at which the first task may start.
    pub(super) start_deadline: Time,
    /// How long it would keep all processors busy that its planner can reach.
    pub(super) work: Micros,
    /// When the first task is known to have started.
    pub(super) started_at: Option<Time>,
    /// Whether its queued runs are being cancelled. The job is refused once none of them can start.
    pub(super) cancelling: bool,
    pub(super) tasks: Vec<Task>,
    /// When placement was last tried.
    pub(super) last_placement: Time,
    /// When it was last checked whether the job can still be served.
    pub(super) last_checked: Time,
    /// The number of runs sent so far.
    pub(super) sent_runs: u32,
}

impl Task {
    /// Returns the link over which its latest attempt was sent, if that may be queued or running.
    pub(super) fn sent_link(&self) -> Option<LinkNo> {
        match self.state {
            TaskState::Sent { link, .. } | TaskState::Stopping(link) => Some(link),
            TaskState::Waiting(_) | TaskState::Done => None,
        }
    }
}

impl Job {
    /// Returns the run key of a task's latest attempt.
    pub(super) fn run_key(&self, task: usize) -> RunKey {
        let row = &self.tasks[task];
        RunKey {
            job: self.submission.id,
            occurrence: 0,
            step: row.step as u32,
            index: row.index,
            attempt: row.attempt,
        }
    }

    /// Returns what is kept of the tasks once the job has ended.
    pub(super) fn past(&self, expires_at: Time) -> PastJob {
        let crashed = self.tasks.iter().filter(|t| t.crashes.all > 0);
        PastJob {
            attempt: self.tasks.iter().map(|t| t.last_attempt).max().unwrap_or(0),
            crashes: crashed.map(|t| ((t.step, t.index), t.crashes)).collect(),
            expires_at,
        }
    }

    /// Returns whether a task may not be started again because upstreams crashed under it.
    pub(super) fn has_exhausted_task(&self) -> bool {
        self.tasks.iter().any(|t| t.crashes.is_exhausted())
    }

    /// Returns the most failed attempts of one of its tasks.
    pub(super) fn most_failures(&self) -> u32 {
        self.tasks.iter().map(|t| t.failures).max().unwrap_or(0)
    }

    /// Returns the most upstreams that crashed while they had a run of one of its tasks.
    pub(super) fn most_crashes(&self) -> u32 {
        self.tasks.iter().map(|t| t.crashes.all).max().unwrap_or(0)
    }

    /// Returns whether all tasks are done.
    pub(super) fn is_done(&self) -> bool {
        self.tasks.iter().all(|t| t.state == TaskState::Done)
    }

    /// Returns whether all steps that a step depends on are done.
    pub(super) fn is_step_ready(&self, step: usize) -> bool {
        let dependencies = &self.submission.steps[step].dependencies;
        let unfinished = |t: &Task| dependencies.contains(&t.step) && t.state != TaskState::Done;
        dependencies.is_empty() || !self.tasks.iter().any(unfinished)
    }

    /// Returns the latest useful start of a task that runs for `run_time`: early enough for the
    /// objective, or if that is missed, for the caller's deadline.
    pub(super) fn latest_useful_start(&self, now: Time, run_time: Micros) -> Time {
        let latest = self.objective - run_time;
        if latest > now {
            return latest;
        }
        self.submission.deadline - run_time
    }

    /// Returns whether a task waits to be placed.
    pub(super) fn has_waiting_task(&self) -> bool {
        let is_waiting = |t: &Task| matches!(t.state, TaskState::Waiting(_));
        self.tasks.iter().any(is_waiting)
    }

    /// Returns whether a task has started, or was sent and may start.
    pub(super) fn may_have_started(&self) -> bool {
        self.started_at.is_some() || self.active_runs().next().is_some()
    }

    /// Returns the number of tasks of a step that were placed at the upstream behind a link.
    pub(super) fn placed_at(&self, step: usize, link: LinkNo) -> u32 {
        let here = |t: &&Task| t.step == step && t.sent_link() == Some(link);
        self.tasks.iter().filter(here).count() as u32
    }

    /// Returns the number of tasks of a step that may run at the upstream behind a link: those placed
    /// there, and those with a spare claim there.
    pub(super) fn count_at(&self, step: usize, link: LinkNo) -> u32 {
        let is_here = |(r, l): &(RunKey, LinkNo)| r.step as usize == step && *l == link;
        self.placed_at(step, link) + self.spare_runs().filter(is_here).count() as u32
    }

    /// Returns when the job must be checked again even if no message arrives.
    pub(super) fn next_check(&self) -> Time {
        let may_be_refused = self.started_at.is_none() && !self.cancelling;
        let mut due = if may_be_refused {
            self.start_deadline
        } else {
            self.submission.deadline
        };
        for task in &self.tasks {
            let TaskState::Waiting(at) = task.state else {
                continue;
            };
            // Tasks that were due at the last placement are placed when an upstream changes.
            if at > self.last_placement {
                due = due.min(at);
            }
            if self.started_at.is_some() {
                let last_start =
                    self.submission.deadline - self.submission.steps[task.step].declared_runtime;
                due = due.min(last_start.max(self.last_checked + RECHECK_INTERVAL));
            }
        }
        due
    }

    /// Returns the runs that may be queued or running, each with the link to its upstream. Spare claims
    /// are not among them.
    pub(super) fn active_runs(&self) -> impl Iterator<Item = (RunKey, LinkNo)> + '_ {
        let tasks = self.tasks.iter().enumerate();
        tasks.filter_map(|(index, t)| Some((self.run_key(index), t.sent_link()?)))
    }

    /// Returns all runs that a runner may have, each with the link to its upstream.
    pub(super) fn all_runs(&self) -> impl Iterator<Item = (RunKey, LinkNo)> + '_ {
        self.active_runs().chain(self.spare_runs())
    }

    /// Returns the place of the job among those that wait.
    pub(super) fn work_order(&self, now: Time) -> WorkOrder {
        WorkOrder::new(now, &self.urgency(now, self.critical_path))
    }
}

impl NewJob {
    /// Returns the work of all tasks: their processor time, in thousandths of a core times
    /// microseconds.
    pub fn work(&self) -> u64 {
        let of_step = |s: &Step| {
            let each = s.demand.cpu.saturating_mul(s.declared_runtime.0);
            each.saturating_mul(u64::from(s.count))
        };
        self.steps.iter().map(of_step).fold(0, u64::saturating_add)
    }

    /// Returns about how much memory it takes while it is in hand, in bytes.
    pub fn footprint(&self) -> usize {
        let of_step = |s: &Step| {
            let labels = [&s.required_label, &s.data_rack];
            let labels = labels.into_iter().flatten().map(|l| l.len());
            let dependencies = s.dependencies.len() * size_of::<usize>();
            let tasks = (s.count as usize).saturating_mul(TASK_MEMORY);
            size_of::<Step>() + labels.sum::<usize>() + dependencies + tasks
        };
        let steps = self
            .steps
            .iter()
            .map(of_step)
            .fold(0, usize::saturating_add);
        steps.saturating_add(self.spec.len() + self.request.len() + JOB_MEMORY)
    }

    /// Returns the declared run time of the longest chain of dependent steps.
    pub fn critical_path(&self) -> Micros {
        self.longest_chain(|_, step| step.declared_runtime)
    }

    /// Returns the run time of the longest chain of dependent steps, by the run time of each step.
    pub(super) fn longest_chain(&self, run_time: impl Fn(usize, &Step) -> Micros) -> Micros {
        let mut ends: Vec<Micros> = Vec::with_capacity(self.steps.len());
        for (index, step) in self.steps.iter().enumerate() {
            let ends_before = step
                .dependencies
                .iter()
                .filter_map(|&s| ends.get(s).copied());
            let start = ends_before.max().unwrap_or_default();
            ends.push(start + run_time(index, step));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
