//! The check of each start: the last place where it can be refused as not run.

use chervilring_wire::{
    AgentState, EntryId, Failure, Micros, Origin, Reason, ServiceName, StartBatch, TaskKey,
    TaskStart, Time, Verdict,
};

use super::queue::Waiting;
use super::state::{Agent, Held};

/// Batches that wait for a newer ring at once.
const MAX_HELD: usize = 64;

/// What becomes of a start.
enum Decision {
    /// It is queued.
    Take,
    /// It is refused.
    Refuse(Reason, Option<Micros>),
    /// The same start is in hand already and will be answered.
    InHand,
    /// The task has started before.
    Repeated,
}

impl Agent {
    /// Takes in starts from an entry.
    pub(super) fn start(&mut self, now: Time, from: &EntryId, batch: StartBatch) {
        self.counters.asked += batch.tasks.len() as u64;
        self.take(now, now, from, batch);
    }

    /// Decides on starts that came in at `since`.
    pub(super) fn take(&mut self, now: Time, since: Time, from: &EntryId, batch: StartBatch) {
        if self.must_wait(&batch) {
            return self.hold(since, from, batch);
        }
        for task in batch.tasks {
            match self.decide(now, since, from, &task) {
                Decision::Take => self.enqueue(since, from, task),
                Decision::Refuse(reason, retry) => self.refuse(from, task.key, reason, retry),
                Decision::InHand => {}
                Decision::Repeated => self.answer_repeated(from, task.key),
            }
        }
    }

    /// Returns whether nothing can be said on these starts before a newer ring has come.
    fn must_wait(&self, batch: &StartBatch) -> bool {
        let newer = batch.ring > self.ring.version;
        newer
            && self.closed().is_none()
            && batch.tasks.iter().any(|t| t.origin == Origin::ClientKey)
    }

    /// Keeps starts until their ring has come, and asks for it by an announcement. Where too many
    /// are kept already, they are refused.
    fn hold(&mut self, since: Time, from: &EntryId, batch: StartBatch) {
        self.announce_now = true;
        let until = since + self.settings.patience;
        let deadlines = batch
            .tasks
            .iter()
            .map(|t| self.deadline(since, t.remaining));
        let until = deadlines.fold(until, Time::min);
        let held = Held {
            from: from.clone(),
            batch,
            since,
            until,
        };
        if self.held.len() < MAX_HELD {
            self.held.push(held);
        } else {
            self.refuse_held(&held, Reason::Unavailable);
        }
    }

    /// Refuses starts whose ring has not come in time.
    pub(super) fn expire_held(&mut self, now: Time) {
        let (over, rest) = self.held.drain(..).partition(|h| h.until <= now);
        self.held = rest;
        for held in over {
            self.refuse_held(&held, Reason::Unavailable);
        }
    }

    /// Refuses all tasks of a held batch.
    pub(super) fn refuse_held(&mut self, held: &Held, reason: Reason) {
        for task in &held.batch.tasks {
            self.refuse_task(&held.from, task, reason);
        }
    }

    /// Refuses a start that was not decided on so far.
    pub(super) fn refuse_task(&mut self, from: &EntryId, task: &TaskStart, reason: Reason) {
        if self.has_started(task.key, task.idempotent) {
            self.answer_repeated(from, task.key);
        } else {
            self.refuse(from, task.key, reason, None);
        }
    }

    fn decide(&self, now: Time, since: Time, from: &EntryId, task: &TaskStart) -> Decision {
        // Comes first: no refusal may call a task not run that has started here.
        if self.has_started(task.key, task.idempotent) {
            return self.decide_repeated(from, task.key);
        }
        if self.queue.contains(task.key, from) {
            return Decision::InHand;
        }
        if self.is_superseded(from) {
            return Decision::Refuse(Reason::NotHome, None);
        }
        if task.origin == Origin::ClientKey
            && !self.ring.may_have_accepted(from, task.key.submission)
        {
            return Decision::Refuse(Reason::NotHome, None);
        }
        if let Some(reason) = self.closed() {
            return Decision::Refuse(reason, None);
        }
        if self.deadline(since, task.remaining) <= now {
            return Decision::Refuse(Reason::Deadline, None);
        }
        if !self.upstream.offers(&task.service) {
            return Decision::Refuse(Reason::NoUpstream, None);
        }
        if self.started.len() + self.queue.len() >= self.settings.budget || self.started.is_full() {
            return Decision::Refuse(Reason::TableFull, None);
        }
        if self.outbox.bytes() >= self.settings.kept || self.is_crowded(from, &task.service) {
            return Decision::Refuse(Reason::Busy, Some(self.slot_free_in(now)));
        }
        Decision::Take
    }

