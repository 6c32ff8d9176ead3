//! The system that hedges slow attempts of idempotent requests.

use chervilring_wire::{Micros, TaskKey, TaskStart, Time};

use super::attempts::Attempt;
use super::dispatcher::Dispatcher;
use super::policy::PickRequest;

/// Multiple of its expected latency after which an attempt is hedged.
const OVERDUE_FACTOR: f64 = 3.0;

/// Largest latency of a hedge's lane, as a share of the first lane's latency.
const MAX_HEDGE_RATIO: f64 = 0.5;

/// Delay until a hedge that found no upstream is tried again.
const HEDGE_RETRY: Micros = Micros::from_millis(50);

impl Dispatcher {
    /// Schedules the hedge of an attempt for when it becomes overdue.
    pub(crate) fn schedule_hedge(&mut self, now: Time, key: TaskKey, latency: f64) {
        let due = now + Micros((latency * OVERDUE_FACTOR) as u64);
        self.hedge_deadlines.insert((due, key));
    }

    /// Makes all attempts at an agent due for a hedge at once.
    pub(crate) fn hedge_agent(&mut self, now: Time, agent: usize) {
        let attempts = self.attempts.iter().filter(|(_, a)| a.agent == agent);
        let keys: Vec<TaskKey> = attempts.map(|(key, _)| *key).collect();
        self.hedge_deadlines
            .extend(keys.into_iter().map(|key| (now, key)));
    }

    /// Sends second attempts for those that are due.
    pub(crate) fn send_hedges(&mut self, now: Time, batches: &mut Vec<(usize, Vec<TaskStart>)>) {
        while let Some(&(due, key)) = self.hedge_deadlines.first()
            && due <= now
        {
            self.hedge_deadlines.pop_first();
            let Some(attempt) = self.attempts.get(&key).copied() else {
                continue;
            };
            if let Some((agent, start)) = self.try_hedge(now, key, &attempt) {
                super::starts::add_to_batch(batches, agent, start);
            }
        }
    }

    fn try_hedge(
        &mut self,
        now: Time,
        key: TaskKey,
        attempt: &Attempt,
    ) -> Option<(usize, TaskStart)> {
        let index = attempt.submission?;
        let submission = self.submissions.get(index)?;
        let task = key.index.0;
        if !Self::is_retryable(submission) || submission.tasks[task as usize].active != 1 {
            return None;
        }
        let row = &self.services[attempt.service];
        let percent = row.service.rules.hedge_percent;
        if percent == 0 {
            return None;
        }
        let request = PickRequest {
            queued: usize::MAX,
            avoid: Some(attempt.agent),
        };
        let first = &row.pool.lanes[attempt.lane];
        let pick = row.pool.earliest_finish(request).filter(|pick| {
            !first.usable || row.pool.lanes[pick.lane].latency <= first.latency * MAX_HEDGE_RATIO
        });
        let Some(pick) = pick else {
            self.hedge_deadlines.insert((now + HEDGE_RETRY, key));
            return None;
        };
        if !self.services[attempt.service]
            .hedge_budget
            .try_withdraw(percent)
        {
            return None;
        }
        self.counters.hedged += 1;
        let agent = self.services[attempt.service].pool.lanes[pick.lane].agent;
        let start = self.create_attempt(now, index, task, pick.lane);
        self.refresh_lanes(now, agent);
        Some((agent, start))
    }
}
