//! How tasks end, and what the entry that asked for them is told.

use chervilring_wire::{
    AgentMessage, EntryId, Failure, Micros, Reason, TaskAnswer, TaskKey, TaskOutcome, TaskOutput,
    Time, Verdict,
};

use super::queue::Waiting;
use super::state::{Agent, Running};
use super::step::{AgentStep, CallEnd};

/// The first HTTP status that says that the upstream failed.
const FIRST_FAILURE: u16 = 500;

impl Agent {
    /// Frees the slot of a call that ended, and answers unless that was done before.
    pub(super) fn finish(&mut self, now: Time, key: TaskKey, end: CallEnd) {
        let Some(running) = self.running.remove(&key) else {
            return;
        };
        let run = now.duration_since(running.since);
        if matches!(end, CallEnd::Answer { .. }) {
            self.upstream.learn(&running.service, run);
        }
        if matches!(end, CallEnd::NotSent | CallEnd::Refused { .. }) {
            self.started.take_back(key, running.before);
        }
        if matches!(end, CallEnd::NotSent) {
            self.upstream.lose(now);
        }
        if running.answered {
            self.tell_load();
            return;
        }
        let outcome = outcome(end);
        match outcome {
            TaskOutcome::Done(_) => self.counters.done += 1,
            TaskOutcome::Failed(_) => self.counters.failed += 1,
        }
        self.answer_running(&running, key, outcome, run);
    }

    /// Answers for tasks that run past their deadline; their slots stay in use.
    pub(super) fn expire_running(&mut self, now: Time) {
        let running = self.running.iter();
        let late: Vec<_> = running
            .filter(|(_, r)| !r.answered && r.deadline <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            self.give_up(now, key, Reason::Deadline);
        }
    }

    /// Refuses queued tasks that are past their deadline.
    pub(super) fn expire_queue(&mut self, now: Time) {
        for task in self.queue.extract(|w| w.deadline <= now) {
            self.refuse(&task.from, task.key, Reason::Deadline, None);
        }
    }

    /// Refuses all that waits, since no work is taken.
    pub(super) fn refuse_waiting(&mut self) {
        let reason = self.closed().unwrap_or(Reason::Unavailable);
        for task in self.queue.extract(|_| true) {
            self.refuse(&task.from, task.key, reason, None);
        }
        for held in std::mem::take(&mut self.held) {
            self.refuse_held(&held, reason);
        }
    }

    /// Cancels tasks that this entry asked for.
    pub(super) fn cancel(&mut self, now: Time, from: &EntryId, keys: &[TaskKey]) {
        let chosen = |w: &Waiting| w.from == *from && keys.contains(&w.key);
        for task in self.queue.extract(chosen) {
            self.counters.cancelled += 1;
            self.refuse(from, task.key, Reason::Cancelled, None);
        }
        for &key in keys {
            self.cancel_held(from, key);
            let running = self.running.get(&key);
            if running.is_some_and(|r| r.from == *from && !r.answered) {
                self.counters.cancelled += 1;
                self.give_up(now, key, Reason::Cancelled);
            }
        }
    }

    /// Takes a task out of the starts that wait for a newer ring.
    fn cancel_held(&mut self, from: &EntryId, key: TaskKey) {
        let mut held = self.held.iter_mut().filter(|h| h.from == *from);
        let found = held.find_map(|h| {
            let place = h.batch.tasks.iter().position(|t| t.key == key)?;
            Some(h.batch.tasks.remove(place))
        });
        if let Some(task) = found {
            self.counters.cancelled += 1;
            self.refuse_task(from, &task, Reason::Cancelled);
        }
    }

    /// Answers for a running task before its call has ended.
    fn give_up(&mut self, now: Time, key: TaskKey, reason: Reason) {
        let Some(mut running) = self.running.remove(&key) else {
            return;
        };
        running.answered = true;
        self.counters.failed += 1;
        self.steps.push(AgentStep::Abort(key));
        let failure = Failure {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after: None,
        };
        let run = now.duration_since(running.since);
        self.answer_running(&running, key, TaskOutcome::Failed(failure), run);
        self.running.insert(key, running);
    }

    /// Answers a start of a task that has started before: with the answer that is still kept, or
    /// by saying that it may have run.
    pub(super) fn answer_repeated(&mut self, to: &EntryId, key: TaskKey) {
        self.counters.repeated += 1;
        if self.outbox.holds(to, key) {
            self.outbox.resend(to, key);
            return;
        }
        let reason = Reason::AnswerGone;
        let failure = Failure {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after: None,
        };
        self.answer_failure(to, key, failure);
    }

    /// Answers for a task that no slot was used for.
    pub(super) fn answer_failure(&mut self, to: &EntryId, key: TaskKey, failure: Failure) {
        let answer = TaskAnswer {
            key,
            outcome: TaskOutcome::Failed(failure),
            run_time: Micros::default(),
            waited: Micros::default(),
            load: self.load(),
        };
        self.answer(to, answer);
    }

    fn answer_running(
        &mut self,
        running: &Running,
        key: TaskKey,
        outcome: TaskOutcome,
        run: Micros,
    ) {
        let waited = running.waited;
        let answer = TaskAnswer {
            key,
            outcome,
            run_time: run,
            waited,
            load: self.load(),
        };
        self.answer(&running.from, answer);
    }

    /// Keeps an answer for its entry, unless that life of the entry is over.
    fn answer(&mut self, to: &EntryId, answer: TaskAnswer) {
        if self.link_mut(to).is_some() {
            self.outbox.add(to, answer);
        }
    }

    /// Tells all linked entries of a slot that became free without an answer.
    fn tell_load(&mut self) {
        let message = AgentMessage::Load(self.load());
        for to in self.linked() {
            self.steps.push(AgentStep::Entry {
                to,
                message: message.clone(),
            });
        }
    }
}

/// Returns what a call's end means for the task.
fn outcome(end: CallEnd) -> TaskOutcome {
    let (verdict, reason, retry) = match end {
        CallEnd::Answer {
            status,
            media,
            body,
        } if status < FIRST_FAILURE => {
            return TaskOutcome::Done(TaskOutput {
                status,
                media,
                body,
            });
        }
        CallEnd::Answer { .. } => (Verdict::Ran, Reason::UpstreamFailed, None),
        CallEnd::Refused { retry } => (Verdict::NotRun, Reason::Busy, retry),
        CallEnd::NotSent => (Verdict::NotRun, Reason::UpstreamLost, None),
        CallEnd::Broken => (Verdict::MayHaveRun, Reason::UpstreamLost, None),
        CallEnd::TooLarge => (Verdict::Ran, Reason::TooLarge, None),
        CallEnd::TimedOut => (Verdict::MayHaveRun, Reason::Deadline, None),
        CallEnd::Aborted => (Verdict::MayHaveRun, Reason::Cancelled, None),
    };
    TaskOutcome::Failed(Failure {
        verdict,
        reason,
        retry_after: retry,
    })
}
