//! Callers of the model: they send jobs, and again when they got no answer.

use std::sync::Arc;

use chervilring_core::runs::Route;
use chervilring_core::runs::planner::{Caller, JobAnswer, NewJob, Step};
use chervilring_wire::{JobId, Micros, Resources, Time};

use super::{Happening, RESEND, Without, World};

/// A caller's job.
#[derive(Debug, Clone)]
pub(crate) struct Wanted {
    pub(crate) id: u64,
    pub(crate) count: u32,
    pub(crate) size: Micros,
    pub(crate) work: u64,
    pub(crate) fails: bool,
    pub(crate) patience: Micros,
    /// Whether its caller names what is left of its patience when it sends the job again.
    pub(crate) counts: bool,
    pub(crate) demand: Resources,
    /// Sent at, planner and handle of the newest try.
    pub(crate) open: Option<(usize, Caller)>,
    pub(crate) first: Time,
    pub(crate) answers: Vec<(Time, JobAnswer)>,
    pub(crate) tries: u32,
}

impl Wanted {
    /// Returns whether each sending of it was refused.
    pub(crate) fn is_refused(&self) -> bool {
        let refused = |(_, answer): &&(Time, JobAnswer)| matches!(answer, JobAnswer::Refused(_));
        self.tries > 0 && self.answers.iter().filter(refused).count() == self.tries as usize
    }
}

impl World {
    /// Has a job's connection break.
    pub(super) fn reset_caller(&mut self, job: usize) {
        let Some((planner, caller)) = self.jobs[job].open.take() else {
            return;
        };
        self.callers.remove(&(planner, caller));
        self.at(3_000, Happening::CallerGone(planner, caller));
        self.resend(job);
    }

    pub(super) fn resend(&mut self, job: usize) {
        if self.jobs[job].tries >= 6 {
            return;
        }
        let wait = if self.without == Without::ResendWait {
            1_000
        } else {
            RESEND
        };
        let planner = self.rng.usize(0..self.planners.len());
        self.at(wait, Happening::Submit(job, planner));
    }

    pub(super) fn submit(&mut self, job: usize, planner: usize) {
        if self.jobs[job].open.is_some() {
            return;
        }
        let now = self.now;
        self.jobs[job].tries += 1;
        if self.jobs[job].tries == 1 {
            self.jobs[job].first = now;
        }
        if self.planners[planner].core.is_none() {
            self.resend(job);
            return;
        }
        self.last_caller += 1;
        let caller = Caller(self.last_caller);
        self.jobs[job].open = Some((planner, caller));
        self.callers.insert((planner, caller), job);
        if now < self.planners[planner].paused_until {
            // The caller is not heard until it has given up; the connection hangs.
            let patience = self.jobs[job].patience.0;
            let wait = now.duration_until(self.planners[planner].paused_until).0;
            if patience < wait {
                self.at(patience, Happening::ResetCaller(job));
            } else {
                self.callers.remove(&(planner, caller));
                self.jobs[job].open = None;
                self.jobs[job].tries -= 1;
                self.at(wait + 1, Happening::Submit(job, planner));
            }
            return;
        }
        self.started.insert(self.jobs[job].id, 0);
        let mut wanted = self.jobs[job].clone();
        if wanted.counts {
            let spent = wanted.first.duration_until(self.now);
            wanted.patience = Micros(wanted.patience.0.saturating_sub(spent.0));
        }
        self.wake_planner(planner, |core, now| {
            core.submit(now, caller, new_job(&wanted, now));
        });
    }

    pub(super) fn answered(&mut self, job: usize, answer: JobAnswer) {
        let now = self.now;
        let id = self.jobs[job].id;
        self.jobs[job].open = None;
        self.jobs[job].answers.push((now, answer));
        let started = self.started.get(&id).copied().unwrap_or(0);
        if matches!(answer, JobAnswer::Refused(_)) && started > 0 {
            self.violations
                .push(format!("{now:?}: job {id} is said not to have run"));
        }
        if answer == JobAnswer::GaveUp {
            self.resend(job);
        }
    }
}

/// Returns the route of all jobs here.
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

pub(super) fn new_job(job: &Wanted, now: Time) -> NewJob {
    NewJob {
        id: JobId(job.id),
        route: route(),
        version: 1,
        spec: "x".into(),
        request: "".into(),
        steps: vec![Step {
            count: job.count,
            demand: job.demand,
            size: job.size,
            ..Step::default()
        }],
        deadline: now + job.patience,
    }
}

/// Returns a job of `count` tasks that take `millis` each.
pub(crate) fn wanted(id: u64, count: u32, millis: u64) -> Wanted {
    Wanted {
        id,
        count,
        size: Micros::from_millis(millis),
        work: millis * 1_000,
        fails: false,
        patience: Micros::from_millis(2_500),
        counts: false,
        demand: Resources {
            cpu: 1_600,
            memory: 64,
            gpu: 0,
        },
        open: None,
        first: Time::default(),
        answers: Vec::new(),
        tries: 0,
    }
}
