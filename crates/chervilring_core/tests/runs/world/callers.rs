//! Callers of the model: they submit jobs, and resubmit those that got no answer.

use std::sync::Arc;

use chervilring_core::runs::Route;
use chervilring_core::runs::planner::{Caller, JobAnswer, NewJob, Step};
use chervilring_wire::{JobId, Micros, Resources, Time};

use super::{Event, RESUBMIT_DELAY, Without, World};

/// A caller's job and its answers.
#[derive(Debug, Clone)]
pub(crate) struct TestJob {
    pub(crate) id: u64,
    pub(crate) count: u32,
    pub(crate) declared_runtime: Micros,
    pub(crate) work: u64,
    pub(crate) fails: bool,
    /// Whether its tasks crash the upstreams that start them.
    pub(crate) is_deadly: bool,
    pub(crate) caller_timeout: Micros,
    /// Whether the caller states its remaining time when it resubmits the job.
    pub(crate) states_remaining: bool,
    pub(crate) demand: Resources,
    /// The priority of its route.
    pub(crate) priority: u32,
    /// The planner and the caller id of the submission that waits for an answer.
    pub(crate) pending: Option<(usize, Caller)>,
    pub(crate) submitted_at: Time,
    pub(crate) answers: Vec<(Time, JobAnswer)>,
    pub(crate) submissions: u32,
}

impl TestJob {
    /// Returns whether each submission was refused.
    pub(crate) fn is_refused(&self) -> bool {
        let refused = |(_, answer): &&(Time, JobAnswer)| matches!(answer, JobAnswer::Refused(_));
        self.submissions > 0
            && self.answers.iter().filter(refused).count() == self.submissions as usize
    }
}

impl World {
    /// Breaks the connection of a job's caller.
    pub(super) fn reset_caller(&mut self, job: usize) {
        let Some((planner, caller)) = self.jobs[job].pending.take() else {
            return;
        };
        self.callers.remove(&(planner, caller));
        self.at(3_000, Event::CallerGone(planner, caller));
        self.resubmit(job);
    }

    pub(super) fn resubmit(&mut self, job: usize) {
        if self.jobs[job].submissions >= 6 {
            return;
        }
        let wait = if self.without == Without::ResubmitDelay {
            1_000
        } else {
            RESUBMIT_DELAY
        };
        let planner = self.rng.usize(0..self.planners.len());
        self.at(wait, Event::Submit(job, planner));
    }

    pub(super) fn submit(&mut self, job: usize, planner: usize) {
        if self.jobs[job].pending.is_some() {
            return;
        }
        let now = self.now;
        self.jobs[job].submissions += 1;
        if self.jobs[job].submissions == 1 {
            self.jobs[job].submitted_at = now;
        }
        if self.planners[planner].core.is_none() {
            self.resubmit(job);
            return;
        }
        self.last_caller += 1;
        let caller = Caller(self.last_caller);
        self.jobs[job].pending = Some((planner, caller));
        self.callers.insert((planner, caller), job);
        if now < self.planners[planner].paused_until {
            // A paused planner does not notice the caller until it has given up; the connection
            // hangs.
            let caller_timeout = self.jobs[job].caller_timeout.0;
            let wait = now.duration_until(self.planners[planner].paused_until).0;
            if caller_timeout < wait {
                self.at(caller_timeout, Event::ResetCaller(job));
            } else {
                self.callers.remove(&(planner, caller));
                self.jobs[job].pending = None;
                self.jobs[job].submissions -= 1;
                self.at(wait + 1, Event::Submit(job, planner));
            }
            return;
        }
        self.started.insert(self.jobs[job].id, 0);
        let mut submitted = self.jobs[job].clone();
        if submitted.states_remaining {
            let spent = submitted.submitted_at.duration_until(self.now);
            submitted.caller_timeout = Micros(submitted.caller_timeout.0.saturating_sub(spent.0));
        }
        self.record_submission(planner, submitted.id, submitted.count);
        self.wake_planner(planner, |core, now| {
            core.submit(now, caller, new_job(&submitted, now));
        });
    }

    pub(super) fn answered(&mut self, job: usize, answer: JobAnswer) {
        let now = self.now;
        let id = self.jobs[job].id;
        self.jobs[job].pending = None;
        self.jobs[job].answers.push((now, answer));
        let started = self.started.get(&id).copied().unwrap_or(0);
        if matches!(answer, JobAnswer::Refused(_)) && started > 0 {
            self.violations.push(format!(
                "{now:?}: job {id} was refused after a run had started"
            ));
        }
        self.check_failed(id, answer);
        if answer == JobAnswer::GaveUp {
            self.resubmit(job);
        }
    }
}

/// Returns the route of all jobs in the model.
pub(crate) fn route() -> Arc<Route> {
    Arc::new(Route {
        name: "main".into(),
        host: "".into(),
        prefix: "/p/".into(),
        service: "work".into(),
        priority: 0,
        max_attempts: 2,
        slack_factor: 1.6,
        target_duration: Micros::from_millis(60),
        default_timeout: Micros::from_millis(1_500),
    })
}

pub(super) fn new_job(job: &TestJob, now: Time) -> NewJob {
    NewJob {
        id: JobId(job.id),
        route: Arc::new(Route {
            priority: job.priority,
            ..Route::clone(&route())
        }),
        config_version: 1,
        spec: "x".into(),
        request: "".into(),
        steps: vec![Step {
            count: job.count,
            demand: job.demand,
            declared_runtime: job.declared_runtime,
            ..Step::default()
        }],
        deadline: now + job.caller_timeout,
    }
}

/// Returns a job of `count` tasks that take `millis` each.
pub(crate) fn test_job(id: u64, count: u32, millis: u64) -> TestJob {
    TestJob {
        id,
        count,
        declared_runtime: Micros::from_millis(millis),
        work: millis * 1_000,
        fails: false,
        is_deadly: false,
        caller_timeout: Micros::from_millis(2_500),
        states_remaining: false,
        demand: Resources {
            cpu: 1_600,
            memory: 64,
            gpu: 0,
        },
        priority: 0,
        pending: None,
        submitted_at: Time::default(),
        answers: Vec::new(),
        submissions: 0,
    }
}
