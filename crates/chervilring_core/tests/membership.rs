//! Membership without the rest of the entry: heartbeat sizes, limits, eviction, and rings whose
//! members are mostly lost.

use chervilring_core::membership::{
    IdStatus, LEASE_DURATION, MemberSettings, MemberStep, Membership, StoreCall, StoreEvent,
};
use chervilring_wire::codec::write_frame;
use chervilring_wire::{
    AgentId, EntryId, Heartbeat, Incarnation, Member, Micros, Now, PeerMessage, Ring, RingVersion,
    SubmissionId, Time, Timestamp,
};

fn at(millis: u64) -> Now {
    Now {
        mono: Time(millis * 1_000),
        wall: Timestamp(1_700_000_000_000 + millis),
    }
}

fn member(name: &str) -> Member {
    Member {
        entry: EntryId {
            name: name.into(),
            incarnation: Incarnation(1),
        },
        domain: "norte".into(),
        addr: ([127, 0, 0, 1], 4_000).into(),
        draining: false,
    }
}

fn ring(version: u64, names: &[&str]) -> Ring {
    Ring {
        version: RingVersion(version),
        retired: RingVersion(version),
        members: names.iter().map(|name| member(name)).collect(),
        past: Vec::new(),
    }
}

/// Returns the membership of `a` in a ring without unretired past rings, with links to all peers.
fn joined_member(names: &[&str]) -> Membership {
    let settings = MemberSettings::builder(member("a")).build();
    let mut membership = Membership::new(settings, at(0));
    let live_entries: Vec<EntryId> = names.iter().map(|name| member(name).entry).collect();
    renew(&mut membership, 1, &ring(1, names), &live_entries);
    for peer in live_entries.iter().filter(|e| &*e.name != "a") {
        membership.peer_up(at(1), peer);
    }
    membership
}

fn renew(membership: &mut Membership, millis: u64, ring: &Ring, live_entries: &[EntryId]) {
    membership.handle_store_event(
        at(millis),
        StoreEvent::Renewed {
            sent_at: at(millis).mono,
            lease_held: true,
            ring: Some((1, ring.clone())),
            live_entries: live_entries.to_vec(),
        },
    );
}

/// Ticks and returns the heartbeats to send.
fn heartbeats(membership: &mut Membership, millis: u64) -> Vec<(EntryId, Heartbeat)> {
    membership.tick(at(millis));
    let steps = membership.drain().into_iter();
    let heartbeats = steps.filter_map(|step| match step {
        MemberStep::Peer {
            to,
            message: PeerMessage::Heartbeat(heartbeat),
        } => Some((to, heartbeat)),
        _ => None,
    });
    heartbeats.collect()
}

/// Ticks, acknowledges the heartbeats and returns the size of their frames in bytes.
fn acknowledge_heartbeats(membership: &mut Membership, millis: u64) -> usize {
    let ring = membership.ring().clone();
    let mut bytes = 0;
    for (to, heartbeat) in heartbeats(membership, millis) {
        membership.heartbeat_ack(at(millis + 1), &to, heartbeat.correlation, &ring);
        let mut frame = Vec::new();
        write_frame(&mut frame, &PeerMessage::Heartbeat(heartbeat)).expect("a frame");
        bytes += frame.len();
    }
    bytes
}

fn agent(n: usize) -> AgentId {
    AgentId {
        name: format!("worker-{n:05}").into(),
        incarnation: Incarnation(1_700_000_000_000),
    }
}

fn untimestamped(n: usize) -> SubmissionId {
    SubmissionId::from_key(&format!("order {n}"))
}

/// Returns the proposed rings in the steps.
fn proposals(membership: &mut Membership) -> Vec<Ring> {
    let steps = membership.drain().into_iter();
    let rings = steps.filter_map(|step| match step {
        MemberStep::Store(StoreCall::Cas { ring, .. }) => Some(ring),
        _ => None,
    });
    rings.collect()
}

#[test]
fn heartbeats_list_agents_until_acknowledged() {
    let mut membership = joined_member(&["a", "b"]);
    acknowledge_heartbeats(&mut membership, 10);
    let rest = acknowledge_heartbeats(&mut membership, 300);
    for n in 0..13_000 {
        membership.add_agent(at(400), &agent(n));
    }
    let mut sent = 0;
    for k in 0..20 {
        sent += acknowledge_heartbeats(&mut membership, 700 + k * 300);
    }
    assert_eq!(membership.drain_allowed().len(), 13_000);
    assert_eq!(
        acknowledge_heartbeats(&mut membership, 10_000),
        rest,
        "bytes at rest"
    );
    println!("rest {rest} bytes, 13000 agents {sent} bytes in 20 heartbeats");
}

