//! The tables of a planner and what comes in.

use std::collections::BTreeMap;

use chervilring_wire::{ConfigReplica, JobId, Micros, Name, PlannerMessage, RunKey, Time};
use rustc_hash::FxHashMap;

use super::admission::{Hold, hold};
use super::event::PlannerEvent;
use super::job::{Caller, Job, NewJob, Task, TaskState};
use super::links::LinkNo;
use super::resend::{Resends, Sending};
use super::settings::PlannerSettings;
use super::upstream::{Profile, Upstream};
use crate::runs::bounds::HEARTBEAT_INTERVAL;

/// The answer to a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobAnswer {
    /// All its tasks are done.
    Completed,
    /// A task has failed as often as its route allows.
    Failed,
    /// Nothing of it has run, and nothing will.
    Refused(Refusal),
    /// It may have run in part; nothing of it goes on.
    GaveUp,
}

/// Why a job was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// There was no room for it in time.
    Overload,
    /// No upstream that is known could ever run one of its tasks.
    Unfit,
    /// No upstream of its service can be reached.
    Unreachable,
    /// The process is about to stop, or has stood still.
    Interrupted,
}

/// What is to be carried out.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerStep {
    /// A message is to be sent.
    Send {
        /// The link to the runner.
        link: LinkNo,
        /// The message.
        message: PlannerMessage,
    },
    /// A link is to be closed.
    Close(LinkNo),
    /// A caller is to be answered.
    Answer {
        /// The caller.
        caller: Caller,
        /// The job that it asked for.
        job: JobId,
        /// The answer.
        answer: JobAnswer,
        /// When to come back, if the job was refused.
        comeback: Micros,
    },
    /// A runner knows a configuration that may be newer than the one in force.
    Config(ConfigReplica),
    /// Something is to be logged.
    Log(PlannerEvent),
}

/// The decisions of a planner.
#[derive(Debug)]
pub struct Planner {
    pub(super) settings: PlannerSettings,
    pub(super) jobs: BTreeMap<u64, Job>,
    pub(super) ids: FxHashMap<JobId, u64>,
    pub(super) runs: FxHashMap<RunKey, (u64, usize)>,
    pub(super) links: BTreeMap<LinkNo, Upstream>,
    pub(super) profiles: FxHashMap<Name, Profile>,
    pub(super) steps: Vec<PlannerStep>,
    pub(super) config: Option<ConfigReplica>,
    /// The version of the newest copy that a runner has sent.
    pub(super) copy: u64,
    /// From when a runner may be asked for its copy.
    pub(super) ask: Time,
    pub(super) random: fastrand::Rng,
    /// The highest attempt of jobs that were answered lately, and until when that is kept.
    pub(super) past: FxHashMap<JobId, (u32, Time)>,
    /// Tells new jobs from those that are sent again.
    pub(super) resends: Resends,
    /// When the next heartbeats are due.
    pub(super) beat: Time,
    /// Whether there may be room for waiting tasks since they were last looked at.
    pub(super) changed: bool,
    last: u64,
}

impl Planner {
    /// Creates a planner without links and jobs.
    pub fn new(settings: PlannerSettings, now: Time) -> Self {
        Self {
            random: fastrand::Rng::with_seed(settings.seed),
            settings,
            jobs: BTreeMap::new(),
            ids: FxHashMap::default(),
            runs: FxHashMap::default(),
            links: BTreeMap::new(),
            profiles: FxHashMap::default(),
            steps: Vec::new(),
            config: None,
            copy: 0,
            ask: now,
            past: FxHashMap::default(),
            resends: Resends::default(),
            beat: now + HEARTBEAT_INTERVAL,
            changed: false,
            last: 0,
        }
    }

