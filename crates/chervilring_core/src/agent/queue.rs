//! The queue of tasks for the upstream's slots: one lane per entry, served round-robin.

use std::collections::VecDeque;

use bytes::Bytes;
use chervilring_wire::{EntryId, Name, Origin, ServiceName, TaskKey, Time};

/// A task that is queued for a slot.
#[derive(Debug, Clone)]
pub(super) struct QueuedTask {
    /// The attempt.
    pub(super) key: TaskKey,
    /// How the submission got its id.
    pub(super) origin: Origin,
    /// The entry that requested the start.
    pub(super) from: EntryId,
    /// The service.
    pub(super) service: ServiceName,
    /// The time from which the task must not start any more.
    pub(super) deadline: Time,
    /// When the start arrived.
    pub(super) received_at: Time,
    /// Whether the task may be run again when an earlier attempt may have run.
    pub(super) idempotent: bool,
    /// The media type of the body.
    pub(super) media: Name,
    /// The body.
    pub(super) body: Bytes,
}

/// The queued tasks of all entries.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// One lane per entry with queued tasks, never empty; the first lane is served next.
    lanes: VecDeque<VecDeque<QueuedTask>>,
}

impl Queue {
    /// Returns the number of queued tasks.
    pub(super) fn len(&self) -> usize {
        self.lanes.iter().map(VecDeque::len).sum()
    }

    /// Returns the number of queued tasks of an entry.
    pub(super) fn len_of(&self, entry: &EntryId) -> usize {
        let lane = self.lanes.iter().find(|l| l[0].from == *entry);
        lane.map_or(0, VecDeque::len)
    }

    /// Returns whether this attempt is queued for an entry.
    pub(super) fn contains(&self, key: TaskKey, from: &EntryId) -> bool {
        self.iter().any(|t| t.key == key && t.from == *from)
    }

    /// Returns all queued tasks.
    pub(super) fn iter(&self) -> impl Iterator<Item = &QueuedTask> {
        self.lanes.iter().flatten()
    }

    /// Appends a task to the lane of its entry.
    pub(super) fn push(&mut self, task: QueuedTask) {
        match self.lanes.iter_mut().find(|l| l[0].from == task.from) {
            Some(lane) => lane.push_back(task),
            None => self.lanes.push_back(VecDeque::from([task])),
        }
    }

    /// Removes and returns the next task for which `can_start` holds; its lane is served last the
    /// next time.
    pub(super) fn pop(
        &mut self,
        mut can_start: impl FnMut(&QueuedTask) -> bool,
    ) -> Option<QueuedTask> {
        for lane_index in 0..self.lanes.len() {
            let Some(task_index) = self.lanes[lane_index].iter().position(&mut can_start) else {
                continue;
            };
            let mut lane = self.lanes.remove(lane_index)?;
            let task = lane.remove(task_index);
            if !lane.is_empty() {
                self.lanes.push_back(lane);
            }
            return task;
        }
        None
    }

    /// Removes and returns all tasks for which `select` holds.
    pub(super) fn extract(
        &mut self,
        mut select: impl FnMut(&QueuedTask) -> bool,
    ) -> Vec<QueuedTask> {
        if !self.iter().any(&mut select) {
            return Vec::new();
        }
        let mut out = Vec::new();
        for lane in &mut self.lanes {
            let (selected, rest): (Vec<_>, Vec<_>) = lane.drain(..).partition(&mut select);
            out.extend(selected);
            lane.extend(rest);
        }
        self.lanes.retain(|l| !l.is_empty());
        out
    }
}
