//! The ends of jobs: completed, failed, refused or given up.

use std::collections::BTreeMap;

use chervilring_wire::{Micros, PlannerMessage, RunKey, Time};

use super::event::PlannerEvent;
use super::job::{Job, TaskState};
use super::links::LinkNo;
use super::run_ends::best_speed;
use super::state::{JobAnswer, Planner, PlannerStep, Refusal};

/// How long the tasks of an ended job are remembered: callers resubmit within seconds.
const PAST_JOB_AGE: Micros = Micros::from_secs(30);

impl Planner {
    /// Ends a job that is completed or can no longer be served.
    pub(super) fn check_job(&mut self, now: Time, seq: u64) {
        if let Some(job) = self.jobs.get_mut(&seq) {
            // A job whose cancelled runs have started nevertheless goes on.
            job.cancelling = job.cancelling && job.started_at.is_none();
            job.last_checked = now;
        }
        let Some(job) = self.jobs.get(&seq) else {
            return;
        };
        if job.is_done() {
            self.answer_job(now, seq, JobAnswer::Completed);
            return;
        }
        let service = job.submission.route.service.as_str();
        if job.has_waiting_task() && self.is_service_evacuated(now, service) {
            self.refuse_or_give_up(now, seq, Refusal::Evacuated);
            return;
        }
        if job.started_at.is_none() && now >= job.start_deadline {
            let reachable = self.links.values().any(|u| u.accepts(service));
            let refusal = if reachable {
                Refusal::Overload
            } else {
                Refusal::Unreachable
            };
            self.refuse_unstarted(now, seq, refusal);
            return;
        }
        if now >= job.submission.deadline || self.cannot_finish(now, job) {
            self.give_up(now, seq, Refusal::Overload);
        }
    }

    /// Ends a job that cannot be served any more, whether or not a task of it has started.
    fn refuse_or_give_up(&mut self, now: Time, seq: u64, refusal: Refusal) {
        if self.jobs.get(&seq).is_some_and(|j| j.started_at.is_none()) {
            self.refuse_unstarted(now, seq, refusal);
        } else {
            self.give_up(now, seq, refusal);
        }
    }

    /// Refuses a job that has not started, as soon as none of its runs can start: its queued runs
    /// are cancelled first.
    fn refuse_unstarted(&mut self, now: Time, seq: u64, refusal: Refusal) {
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        if !job.may_have_started() || now >= job.submission.deadline {
            self.give_up(now, seq, refusal);
            return;
        }
        if job.cancelling {
            return;
        }
        job.cancelling = true;
        for (link, runs) in runs_by_link(job) {
            let message = PlannerMessage::CancelQueued(runs);
            self.steps.push(PlannerStep::Send { link, message });
        }
    }

    /// Returns whether a waiting task of a started job cannot finish before the caller leaves.
    fn cannot_finish(&self, now: Time, job: &Job) -> bool {
        if job.started_at.is_none() {
            return false;
        }
        let best = best_speed(&self.links, &job.submission.route.service);
        let is_late = |t: &super::job::Task| {
            let TaskState::Waiting(at) = t.state else {
                return false;
            };
            let declared_runtime = job.submission.steps[t.step].declared_runtime;
            let run = self.hopeful_run_time(job, declared_runtime, best);
            now.max(at) + run > job.submission.deadline
        };
        job.tasks.iter().any(is_late)
    }

    /// Answers a job that cannot be served: refused if none of its runs may have started, else
    /// given up.
    pub(super) fn give_up(&mut self, now: Time, seq: u64, refusal: Refusal) {
        let may_have_run = self.jobs.get(&seq).is_some_and(Job::may_have_started);
        let answer = if may_have_run {
            JobAnswer::GaveUp
        } else {
            JobAnswer::Refused(refusal)
        };
        self.answer_job(now, seq, answer);
    }

    /// Answers a job and removes it.
    pub(super) fn answer_job(&mut self, now: Time, seq: u64, answer: JobAnswer) {
        let retry_after = self.retry_after(now, seq, answer);
        let Some(job) = self.jobs.get(&seq) else {
            return;
        };
        let objective = self.true_objective(job);
        let time = job.arrived.duration_until(now) + job.prior_wait.unwrap_or_default();
        let event = PlannerEvent::Answered {
            job: job.submission.id,
            request: job.submission.request.clone(),
            route: job.submission.route.name.clone(),
            config_version: job.submission.config_version,
            answer,
            caller_timeout: job.arrived.duration_until(job.submission.deadline),
            prior_wait: job.prior_wait,
            duration: now.duration_since(job.arrived),
            start_wait: job.started_at.map(|at| at.duration_since(job.arrived)),
            starts: job.sent_runs,
            objective_met: answer == JobAnswer::Completed && time <= objective,
            objective,
            failures: job.most_failures(),
            max_attempts: job.submission.route.max_attempts,
            crashes: job.most_crashes(),
        };
        for &caller in &job.callers {
            self.steps.push(PlannerStep::Answer {
                caller,
                job: job.submission.id,
                answer,
                retry_after,
            });
        }
        self.steps.push(PlannerStep::Log(event));
        self.remove_job(now, seq);
    }

    /// Removes a job and stops its runs.
    pub(super) fn remove_job(&mut self, now: Time, seq: u64) {
        let Some(job) = self.jobs.remove(&seq) else {
            return;
        };
        self.job_seqs.remove(&job.submission.id);
        let footprint = job.submission.footprint();
        self.memory.remove(footprint, self.settings.job_memory);
        let past = job.past(now + PAST_JOB_AGE);
        if past.attempt > 0 {
            self.past_jobs.insert(job.submission.id, past);
        }
        for (link, runs) in runs_by_link(&job) {
            for run in &runs {
                self.runs.remove(run);
            }
            let message = PlannerMessage::Stop(runs);
            self.steps.push(PlannerStep::Send { link, message });
        }
    }
}

/// Returns the runs of a job that may be queued or running, by the link to their upstream.
fn runs_by_link(job: &Job) -> BTreeMap<LinkNo, Vec<RunKey>> {
    let mut rows: BTreeMap<LinkNo, Vec<RunKey>> = BTreeMap::new();
    for (run, link) in job.all_runs() {
        rows.entry(link).or_default().push(run);
    }
    rows
}
