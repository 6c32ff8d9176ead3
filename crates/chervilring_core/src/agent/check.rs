//! The check of each start, the last point at which a start can be refused as not run.

use chervilring_wire::{
    AgentState, EntryId, Failure, Micros, Origin, Reason, ServiceName, StartBatch, TaskKey,
    TaskStart, Time, Verdict,
};

use super::queue::QueuedTask;
use super::state::{Agent, DeferredBatch};

/// The maximum number of batches deferred until a newer ring is installed.
const MAX_DEFERRED_BATCHES: usize = 64;

/// The result of checking a start.
enum Decision {
    /// The task is queued.
    Enqueue,
    /// The start is refused, with the time after which a retry makes sense, if known.
    Refuse(Reason, Option<Micros>),
    /// The same start of the same entry is queued or running, and will be answered.
    Pending,
    /// The task has started before.
    AlreadyStarted,
}

impl Agent {
    /// Handles a batch of starts from an entry.
    pub(super) fn handle_start(&mut self, now: Time, from: &EntryId, batch: StartBatch) {
        self.counters.received += batch.tasks.len() as u64;
        self.process_starts(now, now, from, batch);
    }

    /// Checks the starts of a batch that arrived at `received_at`, or defers the batch if they need
    /// a newer ring.
    pub(super) fn process_starts(
        &mut self,
        now: Time,
        received_at: Time,
        from: &EntryId,
        batch: StartBatch,
    ) {
        if self.needs_newer_ring(&batch) {
            return self.defer(received_at, from, batch);
        }
        for task in batch.tasks {
            match self.check_start(now, received_at, from, &task) {
                Decision::Enqueue => self.enqueue(received_at, from, task),
                Decision::Refuse(reason, retry) => self.refuse(from, task.key, reason, retry),
                Decision::Pending => {}
                Decision::AlreadyStarted => self.answer_repeated(from, task.key),
            }
        }
    }

    /// Returns whether these starts cannot be checked before a newer ring is installed.
    fn needs_newer_ring(&self, batch: &StartBatch) -> bool {
        let newer = batch.ring > self.ring.version;
        newer
            && self.unavailable_reason().is_none()
            && batch.tasks.iter().any(|t| t.origin == Origin::ClientKey)
    }

    /// Defers a batch until its ring is installed, and requests that ring by announcing the version
    /// in force. Refuses the batch if too many are deferred already.
    fn defer(&mut self, received_at: Time, from: &EntryId, batch: StartBatch) {
        self.announce_now = true;
        let deadline = received_at + self.settings.ring_timeout;
        let deadlines = batch
            .tasks
            .iter()
            .map(|t| self.deadline(received_at, t.remaining));
        let deadline = deadlines.fold(deadline, Time::min);
        let deferred = DeferredBatch {
            from: from.clone(),
            batch,
            received_at,
            deadline,
        };
        if self.deferred.len() < MAX_DEFERRED_BATCHES {
            self.deferred.push(deferred);
        } else {
            self.refuse_deferred(&deferred, Reason::Unavailable);
        }
    }

    /// Refuses deferred batches whose ring was not installed before their deadline.
    pub(super) fn expire_deferred(&mut self, now: Time) {
        let (expired, rest) = self.deferred.drain(..).partition(|d| d.deadline <= now);
        self.deferred = rest;
        for deferred in expired {
            self.refuse_deferred(&deferred, Reason::Unavailable);
        }
    }

    /// Refuses all tasks of a deferred batch.
    pub(super) fn refuse_deferred(&mut self, deferred: &DeferredBatch, reason: Reason) {
        for task in &deferred.batch.tasks {
            self.refuse_unless_started(&deferred.from, task, reason);
        }
    }

    /// Refuses a start that was not checked yet, unless its task has started before.
    pub(super) fn refuse_unless_started(
        &mut self,
        from: &EntryId,
        task: &TaskStart,
        reason: Reason,
    ) {
        if self.has_started(task.key, task.idempotent) {
            self.answer_repeated(from, task.key);
        } else {
            self.refuse(from, task.key, reason, None);
        }
    }

    /// Checks a start. The order of the checks decides which reason a refusal gives.
    fn check_start(
        &self,
        now: Time,
        received_at: Time,
        from: &EntryId,
        task: &TaskStart,
    ) -> Decision {
        // Checked first because a refusal says that the task was not run, which is false for a task
        // that has started here.
        if self.has_started(task.key, task.idempotent) {
            return self.check_repeated(from, task.key);
        }
        if self.queue.contains(task.key, from) {
            return Decision::Pending;
        }
        if self.is_superseded(from) {
            return Decision::Refuse(Reason::NotHome, None);
        }
        if task.origin == Origin::ClientKey
            && !self.ring.may_have_accepted(from, task.key.submission)
        {
            return Decision::Refuse(Reason::NotHome, None);
        }
        if let Some(reason) = self.unavailable_reason() {
            return Decision::Refuse(reason, None);
        }
        if self.deadline(received_at, task.remaining) <= now {
            return Decision::Refuse(Reason::Deadline, None);
        }
        if !self.upstream.offers(&task.service) {
            return Decision::Refuse(Reason::NoUpstream, None);
        }
        if self.start_table.len() + self.queue.len() >= self.settings.max_starts
            || self.start_table.is_full()
        {
            return Decision::Refuse(Reason::TableFull, None);
        }
        if self.outbox.bytes() >= self.settings.max_answer_bytes
            || self.is_queue_full(from, &task.service)
        {
            return Decision::Refuse(Reason::Busy, Some(self.estimate_slot_wait(now)));
        }
        Decision::Enqueue
    }

