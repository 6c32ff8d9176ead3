//! The ends of tasks: frees slots, and answers the entries that requested the starts.

use chervilring_wire::{
    AgentMessage, EntryId, Failure, Micros, Reason, TaskAnswer, TaskKey, TaskOutcome, TaskOutput,
    Time, Verdict,
};

use super::queue::QueuedTask;
use super::state::{Agent, RunningTask};
use super::step::{AgentStep, CallEnd};

/// The lowest HTTP status that counts as a failure of the upstream.
const MIN_FAILURE_STATUS: u16 = 500;

impl Agent {
    /// Frees the slot of a call that ended, and answers the entry unless it has its answer already.
    pub(super) fn finish_call(&mut self, now: Time, key: TaskKey, end: CallEnd) {
        let Some(running) = self.running.remove(&key) else {
            return;
        };
        let run_time = now.duration_since(running.started_at);
        if matches!(end, CallEnd::Answer { .. }) {
            self.upstream.record_run_time(&running.service, run_time);
        }
        if matches!(end, CallEnd::NotSent | CallEnd::Refused { .. }) {
            self.start_table.undo(key, running.previous_attempt);
        }
        if matches!(end, CallEnd::NotSent) {
            self.upstream.mark_down(now);
        }
        if running.answered {
            self.send_load();
            return;
        }
        let outcome = task_outcome(end);
        match outcome {
            TaskOutcome::Done(_) => self.counters.done += 1,
            TaskOutcome::Failed(_) => self.counters.failed += 1,
        }
        self.answer_running(&running, key, outcome, run_time);
    }

    /// Aborts and answers running tasks whose deadline has passed; their slots stay in use until
    /// their calls end.
    pub(super) fn expire_running(&mut self, now: Time) {
        let running = self.running.iter();
        let expired: Vec<_> = running
            .filter(|(_, r)| !r.answered && r.deadline <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.abort_running(now, key, Reason::Deadline);
        }
    }

    /// Refuses queued tasks whose deadline has passed.
    pub(super) fn expire_queue(&mut self, now: Time) {
        for task in self.queue.extract(|t| t.deadline <= now) {
            self.refuse(&task.from, task.key, Reason::Deadline, None);
        }
    }

    /// Refuses all queued tasks and deferred starts, because no work is accepted any more.
    pub(super) fn refuse_all_waiting(&mut self) {
        let reason = self.unavailable_reason().unwrap_or(Reason::Unavailable);
        for task in self.queue.extract(|_| true) {
            self.refuse(&task.from, task.key, reason, None);
        }
        for batch in std::mem::take(&mut self.deferred) {
            self.refuse_deferred(&batch, reason);
        }
    }

    /// Cancels tasks whose start this entry requested.
    pub(super) fn cancel(&mut self, now: Time, from: &EntryId, keys: &[TaskKey]) {
        let is_cancelled = |t: &QueuedTask| t.from == *from && keys.contains(&t.key);
        for task in self.queue.extract(is_cancelled) {
            self.counters.cancelled += 1;
            self.refuse(from, task.key, Reason::Cancelled, None);
        }
        for &key in keys {
            self.cancel_deferred(from, key);
            let running = self.running.get(&key);
            if running.is_some_and(|r| r.from == *from && !r.answered) {
                self.counters.cancelled += 1;
                self.abort_running(now, key, Reason::Cancelled);
            }
        }
    }

    /// Cancels a task whose start is deferred until a newer ring is installed.
    fn cancel_deferred(&mut self, from: &EntryId, key: TaskKey) {
        let mut deferred = self.deferred.iter_mut().filter(|d| d.from == *from);
        let found = deferred.find_map(|d| {
            let index = d.batch.tasks.iter().position(|t| t.key == key)?;
            Some(d.batch.tasks.remove(index))
        });
        if let Some(task) = found {
            self.counters.cancelled += 1;
            self.refuse_unless_started(from, &task, Reason::Cancelled);
        }
    }

    /// Aborts the call of a running task and answers without waiting for the call to end.
    fn abort_running(&mut self, now: Time, key: TaskKey, reason: Reason) {
        let Some(mut running) = self.running.remove(&key) else {
            return;
        };
        running.answered = true;
        self.counters.failed += 1;
        self.steps.push(AgentStep::AbortCall(key));
        let failure = Failure {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after: None,
        };
        let run_time = now.duration_since(running.started_at);
        self.answer_running(&running, key, TaskOutcome::Failed(failure), run_time);
        self.running.insert(key, running);
    }

    /// Answers the start of a task that has started before: sends the unacknowledged answer again,
    /// or answers that the task may have run if there is none.
    pub(super) fn answer_repeated(&mut self, to: &EntryId, key: TaskKey) {
        self.counters.repeated += 1;
        if self.outbox.contains(to, key) {
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

    /// Answers a start that did not occupy a slot.
    pub(super) fn answer_failure(&mut self, to: &EntryId, key: TaskKey, failure: Failure) {
        let answer = TaskAnswer {
            key,
            outcome: TaskOutcome::Failed(failure),
            run_time: Micros::default(),
            waited: Micros::default(),
            load: self.load(),
        };
        self.enqueue_answer(to, answer);
    }

    fn answer_running(
        &mut self,
        running: &RunningTask,
        key: TaskKey,
        outcome: TaskOutcome,
        run_time: Micros,
    ) {
        let waited = running.queue_time;
        let answer = TaskAnswer {
            key,
            outcome,
            run_time,
            waited,
            load: self.load(),
        };
        self.enqueue_answer(&running.from, answer);
    }

    /// Adds an answer to the outbox, unless there is no record of a link to that incarnation of the
    /// entry.
    fn enqueue_answer(&mut self, to: &EntryId, answer: TaskAnswer) {
        if self.link_mut(to).is_some() {
            self.outbox.add(to, answer);
        }
    }

    /// Sends the load to all linked entries after a slot became free without an answer.
    fn send_load(&mut self) {
        let message = AgentMessage::Load(self.load());
        for to in self.linked_entries() {
            self.steps.push(AgentStep::SendToEntry {
                to,
                message: message.clone(),
            });
        }
    }
}

/// Maps the end of a call to the outcome of its task.
fn task_outcome(end: CallEnd) -> TaskOutcome {
    let (verdict, reason, retry_after) = match end {
        CallEnd::Answer {
            status,
            media,
            body,
        } if status < MIN_FAILURE_STATUS => {
            return TaskOutcome::Done(TaskOutput {
                status,
                media,
                body,
            });
        }
        CallEnd::Answer { .. } => (Verdict::Ran, Reason::UpstreamFailed, None),
        CallEnd::Refused { retry_after } => (Verdict::NotRun, Reason::Busy, retry_after),
        CallEnd::NotSent => (Verdict::NotRun, Reason::UpstreamLost, None),
        CallEnd::Incomplete => (Verdict::MayHaveRun, Reason::UpstreamLost, None),
        CallEnd::TooLarge => (Verdict::Ran, Reason::TooLarge, None),
        CallEnd::TimedOut => (Verdict::MayHaveRun, Reason::Deadline, None),
        CallEnd::Aborted => (Verdict::MayHaveRun, Reason::Cancelled, None),
    };
    TaskOutcome::Failed(Failure {
        verdict,
        reason,
        retry_after,
    })
}