    /// Takes in a caller's job. One that is in hand already is joined.
    pub fn submit(&mut self, now: Time, caller: Caller, new: NewJob) {
        if let Some(job) = self.ids.get(&new.id).and_then(|no| self.jobs.get_mut(no)) {
            job.callers.push(caller);
            return;
        }
        let chain = new.chain();
        let slack = Micros((chain.0 as f64 * new.route.slack_factor) as u64);
        let span = slack + new.route.target_duration;
        let sending = Sending {
            route: &new.route.name,
            at: now,
            patience: now.duration_until(new.deadline),
            timeout: new.route.default_timeout,
        };
        let waited = self.resends.waited(&sending, self.settings.resend);
        let objective = now + span - waited.unwrap_or_default();
        let hold = hold(&Hold {
            arrived: now,
            span,
            objective,
            deadline: new.deadline,
            chain,
            share: self.settings.hold,
        });
        self.last += 1;
        let no = self.last;
        self.ids.insert(new.id, no);
        // A late word of an earlier run must not be taken for one of this job.
        let attempt = self.past.get(&new.id).map_or(0, |(attempt, _)| *attempt);
        let job = Job {
            tasks: tasks(&new, now, attempt),
            new,
            callers: vec![caller],
            arrived: now,
            waited,
            objective,
            hold,
            started: None,
            looked: now,
            settled: now,
            starts: 0,
            withdrawn: false,
        };
        self.jobs.insert(no, job);
        if self.is_unfit(no) {
            self.give_up(now, no, Refusal::Unfit);
            return;
        }
        let left = self.place(now, no);
        if left > 0 && self.jobs.get(&no).is_some_and(|j| !j.is_sent()) {
            self.log_queued(no);
        }
        self.settle(now, no);
    }

    /// Takes in that a caller has left: nothing is run for callers who are gone.
    pub fn caller_gone(&mut self, now: Time, caller: Caller) {
        let found = self
            .jobs
            .iter_mut()
            .find(|(_, j)| j.callers.contains(&caller));
        let Some((&no, job)) = found else {
            return;
        };
        job.callers.retain(|c| *c != caller);
        if !job.callers.is_empty() {
            return;
        }
        let event = PlannerEvent::Abandoned {
            job: job.new.id,
            runs: job.live().count() as u32,
        };
        self.steps.push(PlannerStep::Log(event));
        self.remove(now, no);
        self.changed = true;
    }

    /// Sets the configuration that runners are to keep a copy of.
    pub fn set_config(&mut self, config: ConfigReplica) {
        self.config = Some(config);
    }

    /// Sets how much longer tasks run away from the rack of their data.
    pub fn set_far(&mut self, far: f64) {
        self.settings.far = far;
    }

    /// Sets how long callers wait before they send a job again.
    pub fn set_resend(&mut self, resend: Micros) {
        self.settings.resend = resend;
    }

    /// Returns the steps to carry out, in order.
    pub fn drain(&mut self) -> Vec<PlannerStep> {
        std::mem::take(&mut self.steps)
    }

    /// Returns how many jobs of a route wait without any task started.
    pub fn waiting(&self, route: &str) -> usize {
        let waits = |j: &&Job| j.started.is_none() && &*j.new.route.name == route;
        self.jobs.values().filter(waits).count()
    }

    /// Returns whether a job is in hand.
    pub fn has(&self, job: JobId) -> bool {
        self.ids.contains_key(&job)
    }

    /// Cancels a job: its callers are told that it was given up. Returns whether it was in hand.
    pub fn cancel(&mut self, now: Time, job: JobId) -> bool {
        let Some(&no) = self.ids.get(&job) else {
            return false;
        };
        self.finish(now, no, JobAnswer::GaveUp);
        true
    }

    /// Returns how many jobs are in hand.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns how many runners are linked.
    pub fn runners(&self) -> usize {
        self.links.len()
    }

    fn log_queued(&mut self, no: u64) {
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        let service = job.new.route.service.as_str();
        let event = PlannerEvent::Queued {
            job: job.new.id,
            queue: self.jobs.values().filter(|j| j.started.is_none()).count(),
            upstreams: self.links.values().filter(|u| u.does(service)).count(),
        };
        self.steps.push(PlannerStep::Log(event));
    }
}

/// Returns the tasks of a new job.
fn tasks(new: &NewJob, now: Time, attempt: u32) -> Vec<Task> {
    let rows = new.steps.iter().enumerate();
    let of_step = |(step, row): (usize, &super::job::Step)| {
        (0..row.count).map(move |index| Task {
            step,
            index,
            state: TaskState::Waiting(now),
            attempt,
            failed: 0,
            avoid: None,
            moved: false,
        })
    };
    rows.flat_map(of_step).collect()
}
