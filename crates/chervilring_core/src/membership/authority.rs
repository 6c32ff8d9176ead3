//! Until when an entry may start work.

use chervilring_wire::{EntryId, Micros, Ring, Time};
use rustc_hash::FxHashMap;

/// What the store and the peers confirmed, and when that was asked for.
#[derive(Debug, Default)]
pub(crate) struct Authority {
    store: Option<Time>,
    peers: FxHashMap<EntryId, Time>,
}

impl Authority {
    /// Notes that the store, asked at `sent`, knew no newer ring.
    pub(crate) fn store(&mut self, sent: Time) {
        self.store = self.store.max(Some(sent));
    }

    /// Notes that a peer, asked at `sent`, knew no newer ring.
    pub(crate) fn peer(&mut self, peer: &EntryId, sent: Time) {
        let time = self.peers.entry(peer.clone()).or_insert(sent);
        *time = sent.max(*time);
    }

    /// Forgets the confirmations of an older ring.
    pub(crate) fn reset(&mut self) {
        self.store = None;
        self.peers.clear();
    }

    /// Returns the latest time since which the store, or so many other members that they and the
    /// entry itself are a majority, have confirmed the ring.
    pub(crate) fn since(&self, now: Time, ring: &Ring) -> Option<Time> {
        self.store
            .max(self.majority(now, ring, ring.majority() - 1))
    }

    /// Returns the latest time since which `count` other members have confirmed the ring.
    pub(crate) fn majority(&self, now: Time, ring: &Ring, count: usize) -> Option<Time> {
        if count == 0 {
            return Some(now);
        }
        let others = ring.members.iter();
        let mut times: Vec<Time> = others
            .filter_map(|m| self.peers.get(&m.entry).copied())
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(count - 1).copied()
    }

    /// Returns until when work may be started.
    pub(crate) fn until(&self, now: Time, ring: &Ring, span: Micros) -> Option<Time> {
        let until = self.since(now, ring)? + span;
        (now < until).then_some(until)
    }
}
