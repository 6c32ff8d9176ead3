//! Submissions that wait for their home to be settled.

use std::collections::BTreeMap;

use chervilring_wire::{Micros, Submission, Time};

use super::waits::Caller;

/// A submission that is routed again later.
#[derive(Debug)]
pub(super) struct Held {
    /// Whom the reply goes to.
    pub(super) caller: Caller,
    /// The submission.
    pub(super) submission: Submission,
    /// When its caller's deadline is over.
    pub(super) deadline: Time,
    /// When it is routed again.
    pub(super) look_at: Time,
}

/// The submissions that wait, by when they are due.
#[derive(Debug, Default)]
pub(super) struct HeldTable {
    table: BTreeMap<(Time, u64), Held>,
    last: u64,
}

impl HeldTable {
    pub(super) fn add(&mut self, held: Held) {
        self.last += 1;
        let due = held.look_at.min(held.deadline);
        self.table.insert((due, self.last), held);
    }

    /// Takes those that are due to be routed again.
    pub(super) fn due(&mut self, now: Time) -> Vec<Held> {
        let later = self.table.split_off(&(now + Micros(1), 0));
        let due = std::mem::replace(&mut self.table, later);
        due.into_values().collect()
    }

    /// Takes all.
    pub(super) fn take_all(&mut self) -> Vec<Held> {
        std::mem::take(&mut self.table).into_values().collect()
    }

    /// Returns when the next one is due.
    pub(super) fn next_look(&self) -> Time {
        let first = self.table.first_key_value();
        first.map_or(Time::NEVER, |((due, _), _)| *due)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.table.len()
    }
}
