//! The table of tasks that the agent has started.

use std::collections::VecDeque;

use chervilring_wire::{
    Attempt, EntryId, Micros, Origin, Ring, SubmissionId, TaskIndex, TaskKey, Time,
};
use rustc_hash::{FxHashMap, FxHashSet};

/// A task, independent of the attempt.
type Task = (SubmissionId, TaskIndex);

/// The record of a started task.
#[derive(Debug, Clone, Copy)]
struct StartRecord {
    /// The highest attempt that was started.
    attempt: Attempt,
    /// The entry that requested the start, as an index into `entries`; `None` when that entry
    /// generated the id and no other entry knows it.
    home: Option<u16>,
}

/// Records started tasks: those with timestamped ids for the retention period, the others for the
/// agent's incarnation.
#[derive(Debug)]
pub(super) struct StartTable {
    starts: FxHashMap<Task, StartRecord>,
    expiries: VecDeque<(Time, Task)>,
    entries: Vec<EntryId>,
    retention: Micros,
    max_starts: usize,
}

impl StartTable {
    /// Creates an empty table for at most `max_starts` records.
    pub(super) fn new(retention: Micros, max_starts: usize) -> Self {
        Self {
            starts: FxHashMap::default(),
            expiries: VecDeque::new(),
            entries: Vec::new(),
            retention,
            max_starts,
        }
    }

    /// Returns the number of records.
    pub(super) fn len(&self) -> usize {
        self.starts.len()
    }

    /// Returns whether the table is too full for a further record.
    pub(super) fn is_full(&self) -> bool {
        self.starts.len() >= self.max_starts || self.expiries.len() >= self.max_starts * 2
    }

    /// Returns whether this attempt must not start because the task has started before.
    ///
    /// A later attempt may start only if the task is idempotent.
    pub(super) fn forbids(&self, key: TaskKey, idempotent: bool) -> bool {
        let start = self.starts.get(&(key.submission, key.index));
        start.is_some_and(|s| !idempotent || key.attempt <= s.attempt)
    }

    /// Records a start and returns the attempt that was recorded before.
    pub(super) fn record(
        &mut self,
        now: Time,
        key: TaskKey,
        origin: Origin,
        from: &EntryId,
    ) -> Option<Attempt> {
        let task = (key.submission, key.index);
        let home = match origin {
            Origin::ClientKey => Some(self.entry_index(from)),
            Origin::Generated => None,
        };
        let attempt = key.attempt;
        let previous = self.starts.insert(task, StartRecord { attempt, home });
        if key.submission.timestamp().is_some() {
            self.expiries.push_back((now + self.retention, task));
        }
        previous.map(|s| s.attempt)
    }

    /// Undoes the record of a start that is known not to have happened.
    pub(super) fn undo(&mut self, key: TaskKey, previous: Option<Attempt>) {
        let task = (key.submission, key.index);
        let Some(start) = self.starts.get_mut(&task) else {
            return;
        };
        if start.attempt != key.attempt {
            return;
        }
        match previous {
            Some(attempt) => start.attempt = attempt,
            None => {
                self.starts.remove(&task);
            }
        }
    }

    /// Removes the records of timestamped ids whose retention period is over.
    pub(super) fn expire(&mut self, now: Time) {
        while let Some(&(expiry, task)) = self.expiries.front() {
            if expiry > now {
                return;
            }
            self.expiries.pop_front();
            self.starts.remove(&task);
        }
    }

    /// Returns the started ids that moved to `entry`: ids whose home is `entry` in `ring`, or in a
    /// past ring that this agent may have skipped, but whose start was requested by another entry
    /// or by another incarnation of this one.
    pub(super) fn ids_moved_to(&self, entry: &EntryId, ring: &Ring) -> Vec<SubmissionId> {
        let mut ids = FxHashSet::default();
        for ((id, _), start) in &self.starts {
            let Some(from) = start.home else { continue };
            if self.entries[usize::from(from)] == *entry {
                continue;
            }
            let home = ring.home(*id).map(|m| &m.entry);
            let mut homes = ring.past.iter().map(|past| past.home(*id)).chain([home]);
            if homes.any(|home| home == Some(entry)) {
                ids.insert(*id);
            }
        }
        let mut ids: Vec<_> = ids.into_iter().collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the index of an entry's incarnation in `entries`, adding it if it is new.
    fn entry_index(&mut self, entry: &EntryId) -> u16 {
        let index = self.entries.iter().rposition(|e| e == entry);
        let index = index.unwrap_or_else(|| {
            self.entries.push(entry.clone());
            self.entries.len() - 1
        });
        u16::try_from(index).unwrap_or(u16::MAX)
    }
}
