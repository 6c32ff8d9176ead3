//! The table of tasks that the agent has started.

use std::collections::VecDeque;

use chervilring_wire::{
    Attempt, EntryId, Micros, Origin, Ring, SubmissionId, TaskIndex, TaskKey, Time,
};
use rustc_hash::{FxHashMap, FxHashSet};

/// A task, whichever attempt.
type Task = (SubmissionId, TaskIndex);

/// What is remembered of a started task.
#[derive(Debug, Clone, Copy)]
struct Start {
    /// The highest attempt that was started.
    attempt: Attempt,
    /// The entry that asked for it, as a place in `entries`; none when its id is known to that
    /// entry alone.
    home: Option<u16>,
}

/// Remembers starts: those with stamped ids for a window, the others for the agent's life.
#[derive(Debug)]
pub(super) struct Started {
    starts: FxHashMap<Task, Start>,
    expiries: VecDeque<(Time, Task)>,
    entries: Vec<EntryId>,
    window: Micros,
    budget: usize,
}

impl Started {
    /// Creates an empty table for at most `budget` starts.
    pub(super) fn new(window: Micros, budget: usize) -> Self {
        Self {
            starts: FxHashMap::default(),
            expiries: VecDeque::new(),
            entries: Vec::new(),
            window,
            budget,
        }
    }

    /// Returns how many starts are remembered.
    pub(super) fn len(&self) -> usize {
        self.starts.len()
    }

    /// Returns whether a further start would go beyond the budget.
    pub(super) fn is_full(&self) -> bool {
        self.starts.len() >= self.budget || self.expiries.len() >= self.budget * 2
    }

    /// Returns whether this attempt must not start since the task has started before.
    ///
    /// A later attempt may start only where the task may run again.
    pub(super) fn bars(&self, key: TaskKey, idempotent: bool) -> bool {
        let start = self.starts.get(&(key.submission, key.index));
        start.is_some_and(|s| !idempotent || key.attempt <= s.attempt)
    }

    /// Records a start and returns the attempt that stood there before.
    pub(super) fn record(
        &mut self,
        now: Time,
        key: TaskKey,
        origin: Origin,
        from: &EntryId,
    ) -> Option<Attempt> {
        let task = (key.submission, key.index);
        let home = match origin {
            Origin::ClientKey => Some(self.entry(from)),
            Origin::Generated => None,
        };
        let attempt = key.attempt;
        let before = self.starts.insert(task, Start { attempt, home });
        if key.submission.timestamp().is_some() {
            self.expiries.push_back((now + self.window, task));
        }
        before.map(|s| s.attempt)
    }

    /// Takes back a start of which it is known that it did not happen.
    pub(super) fn take_back(&mut self, key: TaskKey, before: Option<Attempt>) {
        let task = (key.submission, key.index);
        let Some(start) = self.starts.get_mut(&task) else {
            return;
        };
        if start.attempt != key.attempt {
            return;
        }
        match before {
            Some(attempt) => start.attempt = attempt,
            None => {
                self.starts.remove(&task);
            }
        }
    }

    /// Forgets the stamped ids whose window is over.
    pub(super) fn forget(&mut self, now: Time) {
        while let Some(&(expiry, task)) = self.expiries.front() {
            if expiry > now {
                return;
            }
            self.expiries.pop_front();
            self.starts.remove(&task);
        }
    }

    /// Returns the ids that the ring, or one before it that this agent may have skipped, places at
    /// `entry` but were started for another entry, or for another life of this one.
    pub(super) fn moved_to(&self, entry: &EntryId, ring: &Ring) -> Vec<SubmissionId> {
        let mut ids = FxHashSet::default();
        for ((id, _), start) in &self.starts {
            let Some(from) = start.home else { continue };
            if self.entries[usize::from(from)] == *entry {
                continue;
            }
            let home = ring.home(*id).map(|m| &m.entry);
            let mut homes = ring.past.iter().map(|old| old.home(*id)).chain([home]);
            if homes.any(|home| home == Some(entry)) {
                ids.insert(*id);
            }
        }
        let mut ids: Vec<_> = ids.into_iter().collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the place of an entry's life in the list of those seen.
    fn entry(&mut self, entry: &EntryId) -> u16 {
        let place = self.entries.iter().rposition(|e| e == entry);
        let place = place.unwrap_or_else(|| {
            self.entries.push(entry.clone());
            self.entries.len() - 1
        });
        u16::try_from(place).unwrap_or(u16::MAX)
    }
}
