//! The state of a planner, and its inputs from callers and operators.

use std::collections::BTreeMap;

use chervilring_wire::{
    ConfigReplica, Evacuations, JobId, Micros, Name, PlannerMessage, RunKey, Time,
};
use rustc_hash::FxHashMap;

use super::admission::{JobTimes, start_deadline};
use super::event::PlannerEvent;
use super::job::{Caller, Job, NewJob, PastJob, Task, TaskState};
use super::job_memory::JobMemory;
use super::links::LinkNo;
use super::resubmission::{JobArrival, ResubmissionDetector};
use super::retry_after::RefusedWork;
use super::run_times::RunTimes;
use super::settings::PlannerSettings;
use super::upstream::{Profile, Upstream};
use crate::runs::bounds::HEARTBEAT_INTERVAL;

/// How long after its start a planner may lack links: runners read the list of planners once a
/// second.
const FIRST_LINKS: Micros = Micros::from_secs(1);

/// The answer to a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobAnswer {
    /// All tasks are done.
    Completed,
    /// Upstreams have listed as many failed runs of a task as its route allows.
    Failed,
    /// No task has run, and none will.
    Refused(Refusal),
    /// Tasks may have run. Those that run are being stopped.
    GaveUp,
}

/// Why a job was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No capacity became free in time.
    Overload,
    /// No known upstream could run one of the tasks, even without other load.
    Unfit,
    /// No upstream of the service can be reached.
    Unreachable,
    /// All upstreams of the service are in evacuated failure domains.
    Evacuated,
    /// The process is stopping or was paused.
    Interrupted,
}

/// An action that the daemon carries out for a planner.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerStep {
    /// Sends a message.
    Send {
        /// The link to the runner.
        link: LinkNo,
        /// The message.
        message: PlannerMessage,
    },
    /// Closes a link.
    Close(LinkNo),
    /// Answers a caller.
    Answer {
        /// The caller.
        caller: Caller,
        /// The job that the caller submitted.
        job: JobId,
        /// The answer.
        answer: JobAnswer,
        /// When to retry if the job was refused.
        retry_after: Micros,
    },
    /// Checks a replica from a runner: it may be newer than the configuration in force.
    Replica(ConfigReplica),
    /// Logs an event.
    Log(PlannerEvent),
}

/// The decisions of a planner: admits jobs, places their tasks on upstreams and answers callers.
#[derive(Debug, Clone)]
pub struct Planner {
    pub(super) settings: PlannerSettings,
    /// The jobs by sequence number, in the order of arrival.
    pub(super) jobs: BTreeMap<u64, Job>,
    pub(super) job_seqs: FxHashMap<JobId, u64>,
    /// The memory that the jobs take.
    pub(super) memory: JobMemory,
    /// The job's sequence number and the index of the task for each run.
    pub(super) runs: FxHashMap<RunKey, (u64, usize)>,
    pub(super) links: BTreeMap<LinkNo, Upstream>,
    pub(super) profiles: FxHashMap<Name, Profile>,
    pub(super) steps: Vec<PlannerStep>,
    pub(super) config: Option<ConfigReplica>,
    /// The evacuated failure domains.
    pub(super) evacuations: Evacuations,
    /// Until then runners may still be opening their first links.
    pub(super) links_due: Time,
    /// The version of the newest replica that a runner has sent.
    pub(super) newest_replica: u64,
    /// The earliest time at which the next runner may be asked for its replica.
    pub(super) next_request: Time,
    pub(super) random: fastrand::Rng,
    /// Spreads the times at which refused callers return.
    pub(super) retry_random: fastrand::Rng,
    /// The work that was refused lately.
    pub(super) refused_work: RefusedWork,
    /// What is known of the tasks of jobs that have ended recently.
    pub(super) past_jobs: FxHashMap<JobId, PastJob>,
    /// Tells resubmissions from new jobs.
    pub(super) resubmissions: ResubmissionDetector,
    /// What is known of the run times of routes.
    pub(super) run_times: RunTimes,
    /// When the next heartbeats are due.
    pub(super) next_heartbeat: Time,
    /// Whether capacity may have become free, or tasks may have become ready, since the last
    /// scheduling.
    pub(super) capacity_changed: bool,
    last_seq: u64,
}

