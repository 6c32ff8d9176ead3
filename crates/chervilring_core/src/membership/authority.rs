//! The authority of an entry to start work, and when it expires.

use chervilring_wire::{EntryId, Micros, Ring, Time};
use rustc_hash::FxHashMap;

/// The send times of the latest requests in which the store and each peer acknowledged the
/// installed ring. Authority counts from the send time, because the responder's knowledge may be
/// that old.
#[derive(Debug, Default)]
pub(crate) struct Authority {
    store_ack: Option<Time>,
    peer_acks: FxHashMap<EntryId, Time>,
}

impl Authority {
    /// Records that the store knew no newer ring, in answer to a request sent at `sent_at`.
    pub(crate) fn record_store_ack(&mut self, sent_at: Time) {
        self.store_ack = self.store_ack.max(Some(sent_at));
    }

    /// Records that a peer knew no newer ring, in answer to a heartbeat sent at `sent_at`.
    pub(crate) fn record_peer_ack(&mut self, peer: &EntryId, sent_at: Time) {
        let ack = self.peer_acks.entry(peer.clone()).or_insert(sent_at);
        *ack = sent_at.max(*ack);
    }

    /// Drops the acknowledgements of a past ring.
    pub(crate) fn reset(&mut self) {
        self.store_ack = None;
        self.peer_acks.clear();
    }

    /// Returns the latest time since which the store, or enough other members to form a majority
    /// with this entry, have acknowledged the ring.
    pub(crate) fn acked_since(&self, now: Time, ring: &Ring) -> Option<Time> {
        self.store_ack
            .max(self.acked_by_peers(now, ring, ring.majority() - 1))
    }

    /// Returns the latest time since which `count` other members have acknowledged the ring.
    pub(crate) fn acked_by_peers(&self, now: Time, ring: &Ring, count: usize) -> Option<Time> {
        if count == 0 {
            return Some(now);
        }
        let others = ring.members.iter();
        let mut acks: Vec<Time> = others
            .filter_map(|m| self.peer_acks.get(&m.entry).copied())
            .collect();
        acks.sort_unstable_by(|a, b| b.cmp(a));
        acks.get(count - 1).copied()
    }

    /// Returns the time at which the authority expires, or `None` if it has expired.
    pub(crate) fn deadline(&self, now: Time, ring: &Ring, duration: Micros) -> Option<Time> {
        let deadline = self.acked_since(now, ring)? + duration;
        (now < deadline).then_some(deadline)
    }
}
