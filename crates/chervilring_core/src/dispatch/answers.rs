//! The system that handles answers and ends submissions.

use chervilring_wire::{
    AgentId, AgentState, Failure, Micros, Reason, TaskAnswer, TaskKey, TaskOutcome, Time, Verdict,
};

use super::attempts::Attempt;
use super::dispatcher::Dispatcher;
use super::submissions::Submission;
use super::work::Step;

/// Time after which an attempt whose answer is no longer needed is removed.
const ABANDONED_TIMEOUT: Micros = Micros::from_secs(2);

/// Weight of a new round trip in the moving average.
const ROUND_TRIP_WEIGHT: f64 = 0.125;

/// Refusals by agents after which a task fails.
const MAX_REFUSALS: u32 = 20;

/// Pause in new work for an agent after a refusal that names no delay.
const DEFAULT_PAUSE: Micros = Micros::from_millis(5);

/// Shortest pause in new work for an agent after a refusal.
const MIN_PAUSE: Micros = Micros::from_millis(1);

/// Longest pause in new work for an agent after a refusal.
const MAX_PAUSE: Micros = Micros::from_millis(500);

/// Multiple of its expected latency from which an attempt that reached its deadline counts as a
/// failure of the upstream.
const OVERDUE_FACTOR: f64 = 6.0;

impl Dispatcher {
    /// Handles answers of an agent.
    pub fn handle_answers(&mut self, now: Time, agent: &AgentId, answers: Vec<TaskAnswer>) {
        let Some(agent) = self.agents.find(agent) else {
            return;
        };
        self.agents.rows[agent].last_heard = now;
        let mut load = None;
        for answer in answers {
            load = Some(answer.load);
            self.handle_answer(now, agent, answer);
        }
        let row = &mut self.agents.rows[agent];
        if let Some(load) = load {
            row.load = load;
            row.other_attempts = (load.running + load.waiting).saturating_sub(row.own_attempts);
        }
        self.refresh_lanes(now, agent);
    }

    fn handle_answer(&mut self, now: Time, agent: usize, answer: TaskAnswer) {
        let known = self.attempts.get(&answer.key).copied();
        let Some(attempt) = known.filter(|a| a.agent == agent) else {
            self.counters.late_answers += 1;
            return;
        };
        self.remove_attempt(answer.key, &attempt);
        let Some(index) = attempt.submission else {
            self.counters.late_answers += 1;
            let lane = &mut self.services[attempt.service].pool.lanes[attempt.lane];
            lane.health.end_trial();
            return;
        };
        match answer.outcome {
            TaskOutcome::Done(output) => {
                let agent_time = Micros(answer.run_time.0 + answer.waited.0);
                let round_trip = now
                    .duration_since(attempt.sent_at)
                    .0
                    .saturating_sub(agent_time.0);
                self.record_success(now, &attempt, answer.run_time, round_trip as f64);
                let Some(submission) = self.submissions.get_mut(index) else {
                    return;
                };
                submission.verdict = Verdict::Ran;
                if answer.key.attempt.0 > 0 && submission.active > 0 {
                    self.counters.hedge_wins += 1;
                }
                let task = &mut submission.tasks[answer.key.index.0 as usize];
                task.output = Some(output);
                submission.completed += 1;
                if submission.completed as usize == submission.tasks.len() {
                    self.complete_submission(now, index);
                }
            }
            TaskOutcome::Failed(failure) => {
                self.record_failure(now, &attempt, &failure);
                self.handle_failed_attempt(now, index, answer.key, &attempt, &failure);
            }
        }
    }

    /// Updates the run times, the round trip and the health of a lane after an answer.
    fn record_success(&mut self, now: Time, attempt: &Attempt, run_time: Micros, round_trip: f64) {
        let row = &mut self.agents.rows[attempt.agent];
        row.round_trip += (round_trip - row.round_trip) * ROUND_TRIP_WEIGHT;
        let pool = &mut self.services[attempt.service].pool;
        let lane = &mut pool.lanes[attempt.lane];
        lane.speed
            .record(&mut pool.speed, &mut row.speed, run_time.0 as f64);
        if lane.health.record_success(now, &mut pool.failures) {
            self.restore_lane(now, attempt.service, attempt.lane);
        }
    }

