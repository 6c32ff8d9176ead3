//! Which leases are alive, as seen by an entry that had the store throughout.

use chervilring_wire::{EntryId, Micros, Time};
use rustc_hash::FxHashSet;

/// The store's leases and since when the store has answered without a gap.
#[derive(Debug, Default)]
pub(crate) struct Presence {
    since: Option<Time>,
    last: Option<Time>,
    live: FxHashSet<EntryId>,
}

impl Presence {
    /// Notes an answer of the store, asked at `sent`.
    pub(crate) fn renewed(&mut self, now: Time, sent: Time, live: &[EntryId], lease: Micros) {
        let gap = Micros(lease.0 / 2);
        let held = self
            .last
            .is_some_and(|last| now.duration_since(last) <= gap);
        if !held {
            self.since = Some(sent);
        }
        self.last = Some(now);
        self.live = live.iter().cloned().collect();
    }

    /// Returns whether the store has answered without a gap for a whole lease.
    pub(crate) fn throughout(&self, now: Time, lease: Micros) -> bool {
        self.since
            .is_some_and(|since| now.duration_since(since) >= lease)
    }

    /// Returns whether the lease of this very life of an entry is alive.
    pub(crate) fn alive(&self, entry: &EntryId) -> bool {
        self.live.contains(entry)
    }

    /// Returns whether a later life of the entry has a lease.
    pub(crate) fn succeeded(&self, entry: &EntryId) -> bool {
        let later = |e: &EntryId| e.name == entry.name && e.incarnation > entry.incarnation;
        self.live.iter().any(later)
    }
}
