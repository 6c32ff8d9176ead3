//! The live leases as last read from the store, and for how long the store has been reachable.

use chervilring_wire::{EntryId, Micros, Time};
use rustc_hash::FxHashSet;

/// The store's live leases and the time since which the store has answered without a gap.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    continuous_since: Option<Time>,
    last_answer: Option<Time>,
    live: FxHashSet<EntryId>,
}

impl Leases {
    /// Records the store's answer to a renewal sent at `sent_at`.
    pub(crate) fn record_renewal(
        &mut self,
        now: Time,
        sent_at: Time,
        live: &[EntryId],
        lease: Micros,
    ) {
        let max_gap = Micros(lease.0 / 2);
        let unbroken = self
            .last_answer
            .is_some_and(|last| now.duration_since(last) <= max_gap);
        if !unbroken {
            self.continuous_since = Some(sent_at);
        }
        self.last_answer = Some(now);
        self.live = live.iter().cloned().collect();
    }

    /// Returns whether the store has answered without a gap for the duration of a lease.
    pub(crate) fn is_continuous(&self, now: Time, lease: Micros) -> bool {
        self.continuous_since
            .is_some_and(|since| now.duration_since(since) >= lease)
    }

    /// Returns whether the lease of this incarnation of an entry is live.
    pub(crate) fn is_live(&self, entry: &EntryId) -> bool {
        self.live.contains(entry)
    }

    /// Returns whether a later incarnation of the entry has a live lease.
    pub(crate) fn has_later_incarnation(&self, entry: &EntryId) -> bool {
        let later = |e: &EntryId| e.name == entry.name && e.incarnation > entry.incarnation;
        self.live.iter().any(later)
    }
}
