//! The ids known to be started, by this entry or by former homes.

use std::collections::VecDeque;

use chervilring_wire::{Micros, SubmissionId, Timestamp};
use rustc_hash::FxHashSet;

use super::constants::TIMESTAMPED_ID_LIMIT;

/// A table of ids. Ids with a timestamp are kept for a window; ids without one are kept up to a
/// limit.
#[derive(Debug)]
pub(crate) struct StartedIds {
    ids: FxHashSet<SubmissionId>,
    timestamped: VecDeque<SubmissionId>,
    untimestamped: usize,
    limit: usize,
    window: Micros,
    overflowed: bool,
}

impl StartedIds {
    /// Creates an empty table.
    pub(crate) fn new(window: Micros, limit: usize) -> Self {
        Self {
            ids: FxHashSet::default(),
            timestamped: VecDeque::new(),
            untimestamped: 0,
            limit,
            window,
            overflowed: false,
        }
    }

    /// Adds an id and returns whether it was added. Known ids, and ids beyond the limit, are not.
    pub(crate) fn insert(&mut self, id: SubmissionId) -> bool {
        if self.ids.contains(&id) {
            return false;
        }
        let has_capacity = if id.timestamp().is_some() {
            self.timestamped.len() < TIMESTAMPED_ID_LIMIT
        } else {
            self.untimestamped < self.limit
        };
        if !has_capacity {
            self.overflowed = true;
            return false;
        }
        if id.timestamp().is_some() {
            self.timestamped.push_back(id);
        } else {
            self.untimestamped += 1;
        }
        self.ids.insert(id)
    }

    /// Removes an id that was not started after all.
    pub(crate) fn remove(&mut self, id: SubmissionId) {
        if self.ids.remove(&id) && id.timestamp().is_none() {
            self.untimestamped -= 1;
        }
    }

    /// Returns whether an id is known to be started.
    pub(crate) fn contains(&self, id: SubmissionId) -> bool {
        self.ids.contains(&id)
    }

    /// Returns whether an id has ever been left out because of a limit.
    pub(crate) fn overflowed(&self) -> bool {
        self.overflowed
    }

    /// Returns the number of ids.
    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns all ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = SubmissionId> + '_ {
        self.ids.iter().copied()
    }

    /// Drops ids whose window has passed. `wall` is the wall-clock time less the permitted clock
    /// skew.
    pub(crate) fn expire(&mut self, wall: Timestamp) {
        while let Some(id) = self.timestamped.front() {
            let created = id.timestamp().unwrap_or_default();
            if created.0 + self.window.as_millis() >= wall.0 {
                return;
            }
            self.ids.remove(id);
            self.timestamped.pop_front();
        }
    }
}
