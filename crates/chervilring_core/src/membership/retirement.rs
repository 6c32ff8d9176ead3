//! Decides when past rings are retired.

use chervilring_wire::{EntryId, Incarnation, Micros, Name, PastRing, Ring, RingVersion, Time};
use rustc_hash::{FxHashMap, FxHashSet};

/// The ring that each entry has installed, and the time from which homes of the newest ring may
/// start ids that moved to them.
#[derive(Debug, Default)]
pub(crate) struct Retirement {
    installed: FxHashMap<EntryId, RingVersion>,
    incarnations: FxHashMap<Name, Incarnation>,
    declared_dead: FxHashSet<EntryId>,
    ready_at: Option<Time>,
}

impl Retirement {
    /// Records that an entry has installed a ring.
    pub(crate) fn record_installed(&mut self, entry: &EntryId, version: RingVersion) {
        let newest = self.installed.entry(entry.clone()).or_default();
        *newest = version.max(*newest);
        self.record_incarnation(entry);
    }

    /// Records an incarnation of an entry. Earlier incarnations have ended.
    pub(crate) fn record_incarnation(&mut self, entry: &EntryId) {
        let newest = self.incarnations.entry(entry.name.clone()).or_default();
        *newest = entry.incarnation.max(*newest);
    }

    /// Records that an operator declared an entry dead.
    pub(crate) fn declare_dead(&mut self, entry: &EntryId) {
        self.declared_dead.insert(entry.clone());
    }

    /// Returns whether an operator declared an entry dead.
    pub(crate) fn is_declared_dead(&self, entry: &EntryId) -> bool {
        self.declared_dead.contains(entry)
    }

    /// Returns the newest ring that an entry is known to have installed.
    pub(crate) fn installed_version(&self, entry: &EntryId) -> RingVersion {
        self.installed.get(entry).copied().unwrap_or_default()
    }

    /// Resets the state for a newer ring.
    pub(crate) fn reset(&mut self, ring: &Ring) {
        self.ready_at = None;
        let is_listed = |e: &EntryId| {
            ring.contains(e)
                || ring
                    .past
                    .iter()
                    .any(|past_ring| past_ring.members.contains(e))
        };
        self.installed.retain(|entry, _| is_listed(entry));
    }

    /// Checks whether members of past rings can still acknowledge a past ring to each other, and
    /// sets the time at which the homes of the newest ring are ready.
    pub(crate) fn update(&mut self, now: Time, ring: &Ring, wait: Micros, block: bool) {
        if ring.retired >= ring.version {
            self.ready_at = Some(self.ready_at.map_or(now, |ready| ready.min(now)));
            return;
        }
        if self.ready_at.is_some() {
            return;
        }
        if self.all_installed(ring) {
            self.ready_at = Some(now);
        } else if !block || self.past_majorities_blocked(ring) {
            self.ready_at = Some(now + wait);
        }
    }

    /// Returns when homes of the newest ring may start ids that moved to them, or `None` while that
    /// is unknown.
    pub(crate) fn ready_at(&self) -> Option<Time> {
        self.ready_at
    }

    /// Returns whether no unretired past ring has a majority of members that know no newer ring.
    fn past_majorities_blocked(&self, ring: &Ring) -> bool {
        unretired(ring).is_some_and(|mut past| {
            past.all(|past_ring| {
                let rest = past_ring
                    .members
                    .iter()
                    .filter(|e| !self.has_left(e, past_ring.version));
                rest.count() < past_ring.members.len() / 2 + 1
            })
        })
    }

    /// Returns whether every member of the unretired past rings has installed a newer one, so that
    /// none of them has authority under a past ring.
    fn all_installed(&self, ring: &Ring) -> bool {
        unretired(ring).is_some_and(|mut past| {
            past.all(|past_ring| {
                past_ring
                    .members
                    .iter()
                    .all(|e| self.installed_version(e) > past_ring.version)
            })
        })
    }

    /// Returns whether an entry no longer acknowledges a ring.
    fn has_left(&self, entry: &EntryId, version: RingVersion) -> bool {
        let newest = self
            .incarnations
            .get(&entry.name)
            .copied()
            .unwrap_or_default();
        self.installed_version(entry) > version
            || newest > entry.incarnation
            || self.declared_dead.contains(entry)
    }
}

/// Returns the unretired past rings, or `None` if some of them are unknown.
fn unretired(ring: &Ring) -> Option<impl Iterator<Item = &PastRing>> {
    let past = ring
        .past
        .iter()
        .filter(|past_ring| past_ring.version >= ring.retired);
    let count = (ring.version.0 - ring.retired.0) as usize;
    (past.clone().count() >= count).then_some(past)
}
