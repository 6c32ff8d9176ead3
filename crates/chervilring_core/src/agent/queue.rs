//! Tasks that wait for a slot, one queue for each entry, served in turn.

use std::collections::VecDeque;

use bytes::Bytes;
use chervilring_wire::{EntryId, Name, Origin, ServiceName, TaskKey, Time};

/// A task that waits for a slot.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    /// The attempt.
    pub(super) key: TaskKey,
    /// Where the id of the submission comes from.
    pub(super) origin: Origin,
    /// The entry that asked for it.
    pub(super) from: EntryId,
    /// The service.
    pub(super) service: ServiceName,
    /// It must not start at or after this point.
    pub(super) deadline: Time,
    /// When it came in.
    pub(super) since: Time,
    /// Whether it may run again after it may have run.
    pub(super) idempotent: bool,
    /// The media type of the body.
    pub(super) media: Name,
    /// The body.
    pub(super) body: Bytes,
}

/// The queues of all entries.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// The entry at the front is served next.
    lanes: VecDeque<VecDeque<Waiting>>,
}

impl Queue {
    /// Returns how many tasks wait.
    pub(super) fn len(&self) -> usize {
        self.lanes.iter().map(VecDeque::len).sum()
    }

    /// Returns how many tasks of an entry wait.
    pub(super) fn len_of(&self, entry: &EntryId) -> usize {
        let lane = self.lanes.iter().find(|l| l[0].from == *entry);
        lane.map_or(0, VecDeque::len)
    }

    /// Returns whether this attempt waits here for an entry.
    pub(super) fn contains(&self, key: TaskKey, from: &EntryId) -> bool {
        self.iter().any(|w| w.key == key && w.from == *from)
    }

    /// Returns all that wait.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.lanes.iter().flatten()
    }

    /// Adds a task behind the others of its entry.
    pub(super) fn push(&mut self, task: Waiting) {
        match self.lanes.iter_mut().find(|l| l[0].from == task.from) {
            Some(lane) => lane.push_back(task),
            None => self.lanes.push_back(VecDeque::from([task])),
        }
    }

    /// Takes the next task that `fits`, from each entry in turn.
    pub(super) fn pop(&mut self, mut fits: impl FnMut(&Waiting) -> bool) -> Option<Waiting> {
        for place in 0..self.lanes.len() {
            let Some(at) = self.lanes[place].iter().position(&mut fits) else {
                continue;
            };
            let mut lane = self.lanes.remove(place)?;
            let task = lane.remove(at);
            if !lane.is_empty() {
                self.lanes.push_back(lane);
            }
            return task;
        }
        None
    }

    /// Takes out all that `select` picks.
    pub(super) fn extract(&mut self, mut select: impl FnMut(&Waiting) -> bool) -> Vec<Waiting> {
        if !self.iter().any(&mut select) {
            return Vec::new();
        }
        let mut out = Vec::new();
        for lane in &mut self.lanes {
            let (taken, kept): (Vec<_>, Vec<_>) = lane.drain(..).partition(&mut select);
            out.extend(taken);
            lane.extend(kept);
        }
        self.lanes.retain(|l| !l.is_empty());
        out
    }
}
