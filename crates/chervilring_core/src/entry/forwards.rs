//! Submissions and queries on their way to another entry.

use std::collections::BTreeSet;

use chervilring_wire::{CorrelationId, EntryId, Ring, Submission, Time};
use rustc_hash::FxHashMap;

use super::waits::Caller;

/// What was passed on.
#[derive(Debug)]
pub(super) enum Passed {
    /// A submission, kept so that it can be passed on again.
    Submission(Box<Submission>),
    /// A query.
    Query,
}

/// Something on its way to another entry.
#[derive(Debug)]
pub(super) struct Forward {
    /// Whom the reply goes to.
    pub(super) caller: Caller,
    /// The entry that was asked.
    pub(super) to: EntryId,
    /// What it was asked.
    pub(super) passed: Passed,
    /// When the caller's deadline is over.
    pub(super) deadline: Time,
    /// Until when the reply is awaited.
    pub(super) until: Time,
}

/// All that is on its way.
#[derive(Debug, Default)]
pub(super) struct ForwardTable {
    table: FxHashMap<CorrelationId, Forward>,
    expiries: BTreeSet<(Time, CorrelationId)>,
    last: u64,
}

impl ForwardTable {
    /// Adds a forward and returns its ticket.
    pub(super) fn add(&mut self, forward: Forward) -> CorrelationId {
        self.last += 1;
        let ticket = CorrelationId(self.last);
        self.expiries.insert((forward.until, ticket));
        self.table.insert(ticket, forward);
        ticket
    }

    /// Takes the forward that an entry answers; a reply of any other entry counts for nothing.
    pub(super) fn answered(&mut self, from: &EntryId, ticket: CorrelationId) -> Option<Forward> {
        let forward = self.table.get(&ticket)?;
        if forward.to != *from {
            return None;
        }
        self.take(ticket)
    }

    fn take(&mut self, ticket: CorrelationId) -> Option<Forward> {
        let forward = self.table.remove(&ticket)?;
        self.expiries.remove(&(forward.until, ticket));
        Some(forward)
    }

    /// Takes the forwards whose reply is overdue.
    pub(super) fn expired(&mut self, now: Time) -> Vec<Forward> {
        let mut expired = Vec::new();
        while let Some((until, ticket)) = self.expiries.first().copied() {
            if until > now {
                break;
            }
            expired.extend(self.take(ticket));
        }
        expired
    }

    /// Takes all forwards.
    pub(super) fn take_all(&mut self) -> Vec<Forward> {
        self.take_where(|_| true)
    }

    /// Takes the forwards to an entry whose link is down.
    pub(super) fn lost(&mut self, entry: &EntryId) -> Vec<Forward> {
        self.take_where(|forward| forward.to == *entry)
    }

    /// Shortens the wait for entries that are not in the ring any more: one that left has answered
    /// all it took, so that its replies are close behind.
    pub(super) fn leave_ring(&mut self, ring: &Ring, until: Time) {
        for (ticket, forward) in &mut self.table {
            if !ring.contains(&forward.to) && forward.until > until {
                self.expiries.remove(&(forward.until, *ticket));
                forward.until = until;
                self.expiries.insert((until, *ticket));
            }
        }
    }

    fn take_where(&mut self, lost: impl Fn(&Forward) -> bool) -> Vec<Forward> {
        let matching = self.table.iter().filter(|(_, forward)| lost(forward));
        let mut tickets: Vec<CorrelationId> = matching.map(|(ticket, _)| *ticket).collect();
        tickets.sort_unstable();
        tickets.into_iter().filter_map(|t| self.take(t)).collect()
    }

    /// Returns when the next reply is overdue.
    pub(super) fn next_expiry(&self) -> Time {
        let first = self.expiries.first();
        first.map_or(Time::NEVER, |(until, _)| *until)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.table.len()
    }
}