    /// Requeues a task or fails its submission after an attempt that brought no output.
    pub(crate) fn handle_failed_attempt(
        &mut self,
        now: Time,
        index: usize,
        key: TaskKey,
        attempt: &Attempt,
        failure: &Failure,
    ) {
        let Some(submission) = self.submissions.get_mut(index) else {
            return;
        };
        submission.verdict = submission.verdict.max(failure.verdict);
        let retryable = Self::is_retryable(submission);
        let task = &mut submission.tasks[key.index.0 as usize];
        if task.active > 0 {
            // Another attempt at the task is in flight.
            return;
        }
        if failure.verdict == Verdict::NotRun {
            task.refusals += 1;
            if failure.reason == Reason::Deadline || task.refusals > MAX_REFUSALS {
                self.fail_submission(now, index, failure.reason, failure.retry_after);
                return;
            }
            self.requeue_task(index, key.index.0);
            return;
        }
        let may_retry = retryable && is_transient(failure.reason);
        let row = &mut self.services[attempt.service];
        if may_retry
            && row
                .retry_budget
                .try_withdraw(row.service.rules.retry_percent)
        {
            self.counters.retried += 1;
            self.requeue_task(index, key.index.0);
            return;
        }
        self.fail_submission(now, index, failure.reason, failure.retry_after);
    }

    /// Updates the health of a lane, or pauses its agent, after a failed attempt.
    pub(crate) fn record_failure(&mut self, now: Time, attempt: &Attempt, failure: &Failure) {
        let row = &mut self.agents.rows[attempt.agent];
        if failure.verdict == Verdict::NotRun {
            self.counters.refused_attempts += 1;
            let pause = failure
                .retry_after
                .unwrap_or(DEFAULT_PAUSE)
                .clamp(MIN_PAUSE, MAX_PAUSE);
            match failure.reason {
                Reason::Leaving => row.state = AgentState::Leaving,
                Reason::Unavailable => row.state = AgentState::Down,
                Reason::Cancelled | Reason::Deadline => return,
                _ => row.paused_until = row.paused_until.max(now + pause),
            }
            self.sweep_at = self.sweep_at.min(row.paused_until.max(now));
            let lane = &mut self.services[attempt.service].pool.lanes[attempt.lane];
            lane.health.end_trial();
            return;
        }
        let slots = row.load.slots;
        let pool = &mut self.services[attempt.service].pool;
        let lane = &mut pool.lanes[attempt.lane];
        let overdue = now.duration_since(attempt.sent_at).0 as f64 > lane.latency * OVERDUE_FACTOR;
        let at_fault = match failure.reason {
            Reason::UpstreamFailed | Reason::UpstreamLost => true,
            Reason::Deadline => overdue,
            _ => false,
        };
        if !at_fault {
            lane.health.end_trial();
            return;
        }
        if lane.health.record_failure(now, slots, &mut pool.failures) {
            self.eject_lane(now, attempt.service, attempt.lane);
        }
    }

    /// Ejects a lane, unless the allowed share of lanes is ejected already.
    pub(crate) fn eject_lane(&mut self, now: Time, service: usize, lane: usize) {
        let pool = &mut self.services[service].pool;
        let max_ejected = pool.len() * self.settings.ejected_percent as usize / 100;
        if pool.ejected.len() >= max_ejected {
            return;
        }
        pool.ejected.push(lane);
        pool.lanes[lane].health.eject(now);
        self.counters.ejected += 1;
        let agent = pool.lanes[lane].agent;
        self.refresh_lanes(now, agent);
    }

    /// Restores an ejected lane.
    pub(crate) fn restore_lane(&mut self, now: Time, service: usize, lane: usize) {
        let pool = &mut self.services[service].pool;
        pool.ejected.retain(|&l| l != lane);
        self.counters.restored += 1;
        let agent = pool.lanes[lane].agent;
        self.refresh_lanes(now, agent);
    }

