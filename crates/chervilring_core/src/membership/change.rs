//! The next ring after a change.

use chervilring_wire::{EntryId, Member, Name, PastRing, Ring, RingVersion};

use super::constants::{OLDER_KEPT, OLDER_LIMIT};

/// Returns the first ring, with one member.
pub(crate) fn first(member: &Member) -> Ring {
    Ring {
        version: RingVersion(1),
        retired: RingVersion(1),
        members: vec![member.clone()],
        past: Vec::new(),
    }
}

/// Returns the ring with other members, as the one after `ring`.
pub(crate) fn replace(ring: &Ring, mut members: Vec<Member>) -> Ring {
    members.sort_unstable_by(|a, b| a.entry.cmp(&b.entry));
    let mut older = ring.past.clone();
    older.push(PastRing::from(ring));
    let spare = older.len().saturating_sub(OLDER_KEPT);
    let settled = older.iter().take(spare);
    let drop = settled.take_while(|old| old.version < ring.retired).count();
    older.drain(..drop);
    Ring {
        version: RingVersion(ring.version.0 + 1),
        retired: ring.retired,
        members,
        past: older,
    }
}

/// Returns the ring in which a member is the home of no id any more, as the one after `ring`.
pub(crate) fn drain(ring: &Ring, entry: &EntryId) -> Ring {
    let mut members = ring.members.clone();
    for member in members.iter_mut().filter(|m| m.entry == *entry) {
        member.draining = true;
    }
    replace(ring, members)
}

/// Returns the ring with all older ones out of force.
pub(crate) fn settle(ring: &Ring) -> Ring {
    Ring {
        retired: ring.version,
        ..ring.clone()
    }
}

/// Returns whether another ring may be put before the older ones are settled.
pub(crate) fn room(ring: &Ring) -> bool {
    ((ring.version.0 - ring.retired.0) as usize) < OLDER_LIMIT
}

/// Returns the ids of a ring's members.
pub(crate) fn ids(ring: &Ring) -> Vec<EntryId> {
    ring.members.iter().map(|m| m.entry.clone()).collect()
}

/// Returns the names of entries.
pub(crate) fn names(entries: &[EntryId]) -> Vec<Name> {
    entries.iter().map(|e| e.name.clone()).collect()
}

/// Returns the known rings from `old` to `new`, oldest first.
pub(crate) fn chain(old: &Ring, new: &Ring) -> Vec<PastRing> {
    let mut chain = Vec::new();
    if old.version.0 > 0 {
        chain.push(PastRing::from(old));
    }
    let between = new.past.iter().filter(|r| r.version > old.version);
    chain.extend(between.cloned());
    chain.push(PastRing::from(new));
    chain
}
