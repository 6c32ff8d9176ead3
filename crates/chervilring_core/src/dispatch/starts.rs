//! The system that starts queued tasks.

use chervilring_wire::{Attempt as AttemptNumber, TaskIndex, TaskKey, TaskStart, Time};

use super::attempts::Attempt;
use super::dispatcher::Dispatcher;
use super::policy::Ask;
use super::work::Step;

/// Submissions that a slow upstream's task may pass over.
const PASSED_OVER: usize = 64;

impl Dispatcher {
    /// Starts tasks for as long as the policy finds upstreams for them.
    pub(crate) fn start(&mut self, now: Time) {
        let mut batches: Vec<(usize, Vec<TaskStart>)> = Vec::new();
        for service in 0..self.services.len() {
            while let Some((agent, start)) = self.start_one(now, service) {
                match batches.iter_mut().find(|b| b.0 == agent) {
                    Some(batch) => batch.1.push(start),
                    None => batches.push((agent, vec![start])),
                }
            }
        }
        for (agent, tasks) in batches {
            let agent = self.agents.rows[agent].id.clone();
            self.steps.push(Step::Start { agent, tasks });
        }
    }

    /// Starts the task at the front of a service's queue, when there is an upstream for it.
    fn start_one(&mut self, now: Time, service: usize) -> Option<(usize, TaskStart)> {
        let row = &self.services[service];
        let front = self.submissions.get(row.queue.front()?)?;
        let &task = front.waiting.last()?;
        let ask = Ask {
            queued: row.queue.len(),
            avoid: front.tasks[task as usize].last,
        };
        let pick = (self.settings.policy.choose)(&row.pool, &mut self.chooser, ask)?;
        let lane = pick.lane;
        let index = self.skip(service, pick.skip)?;
        let row = &mut self.services[service];
        let submission = self.submissions.get_mut(index)?;
        let &task = submission.waiting.last()?;
        submission.waiting.pop();
        let last = submission.waiting.is_empty();
        row.queue.take(submission.team, submission.rank, last);
        submission.tasks[task as usize].queued = false;
        let agent = row.pool.lanes[lane].agent;
        let start = self.send(now, index, task, lane);
        self.refresh(now, agent);
        Some((agent, start))
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
        let agent = lane_row.agent;
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
        let work = &submission.work;
        TaskStart {
            key,
            origin: work.origin,
            service: work.service.clone(),
            remaining: now.until(work.deadline),
            idempotent: Self::repeatable(submission),
            media: work.media.clone(),
            body: work.bodies[task as usize].clone(),
        }
    }
}
