//! Jobs in the hand of a planner.

use std::sync::Arc;

use chervilring_wire::{JobId, Micros, Name, Resources, RunKey, Time};

use super::links::LinkNo;
use crate::runs::route::Route;

/// How often a task that can hardly end before its caller leaves is looked at.
const RECHECK: Micros = Micros::from_millis(10);

/// Names a caller who waits for an answer; never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Caller(pub u64);

/// A step of a job: tasks of one shape.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Step {
    /// How many tasks it has.
    pub count: u32,
    /// What each takes.
    pub demand: Resources,
    /// How long each is said to run.
    pub size: Micros,
    /// The steps, by their place in the job, that must be done before.
    pub after: Vec<usize>,
    /// A label that the worker must have.
    pub label: Option<Name>,
    /// The most tasks of the step on one worker.
    pub spread: Option<u32>,
    /// The label of the rack on which the data lies: tasks run longer elsewhere.
    pub rack: Option<Name>,
}

/// A job as it comes in.
#[derive(Debug, Clone, PartialEq)]
pub struct NewJob {
    /// The id that the caller has chosen.
    pub id: JobId,
    /// The route by which it came.
    pub route: Arc<Route>,
    /// The version of the configuration that has the route.
    pub version: u64,
    /// What its tasks are told.
    pub spec: Name,
    /// The name that its caller has given this sending; empty for none.
    pub request: Name,
    /// Its steps; a step comes after those that it waits for.
    pub steps: Vec<Step>,
    /// When the caller stops waiting.
    pub deadline: Time,
}

/// What has become of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskState {
    /// It is to be started, at this time or later.
    Waiting(Time),
    /// It was sent to an upstream.
    Sent {
        /// The link to the upstream.
        link: LinkNo,
        /// When it was sent.
        at: Time,
    },
    /// It was told to stop, to be started elsewhere.
    Stopping(LinkNo),
    /// It is done.
    Done,
}

/// A task.
#[derive(Debug, Clone)]
pub(super) struct Task {
    pub(super) step: usize,
    pub(super) index: u32,
    pub(super) state: TaskState,
    /// The number of its newest attempt.
    pub(super) attempt: u32,
    /// How often it has failed.
    pub(super) failed: u32,
    /// The runner on whose upstream it last failed.
    pub(super) avoid: Option<Name>,
    /// Whether it was stopped once to begin again elsewhere.
    pub(super) moved: bool,
}

/// A job.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) new: NewJob,
    pub(super) callers: Vec<Caller>,
    pub(super) arrived: Time,
    /// How long its caller had waited before this sending, if it was not the first.
    pub(super) waited: Option<Micros>,
    /// When its objective is missed.
    pub(super) objective: Time,
    /// Until when its first task may wait.
    pub(super) hold: Time,
    /// When its first task had begun, as far as is known.
    pub(super) started: Option<Time>,
    /// Whether it is refused as soon as no task of it can begin any more.
    pub(super) withdrawn: bool,
    pub(super) tasks: Vec<Task>,
    /// When its tasks were last tried to be placed.
    pub(super) looked: Time,
    /// When it was last looked at whether it can still be served.
    pub(super) settled: Time,
    /// Runs sent so far.
    pub(super) starts: u32,
}

impl Job {
    /// Returns the run of a task's newest attempt.
    pub(super) fn run(&self, task: usize) -> RunKey {
        let row = &self.tasks[task];
        RunKey {
            job: self.new.id,
            occurrence: 0,
            step: row.step as u32,
            index: row.index,
            attempt: row.attempt,
        }
    }

    /// Returns the step of a task.
    pub(super) fn step(&self, task: usize) -> &Step {
        &self.new.steps[self.tasks[task].step]
    }

    /// Returns whether all tasks are done.
    pub(super) fn is_done(&self) -> bool {
        self.tasks.iter().all(|t| t.state == TaskState::Done)
    }

    /// Returns whether the steps that a step waits for are done.
    pub(super) fn is_ready(&self, step: usize) -> bool {
        let after = &self.new.steps[step].after;
        let open = |t: &Task| after.contains(&t.step) && t.state != TaskState::Done;
        after.is_empty() || !self.tasks.iter().any(open)
    }

    /// Returns until when it is of use to begin a task that runs for `run`: in time for the objective,
    /// or else for the caller.
    pub(super) fn latest(&self, now: Time, run: Micros) -> Time {
        let latest = self.objective - run;
        if latest > now {
            return latest;
        }
        self.new.deadline - run
    }

    /// Returns whether a task of it was sent and may begin, or has begun.
    pub(super) fn is_sent(&self) -> bool {
        self.started.is_some() || self.live().next().is_some()
    }

    /// Returns how many tasks of a step are at the upstream behind a link.
    pub(super) fn there(&self, step: usize, link: LinkNo) -> u32 {
        let here = |t: &&Task| match t.state {
            TaskState::Sent { link: l, .. } | TaskState::Stopping(l) => t.step == step && l == link,
            TaskState::Waiting(_) | TaskState::Done => false,
        };
        self.tasks.iter().filter(here).count() as u32
    }

    /// Returns when it is to be looked at even if nothing happens.
    pub(super) fn due(&self) -> Time {
        let held = self.started.is_none() && !self.withdrawn;
        let mut due = if held { self.hold } else { self.new.deadline };
        for task in &self.tasks {
            let TaskState::Waiting(at) = task.state else {
                continue;
            };
            // Tasks that wait for an upstream since before are placed when that changes.
            if at > self.looked {
                due = due.min(at);
            }
            if self.started.is_some() {
                let late = self.new.deadline - self.new.steps[task.step].size;
                due = due.min(late.max(self.settled + RECHECK));
            }
        }
        due
    }

    /// Returns the runs that may be going on, each with the link to its upstream.
    pub(super) fn live(&self) -> impl Iterator<Item = (RunKey, LinkNo)> + '_ {
        let link = |state: TaskState| match state {
            TaskState::Sent { link, .. } | TaskState::Stopping(link) => Some(link),
            TaskState::Waiting(_) | TaskState::Done => None,
        };
        let rows = self.tasks.iter().enumerate();
        rows.filter_map(move |(place, t)| Some((self.run(place), link(t.state)?)))
    }
}

impl NewJob {
    /// Returns how long the longest chain of tasks runs by its declared sizes.
    pub fn chain(&self) -> Micros {
        let mut ends: Vec<Micros> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|&s| ends.get(s).copied());
            let start = before.max().unwrap_or_default();
            ends.push(start + step.size);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