impl Planner {
    /// Creates a planner without links or jobs.
    pub fn new(settings: PlannerSettings, now: Time) -> Self {
        Self {
            random: fastrand::Rng::with_seed(settings.seed),
            retry_random: fastrand::Rng::with_seed(!settings.seed),
            refused_work: RefusedWork::default(),
            settings,
            jobs: BTreeMap::new(),
            job_seqs: FxHashMap::default(),
            memory: JobMemory::default(),
            runs: FxHashMap::default(),
            links: BTreeMap::new(),
            profiles: FxHashMap::default(),
            steps: Vec::new(),
            config: None,
            evacuations: Evacuations::default(),
            links_due: now + FIRST_LINKS,
            newest_replica: 0,
            next_request: now,
            past_jobs: FxHashMap::default(),
            resubmissions: ResubmissionDetector::default(),
            run_times: RunTimes::default(),
            next_heartbeat: now + HEARTBEAT_INTERVAL,
            capacity_changed: false,
            last_seq: 0,
        }
    }

    /// Submits a caller's job. If the job is already known, the caller joins it.
    pub fn submit(&mut self, now: Time, caller: Caller, submission: NewJob) {
        if let Some(job) = self
            .job_seqs
            .get(&submission.id)
            .and_then(|seq| self.jobs.get_mut(seq))
        {
            job.callers.push(caller);
            return;
        }
        let critical_path = self.expected_path(&submission);
        let slack = Micros((critical_path.0 as f64 * submission.route.slack_factor) as u64);
        let objective_duration = slack + submission.route.target_duration;
        let arrival = JobArrival {
            route: &submission.route.name,
            arrived: now,
            caller_timeout: now.duration_until(submission.deadline),
            route_timeout: submission.route.default_timeout,
        };
        let prior_wait = self
            .resubmissions
            .prior_wait(&arrival, self.settings.resubmit_delay);
        let objective = now + objective_duration - prior_wait.unwrap_or_default();
        let start_deadline = start_deadline(&JobTimes {
            arrived: now,
            objective_duration,
            objective,
            deadline: submission.deadline,
            critical_path,
            wait_share: self.settings.wait_share,
        });
        self.last_seq += 1;
        let seq = self.last_seq;
        self.job_seqs.insert(submission.id, seq);
        let footprint = submission.footprint();
        self.memory.add(footprint, self.settings.job_memory);
        let past = self.past_jobs.get(&submission.id);
        let job = Job {
            tasks: tasks(&submission, now, past),
            work: self.relative_work(&submission),
            submission,
            callers: vec![caller],
            arrived: now,
            prior_wait,
            objective,
            critical_path,
            start_deadline,
            started_at: None,
            last_placement: now,
            last_checked: now,
            sent_runs: 0,
            cancelling: false,
        };
        self.jobs.insert(seq, job);
        if self.jobs.get(&seq).is_some_and(Job::has_exhausted_task) {
            self.answer_job(now, seq, JobAnswer::GaveUp);
            return;
        }
        if !self.memory.fits(footprint, self.settings.job_memory) {
            self.give_up(now, seq, Refusal::Overload);
            return;
        }
        if self.is_unfit(seq) {
            self.give_up(now, seq, Refusal::Unfit);
            return;
        }
        let unplaced = self.place_job(now, seq);
        if unplaced > 0 && self.jobs.get(&seq).is_some_and(|j| !j.may_have_started()) {
            self.log_queued(seq);
        }
        self.check_job(now, seq);
    }

