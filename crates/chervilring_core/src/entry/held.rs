//! Submissions that wait for their home to be settled.

use chervilring_wire::{Submission, Time};

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

/// The submissions that wait.
#[derive(Debug, Default)]
pub(super) struct HeldTable {
    table: Vec<Held>,
}

impl HeldTable {
    pub(super) fn add(&mut self, held: Held) {
        self.table.push(held);
    }

    /// Takes those that are due to be routed again.
    pub(super) fn due(&mut self, now: Time) -> Vec<Held> {
        let due = |held: &mut Held| held.look_at <= now || held.deadline <= now;
        self.table.extract_if(.., due).collect()
    }

    /// Takes all.
    pub(super) fn take_all(&mut self) -> Vec<Held> {
        std::mem::take(&mut self.table)
    }

    /// Returns when the next one is due.
    pub(super) fn next_look(&self) -> Time {
        let looks = self
            .table
            .iter()
            .map(|held| held.look_at.min(held.deadline));
        looks.min().unwrap_or(Time::NEVER)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.table.len()
    }
}
