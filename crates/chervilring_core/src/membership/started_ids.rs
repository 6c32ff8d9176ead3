//! The ids known to be started, here or by former homes.

use std::collections::VecDeque;

use chervilring_wire::{Micros, SubmissionId, Timestamp};
use rustc_hash::FxHashSet;

use super::constants::STAMPED_LIMIT;

/// A table of ids: stamped ones for a window, unstamped ones within a limit.
#[derive(Debug)]
pub(crate) struct Known {
    ids: FxHashSet<SubmissionId>,
    stamped: VecDeque<SubmissionId>,
    unstamped: usize,
    limit: usize,
    window: Micros,
    full: bool,
}

impl Known {
    /// Creates an empty table.
    pub(crate) fn new(window: Micros, limit: usize) -> Self {
        Self {
            ids: FxHashSet::default(),
            stamped: VecDeque::new(),
            unstamped: 0,
            limit,
            window,
            full: false,
        }
    }

    /// Adds an id and returns whether it was new; a full table takes none.
    pub(crate) fn insert(&mut self, id: SubmissionId) -> bool {
        if self.ids.contains(&id) {
            return false;
        }
        let room = if id.timestamp().is_some() {
            self.stamped.len() < STAMPED_LIMIT
        } else {
            self.unstamped < self.limit
        };
        if !room {
            self.full = true;
            return false;
        }
        if id.timestamp().is_some() {
            self.stamped.push_back(id);
        } else {
            self.unstamped += 1;
        }
        self.ids.insert(id)
    }

    /// Removes an id that was not started after all.
    pub(crate) fn remove(&mut self, id: SubmissionId) {
        if self.ids.remove(&id) && id.timestamp().is_none() {
            self.unstamped -= 1;
        }
    }

    /// Returns whether an id is known to be started.
    pub(crate) fn contains(&self, id: SubmissionId) -> bool {
        self.ids.contains(&id)
    }

    /// Returns whether the table ever had to leave out an id.
    pub(crate) fn full(&self) -> bool {
        self.full
    }

    /// Returns the number of ids.
    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns all ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = SubmissionId> + '_ {
        self.ids.iter().copied()
    }

    /// Drops ids whose window is over; `wall` is the wall clock less what it may be wrong by.
    pub(crate) fn expire(&mut self, wall: Timestamp) {
        while let Some(id) = self.stamped.front() {
            let stamp = id.timestamp().unwrap_or_default();
            if stamp.0 + self.window.as_millis() >= wall.0 {
                return;
            }
            self.ids.remove(id);
            self.stamped.pop_front();
        }
    }
}
