//! Callers who wait for a submission to end.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use chervilring_wire::{CorrelationId, EntryId, SubmissionId, Time};
use rustc_hash::FxHashMap;

/// Whom a reply goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Caller {
    /// A caller connected to this entry.
    Local(CorrelationId),
    /// Another entry, on behalf of a caller there.
    Peer {
        /// The entry.
        entry: EntryId,
        /// Its ticket.
        ticket: CorrelationId,
    },
}

/// The callers who wait, by submission.
#[derive(Debug, Default)]
pub(super) struct WaitTable {
    table: FxHashMap<SubmissionId, Vec<Wait>>,
    expiries: BinaryHeap<Reverse<(Time, SubmissionId)>>,
    count: usize,
}

#[derive(Debug)]
struct Wait {
    caller: Caller,
    until: Time,
}

impl WaitTable {
    /// Adds a caller who waits until a point in time.
    pub(super) fn add(&mut self, id: SubmissionId, caller: Caller, until: Time) {
        if until < Time::NEVER {
            self.expiries.push(Reverse((until, id)));
        }
        self.table
            .entry(id)
            .or_default()
            .push(Wait { caller, until });
        self.count += 1;
    }

    /// Takes all callers who wait for a submission.
    pub(super) fn take(&mut self, id: SubmissionId) -> Vec<Caller> {
        let waits = self.table.remove(&id).unwrap_or_default();
        self.count -= waits.len();
        waits.into_iter().map(|wait| wait.caller).collect()
    }

    /// Takes all callers.
    pub(super) fn take_all(&mut self) -> Vec<Caller> {
        let mut ids: Vec<SubmissionId> = self.table.keys().copied().collect();
        ids.sort_unstable();
        ids.into_iter().flat_map(|id| self.take(id)).collect()
    }

    /// Takes the callers who wait no longer.
    pub(super) fn expired(&mut self, now: Time) -> Vec<(SubmissionId, Caller)> {
        let mut callers = Vec::new();
        while let Some(Reverse((until, id))) = self.expiries.peek().copied() {
            if until > now {
                break;
            }
            self.expiries.pop();
            self.take_expired(id, now, &mut callers);
        }
        self.count -= callers.len();
        callers
    }

    fn take_expired(
        &mut self,
        id: SubmissionId,
        now: Time,
        callers: &mut Vec<(SubmissionId, Caller)>,
    ) {
        let Some(waits) = self.table.get_mut(&id) else {
            return;
        };
        let expired = waits.extract_if(.., |wait| wait.until <= now);
        callers.extend(expired.map(|wait| (id, wait.caller)));
        if waits.is_empty() {
            self.table.remove(&id);
        }
    }

    /// Returns when the next caller stops waiting.
    pub(super) fn next_expiry(&self) -> Time {
        let first = self.expiries.peek();
        first.map_or(Time::NEVER, |Reverse((until, _))| *until)
    }

    /// Returns how many callers wait.
    pub(super) fn len(&self) -> usize {
        self.count
    }
}
