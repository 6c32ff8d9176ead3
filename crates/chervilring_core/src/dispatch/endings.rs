//! The system that takes in answers and ends submissions.

use chervilring_wire::{
    AgentId, AgentState, Failure, Micros, Reason, TaskAnswer, TaskKey, TaskOutcome, Time, Verdict,
};

use super::attempts::Attempt;
use super::dispatcher::Dispatcher;
use super::submissions::Submission;
use super::work::Step;

/// How long an attempt that nobody waits for is remembered.
const ORPHAN_SPAN: Micros = Micros::from_secs(2);

/// How much a new round trip counts against the known one.
const TRIP_SHARE: f64 = 0.125;

/// How often a task is refused by agents before it is given up.
const MAX_BOUNCES: u32 = 20;

/// How long an agent gets no new work after a refusal that does not say.
const PAUSE: Micros = Micros::from_millis(5);

/// How long an agent gets no new work after a refusal, at least.
const SHORTEST_PAUSE: Micros = Micros::from_millis(1);

/// How long an agent gets no new work after a refusal, at most.
const LONGEST_PAUSE: Micros = Micros::from_millis(500);

/// How many times its expected span an attempt that ran into its deadline must have taken for the
/// upstream to be blamed.
const OVERDUE: f64 = 6.0;

impl Dispatcher {
    /// Takes in answers of an agent.
    pub fn answers(&mut self, now: Time, agent: &AgentId, answers: Vec<TaskAnswer>) {
        let Some(agent) = self.agents.find(agent) else {
            return;
        };
        self.agents.rows[agent].heard = now;
        let mut load = None;
        for answer in answers {
            load = Some(answer.load);
            self.answer(now, agent, answer);
        }
        let row = &mut self.agents.rows[agent];
        if let Some(load) = load {
            row.load = load;
            row.others = (load.running + load.waiting).saturating_sub(row.own);
        }
        self.refresh(now, agent);
    }

    fn answer(&mut self, now: Time, agent: usize, answer: TaskAnswer) {
        let known = self.attempts.get(&answer.key).copied();
        let Some(attempt) = known.filter(|a| a.agent == agent) else {
            self.counters.late += 1;
            return;
        };
        self.forget(answer.key, &attempt);
        let Some(index) = attempt.submission else {
            self.counters.late += 1;
            let lane = &mut self.services[attempt.service].pool.lanes[attempt.lane];
            lane.health.end_trial();
            return;
        };
        match answer.outcome {
            TaskOutcome::Done(output) => {
                let spent = Micros(answer.run_time.0 + answer.waited.0);
                let trip = now.duration_since(attempt.sent).0.saturating_sub(spent.0);
                self.learn(now, &attempt, answer.run_time, trip as f64);
                let Some(submission) = self.submissions.get_mut(index) else {
                    return;
                };
                submission.verdict = Verdict::Ran;
                if answer.key.attempt.0 > 0 && submission.live > 0 {
                    self.counters.rescued += 1;
                }
                let task = &mut submission.tasks[answer.key.index.0 as usize];
                task.output = Some(output);
                submission.done += 1;
                if submission.done as usize == submission.tasks.len() {
                    self.complete(now, index);
                }
            }
            TaskOutcome::Failed(failure) => {
                self.blame(now, &attempt, &failure);
                self.fail_attempt(now, index, answer.key, &attempt, &failure);
            }
        }
    }

    /// Learns from an answer how fast the upstream is and how far away.
    fn learn(&mut self, now: Time, attempt: &Attempt, run: Micros, trip: f64) {
        let row = &mut self.agents.rows[attempt.agent];
        row.trip += (trip - row.trip) * TRIP_SHARE;
        let pool = &mut self.services[attempt.service].pool;
        let lane = &mut pool.lanes[attempt.lane];
        lane.speed
            .learn(&mut pool.speed, &mut row.speed, run.0 as f64);
        if lane.health.answered(now, &mut pool.failures) {
            self.restore(now, attempt.service, attempt.lane);
        }
    }

    /// Deals with an attempt that did not bring an answer.
    pub(crate) fn fail_attempt(
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
        let repeatable = Self::repeatable(submission);
        let task = &mut submission.tasks[key.index.0 as usize];
        if task.live > 0 {
            // Another attempt at it is running.
            return;
        }
        if failure.verdict == Verdict::NotRun {
            task.bounces += 1;
            if failure.reason == Reason::Deadline || task.bounces > MAX_BOUNCES {
                self.give_up(now, index, failure.reason, failure.retry_after);
                return;
            }
            self.requeue(index, key.index.0);
            return;
        }
        let again = repeatable && is_passing(failure.reason);
        let row = &mut self.services[attempt.service];
        if again && row.retries.spend(row.service.rules.retry_percent) {
            self.counters.retried += 1;
            self.requeue(index, key.index.0);
            return;
        }
        self.give_up(now, index, failure.reason, failure.retry_after);
    }