    /// Checks the start of a task that has started before.
    fn check_repeated(&self, from: &EntryId, key: TaskKey) -> Decision {
        let running = self.running.get(&key);
        if running.is_some_and(|r| r.from == *from && !r.answered) {
            return Decision::Pending;
        }
        Decision::AlreadyStarted
    }

    /// Returns whether the task has started here, so that this attempt must not start.
    fn has_started(&self, key: TaskKey, idempotent: bool) -> bool {
        self.running.contains_key(&key) || self.start_table.forbids(key, idempotent)
    }

    /// Returns the reason for refusing all work, or `None` if the agent accepts work.
    pub(super) fn unavailable_reason(&self) -> Option<Reason> {
        match self.state() {
            AgentState::Ready => None,
            AgentState::Down => Some(Reason::Unavailable),
            AgentState::Leaving => Some(Reason::Leaving),
        }
    }

    /// Returns whether a later incarnation of this entry is known.
    fn is_superseded(&self, from: &EntryId) -> bool {
        let latest = self.latest_incarnations.get(&from.name);
        let member = self.ring.member(&from.name).map(|m| &m.entry.incarnation);
        latest.max(member).is_some_and(|&i| i > from.incarnation)
    }

    /// Returns the deadline of a start that arrived at `received_at`, reduced by the time that its
    /// message may have waited unread during a pause of the process.
    pub(super) fn deadline(&self, received_at: Time, remaining: Micros) -> Time {
        let (delayed_until, max_delay) = self.delayed_messages;
        let delay = if received_at < delayed_until {
            max_delay
        } else {
            Micros::default()
        };
        received_at + Micros(remaining.0.saturating_sub(delay.0))
    }

    /// Returns whether the queue is full for a further task of this entry and service. The queue is
    /// limited in total, and each linked entry has an equal share.
    fn is_queue_full(&self, from: &EntryId, service: &ServiceName) -> bool {
        let free = self.free_slots(service);
        if self.queue.len() < free {
            return false;
        }
        let linked = self
            .links
            .values()
            .filter(|l| l.values().any(|l| l.up))
            .count();
        let capacity = self.settings.queue_capacity as usize;
        let share = (capacity / linked.max(1)).max(1);
        self.queue.len() >= capacity + free || self.queue.len_of(from) >= share + free
    }

    /// Returns the number of free slots that a service may use.
    fn free_slots(&self, service: &ServiceName) -> usize {
        let free = (self.upstream.slots as usize).saturating_sub(self.running.len());
        let Some(&limit) = self.slot_limits.get(service) else {
            return free;
        };
        let used = self
            .running
            .values()
            .filter(|r| r.service == *service)
            .count();
        free.min((limit as usize).saturating_sub(used))
    }

    /// Estimates the time until a slot is free for one more task, from the mean run times of the
    /// running and queued tasks.
    fn estimate_slot_wait(&self, now: Time) -> Micros {
        let runs = self.running.values();
        let mut ends: Vec<_> = runs
            .map(|r| {
                now.duration_until(r.started_at + self.upstream.mean_run_time(&r.service))
                    .0
            })
            .collect();
        ends.sort_unstable();
        if ends.is_empty() {
            return Micros::from_millis(1);
        }
        let queued = self.queue.len();
        let run_times = self
            .queue
            .iter()
            .map(|t| self.upstream.mean_run_time(&t.service).0);
        let wait = run_times.sum::<u64>() / ends.len() as u64;
        let next_end = ends[queued % ends.len()];
        Micros((next_end + wait).max(1_000))
    }

    /// Adds a task to the queue.
    fn enqueue(&mut self, received_at: Time, from: &EntryId, task: TaskStart) {
        self.queue.push(QueuedTask {
            key: task.key,
            origin: task.origin,
            from: from.clone(),
            service: task.service,
            deadline: self.deadline(received_at, task.remaining),
            received_at,
            idempotent: task.idempotent,
            media: task.media,
            body: task.body,
        });
    }

    /// Answers that the task was not run, and counts the refusal.
    pub(super) fn refuse(
        &mut self,
        to: &EntryId,
        key: TaskKey,
        reason: Reason,
        retry_after: Option<Micros>,
    ) {
        self.counters.refused += 1;
        match reason {
            Reason::NotHome => self.counters.not_home += 1,
            Reason::Busy => self.counters.busy += 1,
            Reason::TableFull => self.counters.table_full += 1,
            Reason::Deadline => self.counters.expired += 1,
            _ => {}
        }
        let failure = Failure {
            verdict: Verdict::NotRun,
            reason,
            retry_after,
        };
        self.answer_failure(to, key, failure);
    }
}
