//! When older rings are out of force.

use chervilring_wire::{EntryId, Incarnation, Micros, Name, PastRing, Ring, RingVersion, Time};
use rustc_hash::{FxHashMap, FxHashSet};

/// Who adopted which ring, and when the newest one's homes may begin with ids that moved.
#[derive(Debug, Default)]
pub(crate) struct Settle {
    adopted: FxHashMap<EntryId, RingVersion>,
    lives: FxHashMap<Name, Incarnation>,
    dead: FxHashSet<EntryId>,
    ready: Option<Time>,
}

impl Settle {
    /// Notes that an entry has adopted a ring.
    pub(crate) fn adopted(&mut self, entry: &EntryId, version: RingVersion) {
        let known = self.adopted.entry(entry.clone()).or_default();
        *known = version.max(*known);
        self.lives(entry);
    }

    /// Notes a life of an entry: earlier ones have ended.
    pub(crate) fn lives(&mut self, entry: &EntryId) {
        let known = self.lives.entry(entry.name.clone()).or_default();
        *known = entry.incarnation.max(*known);
    }

    /// Notes an operator's word that an entry is dead.
    pub(crate) fn declare(&mut self, entry: &EntryId) {
        self.dead.insert(entry.clone());
    }

    /// Returns whether an operator declared an entry dead.
    pub(crate) fn declared(&self, entry: &EntryId) -> bool {
        self.dead.contains(entry)
    }

    /// Returns the newest ring that an entry is known to have adopted.
    pub(crate) fn version(&self, entry: &EntryId) -> RingVersion {
        self.adopted.get(entry).copied().unwrap_or_default()
    }

    /// Starts over for a newer ring.
    pub(crate) fn reset(&mut self, ring: &Ring) {
        self.ready = None;
        let named =
            |e: &EntryId| ring.contains(e) || ring.past.iter().any(|old| old.members.contains(e));
        self.adopted.retain(|entry, _| named(entry));
    }

    /// Looks whether the members of older rings can still confirm one to another.
    pub(crate) fn update(&mut self, now: Time, ring: &Ring, wait: Micros, block: bool) {
        if ring.retired >= ring.version {
            self.ready = Some(self.ready.map_or(now, |ready| ready.min(now)));
            return;
        }
        if self.ready.is_some() {
            return;
        }
        if self.all_adopted(ring) {
            self.ready = Some(now);
        } else if !block || self.blocked(ring) {
            self.ready = Some(now + wait);
        }
    }

    /// Returns when homes of the newest ring may begin with ids that moved, once that is known.
    pub(crate) fn ready(&self) -> Option<Time> {
        self.ready
    }

    /// Returns whether no older ring that is not settled has a majority that knows no newer one.
    fn blocked(&self, ring: &Ring) -> bool {
        open(ring).is_some_and(|mut open| {
            open.all(|old| {
                let rest = old.members.iter().filter(|e| !self.left(e, old.version));
                rest.count() < old.members.len() / 2 + 1
            })
        })
    }

    /// Returns whether every member of the older rings that are not settled is known to have
    /// adopted a newer one: none of them has authority under an older ring.
    fn all_adopted(&self, ring: &Ring) -> bool {
        open(ring).is_some_and(|mut open| {
            open.all(|old| old.members.iter().all(|e| self.version(e) > old.version))
        })
    }

    /// Returns whether an entry confirms a ring no more.
    fn left(&self, entry: &EntryId, version: RingVersion) -> bool {
        let life = self.lives.get(&entry.name).copied().unwrap_or_default();
        self.version(entry) > version || life > entry.incarnation || self.dead.contains(entry)
    }
}

/// Returns the older rings that are not settled, or `None` when not all of them are known.
fn open(ring: &Ring) -> Option<impl Iterator<Item = &PastRing>> {
    let open = ring.past.iter().filter(|old| old.version >= ring.retired);
    let all = (ring.version.0 - ring.retired.0) as usize;
    (open.clone().count() >= all).then_some(open)
}
