//! The membership alone: sizes of heartbeats, limits, eviction, and too few members left.

use chervilring_core::membership::{
    LEASE, MemberSettings, MemberStep, Membership, Standing, StoreCall, StoreEvent,
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

/// A member `a` of a settled ring whose peers' links are up.
fn joined(names: &[&str]) -> Membership {
    let settings = MemberSettings::builder(member("a")).build();
    let mut membership = Membership::new(settings, at(0));
    let live: Vec<EntryId> = names.iter().map(|name| member(name).entry).collect();
    renewed(&mut membership, 1, &ring(1, names), &live);
    for peer in live.iter().filter(|e| &*e.name != "a") {
        membership.peer_up(at(1), peer);
    }
    membership
}

fn renewed(membership: &mut Membership, millis: u64, ring: &Ring, live: &[EntryId]) {
    membership.store(
        at(millis),
        StoreEvent::Renewed {
            sent: at(millis).mono,
            kept: true,
            ring: Some((1, ring.clone())),
            live: live.to_vec(),
        },
    );
}

/// Ticks and returns the heartbeats sent.
fn beats(membership: &mut Membership, millis: u64) -> Vec<(EntryId, Heartbeat)> {
    membership.tick(at(millis));
    let steps = membership.drain().into_iter();
    let beats = steps.filter_map(|step| match step {
        MemberStep::Peer {
            to,
            message: PeerMessage::Heartbeat(beat),
        } => Some((to, beat)),
        _ => None,
    });
    beats.collect()
}

/// Ticks, confirms the heartbeats and returns the bytes of their frames.
fn confirmed(membership: &mut Membership, millis: u64) -> usize {
    let ring = membership.ring().clone();
    let mut bytes = 0;
    for (to, beat) in beats(membership, millis) {
        membership.confirm(at(millis + 1), &to, beat.correlation, &ring);
        let mut frame = Vec::new();
        write_frame(&mut frame, &PeerMessage::Heartbeat(beat)).expect("a frame");
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

fn unstamped(n: usize) -> SubmissionId {
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
fn agents_are_listed_until_confirmed_and_not_again() {
    let mut membership = joined(&["a", "b"]);
    confirmed(&mut membership, 10);
    let rest = confirmed(&mut membership, 300);
    for n in 0..13_000 {
        membership.agent_up(at(400), &agent(n));
    }
    let mut sent = 0;
    for k in 0..20 {
        sent += confirmed(&mut membership, 700 + k * 300);
    }
    assert_eq!(membership.drain_allowed().len(), 13_000);
    assert_eq!(confirmed(&mut membership, 10_000), rest, "bytes at rest");
    println!("rest {rest} bytes, 13000 agents {sent} bytes in 20 heartbeats");
}

#[test]
fn started_ids_ride_on_heartbeats_until_confirmed() {
    let mut membership = joined(&["a", "b"]);
    confirmed(&mut membership, 10);
    let rest = confirmed(&mut membership, 300);
    for n in 0..10_000 {
        membership.record_started(unstamped(n));
    }
    let mut sent = 0;
    for k in 0..4 {
        sent += confirmed(&mut membership, 600 + k * 300) - rest;
    }
    assert_eq!(confirmed(&mut membership, 5_000), rest, "bytes at rest");
    println!("10000 ids {sent} bytes");
}

#[test]
fn a_full_table_of_started_ids_tells_no_peer_that_it_is_whole() {
    let settings = MemberSettings::builder(member("a")).unstamped(10).build();
    let mut membership = Membership::new(settings, at(0));
    let b = member("b").entry;
    renewed(&mut membership, 1, &ring(1, &["a", "b"]), &[]);
    membership.peer_up(at(1), &b);
    for n in 0..100 {
        membership.record_started(unstamped(n));
    }
    assert_eq!(membership.status(at(2)).started, 10);
    let beats = beats(&mut membership, 300);
    assert!(beats.iter().all(|(_, beat)| !beat.complete));
    assert!(!beats.is_empty());
}

#[test]
fn a_ring_of_one_needs_nobody_and_a_ring_of_two_needs_both() {
    let one = joined(&["a"]);
    assert!(one.authority(at(60_000)).is_some());
    let two = joined(&["a", "b"]);
    assert!(two.authority(at(1_000)).is_some(), "the store confirmed it");
    assert!(two.authority(at(2_100)).is_none(), "neither store nor peer");
}

#[test]
fn leases_that_lapsed_in_an_outage_evict_nobody() {
    let mut membership = joined(&["a", "b", "c"]);
    let ring = membership.ring().clone();
    let own = [member("a").entry];
    membership.drain();
    // The store comes back after a minute, and only this entry has renewed its lease yet.
    renewed(&mut membership, 60_000, &ring, &own);
    assert_eq!(proposals(&mut membership), []);
    let mut evicted = None;
    for k in 1..10 {
        let millis = 60_000 + k * 1_000;
        renewed(&mut membership, millis, &ring, &own);
        if !proposals(&mut membership).is_empty() && evicted.is_none() {
            evicted = Some(Micros::from_millis(millis - 60_000));
        }
    }
    assert_eq!(evicted, Some(LEASE), "after a whole lease with the store");
}

#[test]
fn an_operator_declares_dead_what_the_rest_cannot_settle() {
    let mut membership = joined(&["a", "b", "c"]);
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
    renewed(&mut membership, 10_000, &next, &own);
    let moved = (0..1_000).map(unstamped).find(|id| {
        let home = old.home(*id).expect("a home");
        &*home.entry.name != "a"
    });
    let moved = moved.expect("an id from elsewhere");
    // Neither of the lost ones can be shown not to confirm the other.
    let late = membership.standing(at(60_000), moved);
    assert!(matches!(late, Standing::Wait(_)), "{late:?}");
    membership.declare_dead(at(60_000), &"b".into());
    membership.tick(at(65_000));
    membership.tick(at(70_000));
    let after = membership.standing(at(70_000), moved);
    assert_eq!(after, Standing::MayHaveRun, "settled, but in doubt");
}