#[test]
fn heartbeats_carry_started_ids_until_acknowledged() {
    let mut membership = joined_member(&["a", "b"]);
    acknowledge_heartbeats(&mut membership, 10);
    let rest = acknowledge_heartbeats(&mut membership, 300);
    for n in 0..10_000 {
        membership.record_started(untimestamped(n));
    }
    let mut sent = 0;
    for k in 0..4 {
        sent += acknowledge_heartbeats(&mut membership, 600 + k * 300) - rest;
    }
    assert_eq!(
        acknowledge_heartbeats(&mut membership, 5_000),
        rest,
        "bytes at rest"
    );
    println!("10000 ids {sent} bytes");
}

#[test]
fn heartbeats_are_incomplete_once_started_ids_overflow() {
    let settings = MemberSettings::builder(member("a"))
        .untimestamped(10)
        .build();
    let mut membership = Membership::new(settings, at(0));
    let b = member("b").entry;
    renew(&mut membership, 1, &ring(1, &["a", "b"]), &[]);
    membership.peer_up(at(1), &b);
    for n in 0..100 {
        membership.record_started(untimestamped(n));
    }
    assert_eq!(membership.status(at(2)).started, 10);
    let heartbeats = heartbeats(&mut membership, 300);
    assert!(heartbeats.iter().all(|(_, heartbeat)| !heartbeat.complete));
    assert!(!heartbeats.is_empty());
}

#[test]
fn authority_expires_without_acknowledgements_except_in_a_ring_of_one() {
    let one = joined_member(&["a"]);
    assert!(one.authority(at(60_000)).is_some());
    let two = joined_member(&["a", "b"]);
    assert!(
        two.authority(at(1_000)).is_some(),
        "the store acknowledged the ring"
    );
    assert!(
        two.authority(at(2_100)).is_none(),
        "neither the store nor the peer acknowledged the ring"
    );
}

#[test]
fn leases_expired_in_an_outage_evict_nobody() {
    let mut membership = joined_member(&["a", "b", "c"]);
    let ring = membership.ring().clone();
    let own = [member("a").entry];
    membership.drain();
    // The store is back after a minute, and only this entry has renewed its lease so far.
    renew(&mut membership, 60_000, &ring, &own);
    assert_eq!(proposals(&mut membership), []);
    let mut evicted = None;
    for k in 1..10 {
        let millis = 60_000 + k * 1_000;
        renew(&mut membership, millis, &ring, &own);
        if !proposals(&mut membership).is_empty() && evicted.is_none() {
            evicted = Some(Micros::from_millis(millis - 60_000));
        }
    }
    assert_eq!(
        evicted,
        Some(LEASE_DURATION),
        "evicted once the store was reachable for the duration of a lease"
    );
}

#[test]
fn declaring_an_entry_dead_unblocks_the_retirement_of_its_ring() {
    let mut membership = joined_member(&["a", "b", "c"]);
    let old = membership.ring().clone();
    let mut next = ring(2, &["a"]);
    next.retired = RingVersion(1);
    let members: Vec<EntryId> = old.members.iter().map(|m| m.entry.clone()).collect();
    next.past = vec![chervilring_wire::PastRing {
        version: RingVersion(1),
        homes: members.clone(),
        members,
    }];
    let own = [member("a").entry];
    for name in ["b", "c"] {
        membership.peer_down(at(2), &member(name).entry);
    }
    renew(&mut membership, 10_000, &next, &own);
    let moved_id = (0..1_000).map(untimestamped).find(|id| {
        let home = old.home(*id).expect("a home");
        &*home.entry.name != "a"
    });
    let moved_id = moved_id.expect("an id whose home is another entry");
    // Neither lost entry is known to have stopped acknowledging the old ring to the other.
    let before = membership.id_status(at(60_000), moved_id);
    assert!(matches!(before, IdStatus::Wait(_)), "{before:?}");
    membership.declare_dead(at(60_000), &"b".into());
    membership.tick(at(65_000));
    membership.tick(at(70_000));
    let after = membership.id_status(at(70_000), moved_id);
    assert_eq!(after, IdStatus::MayHaveRun, "retired, but in doubt");
}
