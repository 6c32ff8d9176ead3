//! Explanations of where a job would go now, and why, for operators.
//!
//! A job is submitted to a copy of the planner, so that the planner itself stays as it is, its random
//! generator included, and what is explained is what the next such job would meet.

use chervilring_wire::{DomainName, Micros, Name, ServiceName, Time, UpstreamState, Urgency};

use super::candidates::could_run;
use super::choice::{Candidate, Obstacle, TaskTimes, obstacle};
use super::job::{Caller, Job, NewJob, Step, Task, TaskState};
use super::links::LinkNo;
use super::placing::task_times;
use super::state::{JobAnswer, Planner, PlannerStep};
use super::upstream::Upstream;

/// A caller that does not exist; numbers of connections do not come that far.
const NOBODY: Caller = Caller(u64::MAX);

/// What would become of a job that came now.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation {
    /// The route.
    pub route: Name,
    /// The service that runs its tasks.
    pub service: ServiceName,
    /// The version of the configuration that defines the route.
    pub config_version: u64,
    /// The place that it would get among waiting jobs, unless it is answered or known.
    pub order: Option<JobOrder>,
    /// What would become of it.
    pub outcome: Outcome,
    /// The steps.
    pub steps: Vec<StepExplanation>,
}

/// The place of a job in the order of work.
#[derive(Debug, Clone, PartialEq)]
pub struct JobOrder {
    /// What decides it.
    pub urgency: Urgency,
    /// The number of waiting jobs that would go first.
    pub ahead: usize,
    /// The time until its objective is missed.
    pub objective: Micros,
    /// How long it may wait for its first start before it is refused.
    pub start_timeout: Micros,
    /// How long its caller counts as having waited before, if it is a resubmission.
    pub prior_wait: Option<Micros>,
}

/// What would become of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Tasks would be sent to upstreams at once; the rest would wait.
    Placed {
        /// The tasks that would wait, of the steps that can begin.
        waiting: u32,
    },
    /// The job would wait for room, and be refused if none becomes free in time.
    Queued {
        /// When a refused caller would be told to retry.
        retry_after: Micros,
    },
    /// The job would be answered at once.
    Answered {
        /// The answer.
        answer: JobAnswer,
        /// When a refused caller would be told to retry.
        retry_after: Micros,
    },
    /// A job of this id is in hand: the caller would get its answer.
    InHand,
}

/// Where the tasks of a step would go.
#[derive(Debug, Clone, PartialEq)]
pub struct StepExplanation {
    /// The number of tasks.
    pub tasks: u32,
    /// The steps that must be done before; upstreams are chosen then.
    pub dependencies: Vec<usize>,
    /// The upstreams of the service that are linked: the chosen ones first, then by their wait.
    pub candidates: Vec<UpstreamExplanation>,
}

/// Why an upstream would be chosen or passed over.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamExplanation {
    /// The name of its runner.
    pub runner: Name,
    /// Its failure domain.
    pub domain: DomainName,
    /// The number of tasks that it would be sent.
    pub tasks: u32,
    /// Why it would be chosen or passed over.
    pub reason: ChoiceReason,
    /// What is expected of a task there, if it can run there now.
    pub expected: Option<ExpectedRun>,
}

/// What is expected of a task on an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExpectedRun {
    /// The wait for room.
    pub wait: Micros,
    /// The run time.
    pub run_time: Micros,
    /// The share of its processor that is free; negative if more is asked for than there is.
    pub free_share: f64,
}

/// Why an upstream is chosen or passed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceReason {
    /// Tasks go there.
    Chosen,
    /// It would do, and others rate better, or the job as a whole finds no room.
    RatedLower,
    /// Its failure domain is evacuated.
    Evacuated,
    /// It takes no runs, or has not said yet what it is.
    Closed,
    /// It is too small, or lacks the label that the step requires.
    Unfit,
    /// The job is answered without a look at upstreams.
    NotAsked,
    /// It takes no more runs of this step.
    Obstacle(Obstacle),
}

impl Planner {
    /// Explains what would become of a job that came now. Nothing is sent, held or changed.
    pub fn explain(&self, now: Time, submission: &NewJob) -> Explanation {
        let mut copy = self.clone();
        copy.steps.clear();
        let known = copy.contains(submission.id);
        copy.submit(now, NOBODY, submission.clone());
        let job = copy.job_of(submission).filter(|_| !known);
        let of_step = |(place, step)| self.explain_step(now, submission, job, (place, step));
        let steps = submission.steps.iter().enumerate();
        let steps: Vec<StepExplanation> = steps.map(of_step).collect();
        let outcome = match (known, copy.answer_to_nobody(), job) {
            (true, ..) => Outcome::InHand,
            (_, Some(outcome), _) => outcome,
            (_, None, Some(job)) if job.may_have_started() => Outcome::Placed {
                waiting: waiting_tasks(job),
            },
            _ => Outcome::Queued {
                retry_after: self.settings.retry_after,
            },
        };
        Explanation {
            route: submission.route.name.clone(),
            service: submission.route.service.clone(),
            config_version: submission.config_version,
            order: job.map(|j| copy.job_order(now, j)),
            outcome,
            steps,
        }
    }

