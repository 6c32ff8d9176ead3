//! Ending jobs: done, refused, given up.

use std::collections::BTreeMap;

use chervilring_wire::{Micros, PlannerMessage, RunKey, Time};

use super::ends::best_speed;
use super::event::PlannerEvent;
use super::job::{Job, TaskState};
use super::links::LinkNo;
use super::state::{JobAnswer, Planner, PlannerStep, Refusal};

/// How long the attempts of a job that was answered are remembered: callers send a job again
/// within seconds.
const PAST_AGE: Micros = Micros::from_secs(30);

impl Planner {
    /// Ends a job that is done, or that can no longer be served.
    pub(super) fn settle(&mut self, now: Time, no: u64) {
        if let Some(job) = self.jobs.get_mut(&no) {
            // One that was called back and has begun all the same goes on.
            job.withdrawn = job.withdrawn && job.started.is_none();
            job.settled = now;
        }
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        if job.is_done() {
            self.finish(now, no, JobAnswer::Completed);
            return;
        }
        let service = job.new.route.service.as_str();
        if job.started.is_none() && now >= job.hold {
            let known = self.links.values().any(|u| u.does(service));
            let why = if known {
                Refusal::Overload
            } else {
                Refusal::Unreachable
            };
            self.withdraw(now, no, why);
            return;
        }
        if now >= job.new.deadline || self.is_hopeless(now, job) {
            self.give_up(now, no, Refusal::Overload);
        }
    }

    /// Refuses a job of which nothing has begun, once that is sure: what waits at upstreams is
    /// called back first.
    fn withdraw(&mut self, now: Time, no: u64, why: Refusal) {
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        if !job.is_sent() || now >= job.new.deadline {
            self.give_up(now, no, why);
            return;
        }
        if job.withdrawn {
            return;
        }
        job.withdrawn = true;
        for (link, runs) in by_link(job) {
            let message = PlannerMessage::CancelQueued(runs);
            self.steps.push(PlannerStep::Send { link, message });
        }
    }

    /// Returns whether a task that is yet to be started cannot end before the caller leaves.
    fn is_hopeless(&self, now: Time, job: &Job) -> bool {
        if job.started.is_none() {
            return false;
        }
        let best = best_speed(&self.links, &job.new.route.service);
        let late = |t: &super::job::Task| {
            let TaskState::Waiting(at) = t.state else {
                return false;
            };
            let size = job.new.steps[t.step].size;
            let run = Micros((size.0 as f64 / best) as u64);
            now.max(at) + run > job.new.deadline
        };
        job.tasks.iter().any(late)
    }

    /// Answers a job that is not served: refused when nothing of it was started.
    pub(super) fn give_up(&mut self, now: Time, no: u64, why: Refusal) {
        let sent = self.jobs.get(&no).is_some_and(Job::is_sent);
        let answer = if sent {
            JobAnswer::GaveUp
        } else {
            JobAnswer::Refused(why)
        };
        self.finish(now, no, answer);
    }

    /// Answers a job and forgets it.
    pub(super) fn finish(&mut self, now: Time, no: u64, answer: JobAnswer) {
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        let event = PlannerEvent::Answered {
            job: job.new.id,
            request: job.new.request.clone(),
            route: job.new.route.name.clone(),
            version: job.new.version,
            answer,
            patience: job.arrived.duration_until(job.new.deadline),
            waited: job.waited,
            span: now.duration_since(job.arrived),
            wait: job.started.map(|at| at.duration_since(job.arrived)),
            starts: job.starts,
            met: answer == JobAnswer::Completed && now <= job.objective,
        };
        for &caller in &job.callers {
            self.steps.push(PlannerStep::Answer {
                caller,
                job: job.new.id,
                answer,
                comeback: self.settings.comeback,
            });
        }
        self.steps.push(PlannerStep::Log(event));
        self.remove(now, no);
    }

    /// Forgets a job and stops what runs of it.
    pub(super) fn remove(&mut self, now: Time, no: u64) {
        let Some(job) = self.jobs.remove(&no) else {
            return;
        };
        self.ids.remove(&job.new.id);
        if let Some(attempt) = job.tasks.iter().map(|t| t.attempt).max() {
            let until = now + PAST_AGE;
            self.past.insert(job.new.id, (attempt, until));
        }
        for (link, runs) in by_link(&job) {
            for run in &runs {
                self.runs.remove(run);
            }
            let message = PlannerMessage::Stop(runs);
            self.steps.push(PlannerStep::Send { link, message });
        }
    }
}

/// Returns the runs of a job that may be going on, by the link to their upstream.
fn by_link(job: &Job) -> BTreeMap<LinkNo, Vec<RunKey>> {
    let mut rows: BTreeMap<LinkNo, Vec<RunKey>> = BTreeMap::new();
    for (run, link) in job.live() {
        rows.entry(link).or_default().push(run);
    }
    rows
}