    /// Notes what a failed attempt says of the upstream.
    pub(crate) fn blame(&mut self, now: Time, attempt: &Attempt, failure: &Failure) {
        let row = &mut self.agents.rows[attempt.agent];
        if failure.verdict == Verdict::NotRun {
            self.counters.bounced += 1;
            let pause = failure
                .retry_after
                .unwrap_or(PAUSE)
                .clamp(SHORTEST_PAUSE, LONGEST_PAUSE);
            match failure.reason {
                Reason::Leaving => row.state = AgentState::Leaving,
                Reason::Unavailable => row.state = AgentState::Down,
                Reason::Cancelled | Reason::Deadline => return,
                _ => row.closed = row.closed.max(now + pause),
            }
            self.sweep_at = self.sweep_at.min(row.closed.max(now));
            let lane = &mut self.services[attempt.service].pool.lanes[attempt.lane];
            lane.health.end_trial();
            return;
        }
        let slots = row.load.slots;
        let pool = &mut self.services[attempt.service].pool;
        let lane = &mut pool.lanes[attempt.lane];
        let overdue = now.duration_since(attempt.sent).0 as f64 > lane.span * OVERDUE;
        let bad = match failure.reason {
            Reason::UpstreamFailed | Reason::UpstreamLost => true,
            Reason::Deadline => overdue,
            _ => false,
        };
        if !bad {
            lane.health.end_trial();
            return;
        }
        if lane.health.failed(now, slots, &mut pool.failures) {
            self.eject(now, attempt.service, attempt.lane);
        }
    }

    /// Takes a lane out, unless too many are out already.
    pub(crate) fn eject(&mut self, now: Time, service: usize, lane: usize) {
        let pool = &mut self.services[service].pool;
        let most = pool.len() * self.settings.ejected_percent as usize / 100;
        if pool.out.len() >= most {
            return;
        }
        pool.out.push(lane);
        pool.lanes[lane].health.put_out(now);
        self.counters.ejected += 1;
        let agent = pool.lanes[lane].agent;
        self.refresh(now, agent);
    }

    /// Takes a lane back in.
    pub(crate) fn restore(&mut self, now: Time, service: usize, lane: usize) {
        let pool = &mut self.services[service].pool;
        pool.out.retain(|&l| l != lane);
        self.counters.restored += 1;
        let agent = pool.lanes[lane].agent;
        self.refresh(now, agent);
    }

    /// Puts a task back in the queue, in its submission's old place.
    pub(crate) fn requeue(&mut self, index: usize, task: u32) {
        let Some(submission) = self.submissions.get_mut(index) else {
            return;
        };
        submission.waiting.push(task);
        let (team, rank) = (submission.team, submission.rank);
        let queue = &mut self.services[submission.service].queue;
        queue.add(team, rank, index, 1);
    }

    /// Takes an attempt out of the tables.
    pub(crate) fn forget(&mut self, key: TaskKey, attempt: &Attempt) {
        self.attempts.remove(&key);
        let lane = &mut self.services[attempt.service].pool.lanes[attempt.lane];
        lane.own -= 1;
        self.agents.rows[attempt.agent].own -= 1;
        let submission = attempt.submission.and_then(|i| self.submissions.get_mut(i));
        if let Some(submission) = submission {
            submission.live -= 1;
            submission.tasks[key.index.0 as usize].live -= 1;
        }
    }

    /// Ends a submission with the outputs of all of its tasks.
    pub(crate) fn complete(&mut self, now: Time, index: usize) {
        let Some(submission) = self.submissions.remove(index) else {
            return;
        };
        self.counters.completed += 1;
        self.bytes -= submission.work.bytes();
        self.drop_all(now, &submission);
        self.deadlines.remove(&(submission.work.deadline, index));
        let outputs = submission.tasks.into_iter().filter_map(|t| t.output);
        self.steps.push(Step::Ended {
            id: submission.work.id,
            result: Ok(outputs.collect()),
        });
    }

    /// Ends a submission with a failure and drops what is left of it.
    pub(crate) fn give_up(
        &mut self,
        now: Time,
        index: usize,
        reason: Reason,
        retry: Option<Micros>,
    ) {
        let Some(submission) = self.submissions.remove(index) else {
            return;
        };
        self.counters.failed += 1;
        self.deadlines.remove(&(submission.work.deadline, index));
        let verdict = submission.verdict_now();
        let queue = &mut self.services[submission.service].queue;
        queue.remove(submission.team, submission.rank, submission.waiting.len());
        self.bytes -= submission.work.bytes();
        self.drop_all(now, &submission);
        self.steps.push(Step::Ended {
            id: submission.work.id,
            result: Err(Failure {
                verdict,
                reason,
                retry_after: retry,
            }),
        });
    }

    /// Asks agents to drop what is left of a submission.
    fn drop_all(&mut self, now: Time, submission: &Submission) {
        if submission.live == 0 {
            return;
        }
        for (place, task) in submission.tasks.iter().enumerate() {
            if task.live > 0 {
                self.drop_attempts(now, submission.work.id, place as u32, task.tries);
            }
        }
    }

    /// Asks agents to drop the attempts at a task that are still there.
    pub(crate) fn drop_attempts(
        &mut self,
        now: Time,
        submission: chervilring_wire::SubmissionId,
        task: u32,
        tries: u32,
    ) {
        for number in 0..tries {
            let key = TaskKey {
                submission,
                index: chervilring_wire::TaskIndex(task),
                attempt: chervilring_wire::Attempt(number),
            };
            let Some(attempt) = self.attempts.get_mut(&key) else {
                continue;
            };
            attempt.submission = None;
            attempt.expiry = now + ORPHAN_SPAN;
            self.counters.dropped += 1;
            self.cancels.entry(attempt.agent).or_default().push(key);
        }
    }

    /// Turns the collected cancellations into one step for each agent.
    pub(crate) fn flush_cancels(&mut self) {
        let mut cancels: Vec<_> = self.cancels.drain().collect();
        cancels.sort_unstable_by_key(|c| c.0);
        for (agent, keys) in cancels {
            let agent = self.agents.rows[agent].id.clone();
            self.steps.push(Step::Cancel { agent, keys });
        }
    }
}

/// Returns whether another attempt may fare better.
fn is_passing(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::UpstreamFailed | Reason::UpstreamLost | Reason::AnswerGone
    )
}
