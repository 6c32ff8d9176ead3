//! Tests of admission: which submissions are refused, for which reason, with which retry delay.

use chervilring_core::dispatch::Work;
use chervilring_wire::{EntryId, Failure, Incarnation, Kind, Load, Micros, Reason, Time, Verdict};

use super::fixture::{Fixture, SLOTS, done, quota, service};

fn reason(result: &Result<(), Failure>) -> Option<Reason> {
    let failure = result.as_ref().err()?;
    assert_eq!(failure.verdict, Verdict::NotRun);
    Some(failure.reason)
}

/// Submits requests until one is refused; returns how many were accepted.
fn fill(fixture: &mut Fixture, make: impl Fn(Work) -> Work) -> (u128, Failure) {
    for id in 1..100_000 {
        let work = make(fixture.work(id, Kind::Request, 1));
        if let Err(failure) = fixture.dispatcher.submit(fixture.now, work) {
            return (id - 1, failure);
        }
    }
    panic!("no submission was refused");
}

#[test]
fn slots_held_by_other_entries_do_not_cause_refusals() {
    let mut fixture = Fixture::new(2, service());
    let other = EntryId {
        name: "e2".into(),
        incarnation: Incarnation(1),
    };
    fixture
        .dispatcher
        .update_peer_demand(fixture.now, &other, &[]);
    // One slot of eight is free.
    for (agent, running) in fixture.agents.clone().iter().zip([SLOTS, SLOTS - 1]) {
        let load = Load {
            slots: SLOTS,
            running,
            waiting: 0,
        };
        fixture.dispatcher.update_load(fixture.now, agent, load);
    }
    let work = fixture.work(1, Kind::Job, 40);
    assert_eq!(reason(&fixture.submit(work)), None);
}

#[test]
fn work_that_can_never_run_is_refused_at_once() {
    let mut fixture = Fixture::new(2, service());
    let mut work = fixture.work(1, Kind::Request, 1);
    work.service = "unheard-of".into();
    assert_eq!(reason(&fixture.submit(work)), Some(Reason::UnknownService));
    let work = fixture.work(2, Kind::Job, 2_001);
    assert_eq!(reason(&fixture.submit(work)), Some(Reason::TooLarge));
    let mut work = fixture.work(3, Kind::Request, 1);
    work.deadline = fixture.now + Micros(100);
    assert_eq!(reason(&fixture.submit(work)), Some(Reason::Deadline));
    let mut empty = Fixture::new(0, service());
    let work = empty.work(4, Kind::Request, 1);
    assert_eq!(reason(&empty.submit(work)), Some(Reason::NoUpstream));
    assert!(fixture.starts.is_empty() && fixture.ended.is_empty());
}

#[test]
fn queue_is_bounded() {
    let mut service = service();
    service.limits.queue = 50;
    let mut fixture = Fixture::new(2, service);
    let (accepted, failure) = fill(&mut fixture, |work| work);
    assert_eq!(accepted, 50);
    assert_eq!(failure.reason, Reason::Overload);
    assert!(failure.retry_after.is_some());
}

#[test]
fn memory_for_bodies_is_bounded() {
    let mut service = service();
    service.limits.queue = 100_000;
    service.limits.body_bytes = 64 << 20;
    let mut fixture = Fixture::new(2, service);
    let body = bytes::Bytes::from(vec![0; 48 << 20]);
    let (accepted, failure) = fill(&mut fixture, |mut work| {
        work.bodies = vec![body.clone()];
        work
    });
    assert_eq!(accepted, 10, "512 MiB hold ten bodies of 48 MiB");
    assert_eq!(failure.reason, Reason::Overload);
}

#[test]
fn work_that_would_miss_its_deadline_is_refused_with_an_accurate_retry_after() {
    let mut fixture = Fixture::new(2, service());
    let work_due_soon = |fixture: &Fixture, id| {
        let mut work = fixture.work(id, Kind::Request, 1);
        work.deadline = fixture.now + Micros::from_secs(2);
        work
    };
    let mut id = 0;
    let refused = loop {
        id += 1;
        let work = work_due_soon(&fixture, id);
        if let Err(failure) = fixture.submit(work) {
            break failure;
        }
    };
    assert_eq!(refused.reason, Reason::Deadline);
    let wait = refused.retry_after.expect("a later submission can succeed");
    // Eight slots of 100 ms drain the queue; after the given delay a submission must fit again.
    let until = fixture.now + wait;
    while fixture.now < until {
        fixture.advance(Micros::from_millis(100));
        for key in fixture.in_flight.keys().copied().collect::<Vec<_>>() {
            fixture.answer(key, done(key));
        }
    }
    let work = work_due_soon(&fixture, 100_000);
    assert!(fixture.submit(work).is_ok(), "refused again after {wait:?}");
}

#[test]
fn quota_is_enforced_and_shared_with_peers() {
    let mut service = service();
    service.quotas.insert("norte".into(), quota(100, 20));
    let mut fixture = Fixture::new(2, service.clone());
    let (accepted, failure) = fill(&mut fixture, |work| work);
    assert_eq!((accepted, failure.reason), (20, Reason::Quota));
    let mut shared = Fixture::new(2, service);
    let peer = EntryId {
        name: "entry-2".into(),
        incarnation: Incarnation(1),
    };
    let demand = [("norte".into(), 1_000)];
    shared
        .dispatcher
        .update_peer_demand(shared.now, &peer, &demand);
    let (accepted, _) = fill(&mut shared, |work| work);
    assert!(
        accepted <= 1,
        "{accepted} accepted although all demand is at the peer"
    );
}

#[test]
fn flooding_team_does_not_starve_others() {
    let mut fixture = Fixture::new(2, service());
    for id in 1..=400 {
        let mut work = fixture.work(id, Kind::Request, 1);
        work.team = "flood".into();
        work.deadline = Time::NEVER;
        fixture.submit(work).expect("the queue has capacity");
    }
    for round in 0..40u128 {
        let mut work = fixture.work(1_000 + round, Kind::Request, 1);
        work.team = "sur".into();
        fixture.submit(work).expect("the queue has capacity");
        fixture.advance(Micros::from_millis(100));
        for key in fixture.in_flight.keys().copied().collect::<Vec<_>>() {
            fixture.answer(key, done(key));
        }
    }
    let small = (1_000..1_030).filter(|id| fixture.result(*id).is_some());
    assert_eq!(small.count(), 30, "all requests of the small team complete");
    let large = (1..=400).filter(|id| fixture.result(*id).is_some());
    assert!(
        large.count() >= 200,
        "the large team gets the remaining capacity"
    );
}

#[test]
fn nothing_starts_without_authority() {
    let mut fixture = Fixture::new(2, service());
    fixture.authority = None;
    let work = fixture.work(1, Kind::Request, 1);
    fixture.submit(work).expect("the queue has capacity");
    fixture.authority = Some(fixture.now);
    fixture.run();
    assert!(fixture.starts.is_empty());
    fixture.authority = Some(fixture.now + Micros(1));
    fixture.run();
    assert_eq!(fixture.starts.len(), 1);
}
