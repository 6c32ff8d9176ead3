//! Builds the rings that follow from a change of members.

use chervilring_wire::{EntryId, Member, Name, PastRing, Ring, RingVersion};

use super::constants::{KEPT_PAST_RINGS, UNRETIRED_RING_LIMIT};

/// Returns the first ring, with one member.
pub(crate) fn first_ring(member: &Member) -> Ring {
    Ring {
        version: RingVersion(1),
        retired: RingVersion(1),
        members: vec![member.clone()],
        past: Vec::new(),
    }
}

/// Returns the next version of `ring`, with other members.
pub(crate) fn with_members(ring: &Ring, mut members: Vec<Member>) -> Ring {
    members.sort_unstable_by(|a, b| a.entry.cmp(&b.entry));
    let mut past = ring.past.clone();
    past.push(PastRing::from(ring));
    let surplus_count = past.len().saturating_sub(KEPT_PAST_RINGS);
    let surplus = past.iter().take(surplus_count);
    let drop = surplus.take_while(|old| old.version < ring.retired).count();
    past.drain(..drop);
    Ring {
        version: RingVersion(ring.version.0 + 1),
        retired: ring.retired,
        members,
        past,
    }
}

/// Returns the next version of `ring`, in which a draining member is no longer the home of any id.
pub(crate) fn with_draining(ring: &Ring, entry: &EntryId) -> Ring {
    let mut members = ring.members.clone();
    for member in members.iter_mut().filter(|m| m.entry == *entry) {
        member.draining = true;
    }
    with_members(ring, members)
}

/// Returns the ring with all past rings retired.
pub(crate) fn with_past_retired(ring: &Ring) -> Ring {
    Ring {
        retired: ring.version,
        ..ring.clone()
    }
}

/// Returns whether the ring may still be replaced before the past rings are retired.
pub(crate) fn below_unretired_limit(ring: &Ring) -> bool {
    ((ring.version.0 - ring.retired.0) as usize) < UNRETIRED_RING_LIMIT
}

/// Returns the ids of a ring's members.
pub(crate) fn member_ids(ring: &Ring) -> Vec<EntryId> {
    ring.members.iter().map(|m| m.entry.clone()).collect()
}

/// Returns the names of entries.
pub(crate) fn entry_names(entries: &[EntryId]) -> Vec<Name> {
    entries.iter().map(|e| e.name.clone()).collect()
}

/// Returns the known rings from `old` to `new`, oldest first.
pub(crate) fn ring_chain(old: &Ring, new: &Ring) -> Vec<PastRing> {
    let mut chain = Vec::new();
    if old.version.0 > 0 {
        chain.push(PastRing::from(old));
    }
    let between = new.past.iter().filter(|r| r.version > old.version);
    chain.extend(between.cloned());
    chain.push(PastRing::from(new));
    chain
}
