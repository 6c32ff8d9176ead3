//! The system that starts queued tasks.

use chervilring_wire::{Attempt as AttemptNumber, Reason, TaskIndex, TaskKey, TaskStart, Time};

use super::attempts::Attempt;
use super::dispatcher::Dispatcher;
use super::policy::PickRequest;
use super::work::Step;

/// Least time until its deadline with which a task is started, as a share of its expected latency.
const MIN_REMAINING_SHARE: f64 = 0.2;

/// Submissions that a task for a slow upstream, or a trial, may overtake.
const MAX_SKIPPED: usize = 64;

impl Dispatcher {
    /// Starts tasks as long as the policy picks lanes for them.
    pub(crate) fn start_tasks(&mut self, now: Time) {
        let mut batches = Vec::new();
        self.send_hedges(now, &mut batches);
        for service in 0..self.services.len() {
            self.start_trials(now, service, &mut batches);
            while let Some(pick) = self.pick_next(service) {
                let (lane, index) = pick;
                if self.will_miss_deadline(now, service, lane, index) {
                    self.counters.expired += 1;
                    self.fail_submission(now, index, Reason::Deadline, None);
                    continue;
                }
                let Some((agent, start)) = self.start_task(now, index, lane) else {
                    break;
                };
                add_to_batch(&mut batches, agent, start);
            }
        }
        for (agent, tasks) in batches {
            let agent = self.agents.rows[agent].id.clone();
            self.steps.push(Step::Start { agent, tasks });
        }
    }

    /// Picks a lane, and the submission whose next task runs there.
    fn pick_next(&mut self, service: usize) -> Option<(usize, usize)> {
        let row = &self.services[service];
        let front = self.submissions.get(row.queue.front()?)?;
        let &task = front.queued.last()?;
        let request = PickRequest {
            queued: row.queue.len(),
            avoid: front.tasks[task as usize].last_agent,
        };
        let pick = (self.settings.policy.choose)(&row.pool, &mut self.policy_state, request)?;
        Some((pick.lane, self.submission_at(service, pick.skip)?))
    }

    /// Starts the next task of a submission.
    fn start_task(&mut self, now: Time, index: usize, lane: usize) -> Option<(usize, TaskStart)> {
        let submission = self.submissions.get_mut(index)?;
        let task = submission.queued.pop()?;
        let last = submission.queued.is_empty();
        let row = &mut self.services[submission.service];
        row.queue
            .remove_task(submission.team, submission.rank, last);
        let first = submission.tasks[task as usize].attempts == 0;
        if first {
            row.retry_budget.deposit(row.service.rules.retry_percent);
            row.hedge_budget.deposit(row.service.rules.hedge_percent);
        }
        let agent = row.pool.lanes[lane].agent;
        let start = self.create_attempt(now, index, task, lane);
        self.refresh_lanes(now, agent);
        Some((agent, start))
    }

    /// Returns whether a submission can no longer finish by its deadline.
    fn will_miss_deadline(&self, now: Time, service: usize, lane: usize, index: usize) -> bool {
        let Some(submission) = self.submissions.get(index) else {
            return false;
        };
        let pool = &self.services[service].pool;
        let remaining = now.duration_until(submission.work.deadline).0 as f64;
        let queued_time = submission.queued.len() as f64 / pool.rate().max(f64::MIN_POSITIVE);
        remaining < pool.lanes[lane].latency * MIN_REMAINING_SHARE || remaining < queued_time
    }

    /// Sends a single request that may run again to each ejected lane that is due for a trial.
    fn start_trials(
        &mut self,
        now: Time,
        service: usize,
        batches: &mut Vec<(usize, Vec<TaskStart>)>,
    ) {
        for position in 0..self.services[service].pool.ejected.len() {
            let row = &self.services[service];
            let lane = row.pool.ejected[position];
            let state = &row.pool.lanes[lane];
            let agent = &self.agents.rows[state.agent];
            let free = agent.load.slots > agent.own_attempts + agent.other_attempts;
            if !state.health.is_trial_due(now) || !agent.usable() || !free {
                continue;
            }
            let Some(index) = self.first_retryable(service) else {
                return;
            };
            let pool = &mut self.services[service].pool;
            pool.lanes[lane].health.begin_trial();
            if let Some((agent, start)) = self.start_task(now, index, lane) {
                add_to_batch(batches, agent, start);
            }
        }
    }

    /// Returns the first queued request that may run again.
    fn first_retryable(&self, service: usize) -> Option<usize> {
        let mut first = self.services[service].queue.iter().take(MAX_SKIPPED);
        first.find(|&index| self.submissions.get(index).is_some_and(Self::is_retryable))
    }

    /// Returns the submission of the task behind the first `skip` ones of the queue.
    fn submission_at(&self, service: usize, skip: usize) -> Option<usize> {
        let mut remaining = skip;
        let mut found = None;
        for index in self.services[service].queue.iter().take(MAX_SKIPPED) {
            found = Some(index);
            let queued = self.submissions.get(index)?.queued.len();
            if queued > remaining {
                break;
            }
            remaining -= queued;
        }
        found
    }

    /// Adds an attempt to the tables and returns the message that starts it at the agent.
    pub(crate) fn create_attempt(
        &mut self,
        now: Time,
        index: usize,
        task: u32,
        lane: usize,
    ) -> TaskStart {
        let submission = self
            .submissions
            .get_mut(index)
            .expect("the caller found it");
        let service = submission.service;
        let lane_row = &mut self.services[service].pool.lanes[lane];
        let (agent, latency) = (lane_row.agent, lane_row.latency);
        lane_row.health.record_start(now, lane_row.own_attempts);
        lane_row.own_attempts += 1;
        self.agents.rows[agent].own_attempts += 1;
        let row = &mut submission.tasks[task as usize];
        let key = TaskKey {
            submission: submission.work.id,
            index: TaskIndex(task),
            attempt: AttemptNumber(row.attempts),
        };
        row.attempts += 1;
        row.active += 1;
        row.last_agent = Some(agent);
        submission.active += 1;
        self.counters.started += 1;
        self.attempts.insert(
            key,
            Attempt {
                agent,
                service,
                lane,
                sent_at: now,
                submission: Some(index),
                expiry: Time::NEVER,
            },
        );
        let idempotent = Self::is_retryable(submission);
        let work = &submission.work;
        let start = TaskStart {
            key,
            origin: work.origin,
            service: work.service.clone(),
            remaining: now.duration_until(work.deadline),
            idempotent,
            media: work.media.clone(),
            body: work.bodies[task as usize].clone(),
        };
        let hedged = self.services[service].service.rules.hedge_percent > 0;
        if idempotent && hedged && start.key.attempt.0 == 0 {
            self.schedule_hedge(now, start.key, latency);
        }
        start
    }
}

/// Adds a task to the batch of its agent.
pub(crate) fn add_to_batch(
    batches: &mut Vec<(usize, Vec<TaskStart>)>,
    agent: usize,
    start: TaskStart,
) {
    match batches.iter_mut().find(|b| b.0 == agent) {
        Some(batch) => batch.1.push(start),
        None => batches.push((agent, vec![start])),
    }
}