    /// Returns a task to the queue, at the original rank of its submission.
    pub(crate) fn requeue_task(&mut self, index: usize, task: u32) {
        let Some(submission) = self.submissions.get_mut(index) else {
            return;
        };
        submission.queued.push(task);
        let (team, rank) = (submission.team, submission.rank);
        let queue = &mut self.services[submission.service].queue;
        queue.add(team, rank, index, 1);
    }

    /// Removes an attempt from the tables.
    pub(crate) fn remove_attempt(&mut self, key: TaskKey, attempt: &Attempt) {
        self.attempts.remove(&key);
        let lane = &mut self.services[attempt.service].pool.lanes[attempt.lane];
        lane.own_attempts -= 1;
        self.agents.rows[attempt.agent].own_attempts -= 1;
        let submission = attempt.submission.and_then(|i| self.submissions.get_mut(i));
        if let Some(submission) = submission {
            submission.active -= 1;
            submission.tasks[key.index.0 as usize].active -= 1;
        }
    }

    /// Ends a submission with the outputs of all of its tasks.
    pub(crate) fn complete_submission(&mut self, now: Time, index: usize) {
        let Some(submission) = self.submissions.remove(index) else {
            return;
        };
        self.counters.completed += 1;
        self.body_bytes -= submission.work.bytes();
        self.cancel_attempts(now, &submission);
        self.deadlines.remove(&(submission.work.deadline, index));
        let outputs = submission.tasks.into_iter().filter_map(|t| t.output);
        self.steps.push(Step::Ended {
            id: submission.work.id,
            result: Ok(outputs.collect()),
        });
    }

    /// Ends a submission with a failure and cancels its remaining attempts.
    pub(crate) fn fail_submission(
        &mut self,
        now: Time,
        index: usize,
        reason: Reason,
        retry_after: Option<Micros>,
    ) {
        let Some(submission) = self.submissions.remove(index) else {
            return;
        };
        self.counters.failed += 1;
        self.deadlines.remove(&(submission.work.deadline, index));
        let verdict = submission.failure_verdict();
        let queue = &mut self.services[submission.service].queue;
        queue.remove_submission(submission.team, submission.rank, submission.queued.len());
        self.body_bytes -= submission.work.bytes();
        self.cancel_attempts(now, &submission);
        self.steps.push(Step::Ended {
            id: submission.work.id,
            result: Err(Failure {
                verdict,
                reason,
                retry_after,
            }),
        });
    }

    /// Cancels all remaining attempts of a submission.
    fn cancel_attempts(&mut self, now: Time, submission: &Submission) {
        if submission.active == 0 {
            return;
        }
        for (position, task) in submission.tasks.iter().enumerate() {
            if task.active > 0 {
                self.cancel_task_attempts(now, submission.work.id, position as u32, task.attempts);
            }
        }
    }

    /// Cancels the attempts at a task that are still in flight.
    pub(crate) fn cancel_task_attempts(
        &mut self,
        now: Time,
        submission: chervilring_wire::SubmissionId,
        task: u32,
        attempts: u32,
    ) {
        for number in 0..attempts {
            let key = TaskKey {
                submission,
                index: chervilring_wire::TaskIndex(task),
                attempt: chervilring_wire::Attempt(number),
            };
            let Some(attempt) = self.attempts.get_mut(&key) else {
                continue;
            };
            attempt.submission = None;
            attempt.expiry = now + ABANDONED_TIMEOUT;
            self.counters.cancelled_attempts += 1;
            self.cancels.entry(attempt.agent).or_default().push(key);
        }
    }

    /// Turns the collected cancellations into one step per agent.
    pub(crate) fn flush_cancels(&mut self) {
        let mut cancels: Vec<_> = self.cancels.drain().collect();
        cancels.sort_unstable_by_key(|c| c.0);
        for (agent, keys) in cancels {
            let agent = self.agents.rows[agent].id.clone();
            self.steps.push(Step::Cancel { agent, keys });
        }
    }
}

/// Returns whether another attempt may succeed.
fn is_transient(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::UpstreamFailed | Reason::UpstreamLost | Reason::AnswerGone
    )
}