    /// Removes a caller that has disconnected. The last caller's job is dropped and its runs are
    /// stopped.
    pub fn caller_left(&mut self, now: Time, caller: Caller) {
        let found = self
            .jobs
            .iter_mut()
            .find(|(_, j)| j.callers.contains(&caller));
        let Some((&seq, job)) = found else {
            return;
        };
        job.callers.retain(|c| *c != caller);
        if !job.callers.is_empty() {
            return;
        }
        let event = PlannerEvent::Abandoned {
            job: job.submission.id,
            runs: job.active_runs().count() as u32,
        };
        self.steps.push(PlannerStep::Log(event));
        self.remove_job(now, seq);
        self.capacity_changed = true;
    }

    /// Sets the configuration of which runners store a replica.
    pub fn set_config(&mut self, config: ConfigReplica) {
        self.config = Some(config);
    }

    /// Sets the factor by which run times grow outside the rack that holds the data.
    pub fn set_remote_factor(&mut self, remote_factor: f64) {
        self.settings.remote_factor = remote_factor;
    }

    /// Sets the shortest delay after which callers resubmit a job.
    pub fn set_resubmit_delay(&mut self, resubmit_delay: Micros) {
        self.settings.resubmit_delay = resubmit_delay;
    }

    /// Removes and returns the steps to carry out, in order.
    pub fn drain(&mut self) -> Vec<PlannerStep> {
        std::mem::take(&mut self.steps)
    }

    /// Returns the number of jobs of a route that have no started task.
    pub fn unstarted_jobs(&self, route: &str) -> usize {
        let is_unstarted = |j: &&Job| j.started_at.is_none() && &*j.submission.route.name == route;
        self.jobs.values().filter(is_unstarted).count()
    }

    /// Returns whether a job is submitted and not answered yet.
    pub fn contains(&self, job: JobId) -> bool {
        self.job_seqs.contains_key(&job)
    }

    /// Cancels a job and answers its callers with [`JobAnswer::GaveUp`]. Returns whether the job
    /// was known.
    pub fn cancel(&mut self, now: Time, job: JobId) -> bool {
        let Some(&seq) = self.job_seqs.get(&job) else {
            return false;
        };
        self.answer_job(now, seq, JobAnswer::GaveUp);
        true
    }

    /// Returns the number of jobs that are not answered yet.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of links to runners.
    pub fn runner_count(&self) -> usize {
        self.links.len()
    }

    fn log_queued(&mut self, seq: u64) {
        let Some(job) = self.jobs.get(&seq) else {
            return;
        };
        let service = job.submission.route.service.as_str();
        let event = PlannerEvent::Queued {
            job: job.submission.id,
            queue_len: self
                .jobs
                .values()
                .filter(|j| j.started_at.is_none())
                .count(),
            upstreams: self.links.values().filter(|u| u.accepts(service)).count(),
        };
        self.steps.push(PlannerStep::Log(event));
    }
}

/// Creates the tasks of a new job.
///
/// They continue the attempt numbers of an earlier submission, so that a late message about one of
/// its runs cannot match a run of this job, and its counts of crashes.
fn tasks(submission: &NewJob, now: Time, past: Option<&PastJob>) -> Vec<Task> {
    let attempt = past.map_or(0, |p| p.attempt);
    let crashes = |step, index| past.and_then(|p| p.crashes.get(&(step, index)).copied());
    let steps = submission.steps.iter().enumerate();
    let of_step = |(step, row): (usize, &super::job::Step)| {
        let sent_runtime = row.declared_runtime;
        (0..row.count).map(move |index| Task {
            step,
            index,
            state: TaskState::Waiting(now),
            attempt,
            last_attempt: attempt,
            spare: None,
            claimed: false,
            sent_runtime,
            failures: 0,
            room_refusals: 0,
            crashes: crashes(step, index).unwrap_or_default(),
            started_attempt: 0,
            running_since: None,
            work: None,
            failed_work: Micros::default(),
            avoid_runner: None,
            restarted: false,
        })
    };
    steps.flat_map(of_step).collect()
}
