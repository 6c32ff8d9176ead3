//! The system that starts queued tasks.

use chervilring_wire::{Attempt as AttemptNumber, Reason, TaskIndex, TaskKey, TaskStart, Time};

use super::attempts::Attempt;
use super::dispatcher::Dispatcher;
use super::policy::Ask;
use super::work::Step;

/// The share of its expected span that a task may have left until its deadline.
const LEAST_SHARE: f64 = 0.2;

/// Submissions that a slow upstream's task, or a trial, may pass over.
const PASSED_OVER: usize = 64;

impl Dispatcher {
    /// Starts tasks for as long as the policy finds upstreams for them.
    pub(crate) fn start(&mut self, now: Time) {
        let mut batches = Vec::new();
        self.hedge(now, &mut batches);
        for service in 0..self.services.len() {
            self.start_trials(now, service, &mut batches);
            while let Some(pick) = self.pick(service) {
                let (lane, index) = pick;
                if self.is_hopeless(now, service, lane, index) {
                    self.counters.expired += 1;
                    self.give_up(now, index, Reason::Deadline, None);
                    continue;
                }
                let Some((agent, start)) = self.start_one(now, index, lane) else {
                    break;
                };
                batch(&mut batches, agent, start);
            }
        }
        for (agent, tasks) in batches {
            let agent = self.agents.rows[agent].id.clone();
            self.steps.push(Step::Start { agent, tasks });
        }
    }

    /// Picks a lane, and the submission whose next task it is to be given.
    fn pick(&mut self, service: usize) -> Option<(usize, usize)> {
        let row = &self.services[service];
        let front = self.submissions.get(row.queue.front()?)?;
        let &task = front.waiting.last()?;
        let ask = Ask {
            queued: row.queue.len(),
            avoid: front.tasks[task as usize].last,
        };
        let pick = (self.settings.policy.choose)(&row.pool, &mut self.chooser, ask)?;
        Some((pick.lane, self.skip(service, pick.skip)?))
    }

    /// Starts the next task of a submission.
    fn start_one(&mut self, now: Time, index: usize, lane: usize) -> Option<(usize, TaskStart)> {
        let submission = self.submissions.get_mut(index)?;
        let task = submission.waiting.pop()?;
        let last = submission.waiting.is_empty();
        let row = &mut self.services[submission.service];
        row.queue.take(submission.team, submission.rank, last);
        let first = submission.tasks[task as usize].tries == 0;
        if first {
            row.retries.earn(row.service.rules.retry_percent);
            row.hedges.earn(row.service.rules.hedge_percent);
        }
        let agent = row.pool.lanes[lane].agent;
        let start = self.send(now, index, task, lane);
        self.refresh(now, agent);
        Some((agent, start))
    }

    /// Returns whether a submission can no longer be done by its deadline.
    fn is_hopeless(&self, now: Time, service: usize, lane: usize, index: usize) -> bool {
        let Some(submission) = self.submissions.get(index) else {
            return false;
        };
        let pool = &self.services[service].pool;
        let left = now.duration_until(submission.work.deadline).0 as f64;
        let rest = submission.waiting.len() as f64 / pool.rate().max(f64::MIN_POSITIVE);
        left < pool.lanes[lane].span * LEAST_SHARE || left < rest
    }

    /// Sends single requests that may run again to upstreams that want to come back.
    fn start_trials(
        &mut self,
        now: Time,
        service: usize,
        batches: &mut Vec<(usize, Vec<TaskStart>)>,
    ) {
        for place in 0..self.services[service].pool.out.len() {
            let row = &self.services[service];
            let lane = row.pool.out[place];
            let state = &row.pool.lanes[lane];
            let agent = &self.agents.rows[state.agent];
            let free = agent.load.slots > agent.own + agent.others;
            if !state.health.wants_trial(now) || !agent.usable() || !free {
                continue;
            }
            let Some(index) = self.first_repeatable(service) else {
                return;
            };
            let pool = &mut self.services[service].pool;
            pool.lanes[lane].health.begin_trial();
            if let Some((agent, start)) = self.start_one(now, index, lane) {
                batch(batches, agent, start);
            }
        }
    }

    /// Returns the first request in the queue that may run again.
    fn first_repeatable(&self, service: usize) -> Option<usize> {
        let mut first = self.services[service].queue.iter().take(PASSED_OVER);
        first.find(|&index| self.submissions.get(index).is_some_and(Self::repeatable))
    }

    /// Returns the submission that has the task behind the first `skip` ones of the queue.
    fn skip(&self, service: usize, skip: usize) -> Option<usize> {
        let mut left = skip;
        let mut found = None;
        for index in self.services[service].queue.iter().take(PASSED_OVER) {
            found = Some(index);
            let waiting = self.submissions.get(index)?.waiting.len();
            if waiting > left {
                break;
            }
            left -= waiting;
        }
        found
    }

    /// Notes an attempt and returns what the agent is to be sent.
    pub(crate) fn send(&mut self, now: Time, index: usize, task: u32, lane: usize) -> TaskStart {
        let submission = self
            .submissions
            .get_mut(index)
            .expect("the caller found it");
        let service = submission.service;
        let lane_row = &mut self.services[service].pool.lanes[lane];
        let (agent, span) = (lane_row.agent, lane_row.span);
        lane_row.health.sent(now, lane_row.own);
        lane_row.own += 1;
        self.agents.rows[agent].own += 1;
        let row = &mut submission.tasks[task as usize];
        let key = TaskKey {
            submission: submission.work.id,
            index: TaskIndex(task),
            attempt: AttemptNumber(row.tries),
        };
        row.tries += 1;
        row.live += 1;
        row.last = Some(agent);
        submission.live += 1;
        self.counters.started += 1;
        self.attempts.insert(
            key,
            Attempt {
                agent,
                service,
                lane,
                sent: now,
                submission: Some(index),
                expiry: Time::NEVER,
            },
        );
        let idempotent = Self::repeatable(submission);
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
            self.plan_hedge(now, start.key, span);
        }
        start
    }
}

/// Adds a task to the batch of its agent.
pub(crate) fn batch(batches: &mut Vec<(usize, Vec<TaskStart>)>, agent: usize, start: TaskStart) {
    match batches.iter_mut().find(|b| b.0 == agent) {
        Some(batch) => batch.1.push(start),
        None => batches.push((agent, vec![start])),
    }
}
