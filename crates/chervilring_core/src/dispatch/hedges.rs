//! The system that sends second attempts beside stragglers.

use chervilring_wire::{Micros, TaskKey, TaskStart, Time};

use super::attempts::Attempt;
use super::dispatcher::Dispatcher;
use super::policy::Ask;

/// How many times its expected span an attempt may take before it is hedged.
const OVERDUE: f64 = 3.0;

/// A second attempt must be on an upstream that takes at most this share of the first one's span.
const FASTER: f64 = 0.5;

/// How long a hedge that finds no upstream waits.
const AGAIN: Micros = Micros::from_millis(50);

impl Dispatcher {
    /// Notes when an attempt will be overdue.
    pub(crate) fn plan_hedge(&mut self, now: Time, key: TaskKey, span: f64) {
        let due = now + Micros((span * OVERDUE) as u64);
        self.hedges.insert((due, key));
    }

    /// Has all that can be repeated at an agent hedged at once.
    pub(crate) fn hedge_all(&mut self, now: Time, agent: usize) {
        let there = self.attempts.iter().filter(|(_, a)| a.agent == agent);
        let keys: Vec<TaskKey> = there.map(|(key, _)| *key).collect();
        self.hedges.extend(keys.into_iter().map(|key| (now, key)));
    }

    /// Sends second attempts beside those that are overdue.
    pub(crate) fn hedge(&mut self, now: Time, batches: &mut Vec<(usize, Vec<TaskStart>)>) {
        while let Some(&(due, key)) = self.hedges.first()
            && due <= now
        {
            self.hedges.pop_first();
            let Some(attempt) = self.attempts.get(&key).copied() else {
                continue;
            };
            if let Some((agent, start)) = self.hedge_one(now, key, &attempt) {
                super::starts::batch(batches, agent, start);
            }
        }
    }

    fn hedge_one(
        &mut self,
        now: Time,
        key: TaskKey,
        attempt: &Attempt,
    ) -> Option<(usize, TaskStart)> {
        let index = attempt.submission?;
        let submission = self.submissions.get(index)?;
        let task = key.index.0;
        if !Self::repeatable(submission) || submission.tasks[task as usize].live != 1 {
            return None;
        }
        let row = &self.services[attempt.service];
        let percent = row.service.rules.hedge_percent;
        if percent == 0 {
            return None;
        }
        let ask = Ask {
            queued: usize::MAX,
            avoid: Some(attempt.agent),
        };
        let first = &row.pool.lanes[attempt.lane];
        let pick = row
            .pool
            .earliest(ask)
            .filter(|pick| !first.usable || row.pool.lanes[pick.lane].span <= first.span * FASTER);
        let Some(pick) = pick else {
            self.hedges.insert((now + AGAIN, key));
            return None;
        };
        if !self.services[attempt.service].hedges.spend(percent) {
            return None;
        }
        self.counters.hedged += 1;
        let agent = self.services[attempt.service].pool.lanes[pick.lane].agent;
        let start = self.send(now, index, task, pick.lane);
        self.refresh(now, agent);
        Some((agent, start))
    }
}