    /// Decides on a start of a task that has started before.
    fn decide_repeated(&self, from: &EntryId, key: TaskKey) -> Decision {
        let running = self.running.get(&key);
        if running.is_some_and(|r| r.from == *from && !r.answered) {
            return Decision::InHand;
        }
        Decision::Repeated
    }

    /// Returns whether the task has started here, so that this attempt must not.
    fn has_started(&self, key: TaskKey, idempotent: bool) -> bool {
        self.running.contains_key(&key) || self.started.bars(key, idempotent)
    }

    /// Returns why no work is taken at all, if so.
    pub(super) fn closed(&self) -> Option<Reason> {
        match self.state() {
            AgentState::Ready => None,
            AgentState::Down => Some(Reason::Unavailable),
            AgentState::Leaving => Some(Reason::Leaving),
        }
    }

    /// Returns whether a later life of this entry has been seen.
    fn is_superseded(&self, from: &EntryId) -> bool {
        let latest = self.latest.get(&from.name);
        let member = self.ring.member(&from.name).map(|m| &m.entry.incarnation);
        latest.max(member).is_some_and(|&i| i > from.incarnation)
    }

    /// Returns the point at or after which a start that came in at `since` is too late.
    pub(super) fn deadline(&self, since: Time, remaining: Micros) -> Time {
        let (until, gap) = self.stale;
        let lost = if since < until {
            gap
        } else {
            Micros::default()
        };
        since + Micros(remaining.0.saturating_sub(lost.0))
    }

    /// Returns whether the queue has no room for a further task of this entry and service.
    fn is_crowded(&self, from: &EntryId, service: &ServiceName) -> bool {
        let free = self.free_slots(service);
        if self.queue.len() < free {
            return false;
        }
        let linked = self
            .links
            .values()
            .filter(|l| l.values().any(|l| l.up))
            .count();
        let room = self.settings.queue as usize;
        let share = (room / linked.max(1)).max(1);
        self.queue.len() >= room + free || self.queue.len_of(from) >= share + free
    }

    /// Returns how many more tasks of a service could be in slots.
    fn free_slots(&self, service: &ServiceName) -> usize {
        let free = (self.upstream.slots as usize).saturating_sub(self.running.len());
        let Some(&cap) = self.caps.get(service) else {
            return free;
        };
        let taken = self
            .running
            .values()
            .filter(|r| r.service == *service)
            .count();
        free.min((cap as usize).saturating_sub(taken))
    }

    /// Returns the span after which a slot is expected to be free for one more task.
    fn slot_free_in(&self, now: Time) -> Micros {
        let runs = self.running.values();
        let mut ends: Vec<_> = runs
            .map(|r| {
                now.duration_until(r.since + self.upstream.run(&r.service))
                    .0
            })
            .collect();
        ends.sort_unstable();
        if ends.is_empty() {
            return Micros::from_millis(1);
        }
        let ahead = self.queue.len();
        let waiting = self.queue.iter().map(|w| self.upstream.run(&w.service).0);
        let waits = waiting.sum::<u64>() / ends.len() as u64;
        let nth = ends[ahead % ends.len()];
        Micros((nth + waits).max(1_000))
    }

    fn enqueue(&mut self, since: Time, from: &EntryId, task: TaskStart) {
        self.queue.push(Waiting {
            key: task.key,
            origin: task.origin,
            from: from.clone(),
            service: task.service,
            deadline: self.deadline(since, task.remaining),
            since,
            idempotent: task.idempotent,
            media: task.media,
            body: task.body,
        });
    }

    /// Answers that a task did not run and will not.
    pub(super) fn refuse(
        &mut self,
        to: &EntryId,
        key: TaskKey,
        reason: Reason,
        retry: Option<Micros>,
    ) {
        self.counters.refused += 1;
        match reason {
            Reason::NotHome => self.counters.not_home += 1,
            Reason::Busy => self.counters.busy += 1,
            Reason::TableFull => self.counters.table_full += 1,
            Reason::Deadline => self.counters.late += 1,
            _ => {}
        }
        let failure = Failure {
            verdict: Verdict::NotRun,
            reason,
            retry_after: retry,
        };
        self.answer_failure(to, key, failure);
    }
}