    fn job_of(&self, submission: &NewJob) -> Option<&Job> {
        let seq = self.job_seqs.get(&submission.id)?;
        self.jobs.get(seq)
    }

    /// Returns the answer that the explained job was given at once.
    fn answer_to_nobody(&self) -> Option<Outcome> {
        self.steps.iter().find_map(|step| match step {
            PlannerStep::Answer {
                caller: NOBODY,
                answer,
                retry_after,
                ..
            } => Some(Outcome::Answered {
                answer: *answer,
                retry_after: *retry_after,
            }),
            _ => None,
        })
    }

    fn job_order(&self, now: Time, job: &Job) -> JobOrder {
        let own = job.work_order(now);
        let goes_first = |other: &&Job| {
            let is_other = other.submission.id != job.submission.id && other.has_waiting_task();
            is_other && other.work_order(now) <= own
        };
        JobOrder {
            urgency: job.urgency(now, job.critical_path),
            ahead: self.jobs.values().filter(goes_first).count(),
            objective: now.duration_until(job.objective),
            start_timeout: now.duration_until(job.start_deadline),
            prior_wait: job.prior_wait,
        }
    }

    fn explain_step(
        &self,
        now: Time,
        submission: &NewJob,
        job: Option<&Job>,
        (place, step): (usize, &Step),
    ) -> StepExplanation {
        let mut candidates = Vec::new();
        if step.dependencies.is_empty() {
            let service = submission.route.service.as_str();
            let offering = self.links.iter().filter(|(_, u)| u.offers(service));
            let question = Question {
                step,
                rows: job.map_or_else(Vec::new, |j| self.expected_runs(now, j, place)),
                times: job.map(|j| task_times(now, j)),
            };
            let explain = |(&link, upstream): (&LinkNo, &Upstream)| {
                let tasks = job.map_or(0, |j| j.placed_at(place, link));
                question.explain(link, upstream, tasks)
            };
            candidates = offering.map(explain).collect();
        }
        candidates.sort_by_key(|c| {
            let wait = c.expected.map_or(Micros(u64::MAX), |e| e.wait);
            (std::cmp::Reverse(c.tasks), wait)
        });
        StepExplanation {
            tasks: step.count,
            dependencies: step.dependencies.clone(),
            candidates,
        }
    }

    fn expected_runs(&self, now: Time, job: &Job, step: usize) -> Vec<(LinkNo, Candidate)> {
        let demand = &job.submission.steps[step].demand;
        let slots = self.slots(now, job, step);
        let rows = slots.iter().map(|s| (s.link, s.candidate(demand, None)));
        rows.collect()
    }
}

/// What is asked about each upstream for a task of a step.
struct Question<'a> {
    step: &'a Step,
    /// The upstreams that could run it now. In the order of their links.
    rows: Vec<(LinkNo, Candidate)>,
    /// What the task must meet, unless its job is answered at once.
    times: Option<TaskTimes>,
}

impl Question<'_> {
    fn explain(&self, link: LinkNo, upstream: &Upstream, tasks: u32) -> UpstreamExplanation {
        let found = self.rows.binary_search_by_key(&link, |(l, _)| *l);
        let candidate = found.ok().map(|index| &self.rows[index].1);
        let expected = candidate.map(|c| ExpectedRun {
            wait: c.queue_wait,
            run_time: c.run_time,
            free_share: c.free_share,
        });
        UpstreamExplanation {
            runner: upstream.name.clone(),
            domain: upstream.domain.clone(),
            tasks,
            reason: self.reason(upstream, candidate, tasks),
            expected,
        }
    }

    fn reason(
        &self,
        upstream: &Upstream,
        candidate: Option<&Candidate>,
        tasks: u32,
    ) -> ChoiceReason {
        let is_unfit = |(state, _): &(UpstreamState, Time)| !could_run(state, self.step);
        if tasks > 0 {
            return ChoiceReason::Chosen;
        }
        if upstream.evacuated {
            return ChoiceReason::Evacuated;
        }
        if !upstream.state.as_ref().is_some_and(|(s, _)| s.accepting) {
            return ChoiceReason::Closed;
        }
        if upstream.state.as_ref().is_some_and(is_unfit) {
            return ChoiceReason::Unfit;
        }
        let (Some(candidate), Some(times)) = (candidate, &self.times) else {
            return ChoiceReason::NotAsked;
        };
        obstacle(candidate, times).map_or(ChoiceReason::RatedLower, ChoiceReason::Obstacle)
    }
}

/// Returns the number of tasks of the steps that can begin which have no upstream yet.
fn waiting_tasks(job: &Job) -> u32 {
    let is_waiting = |t: &&Task| {
        let waits = matches!(t.state, TaskState::Waiting(_));
        waits && job.is_step_ready(t.step)
    };
    job.tasks.iter().filter(is_waiting).count() as u32
}
