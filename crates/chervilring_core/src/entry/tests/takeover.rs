//! Tests of the verdict on requests that were taken over from a lost home.

use bytes::Bytes;
use chervilring_wire::{
    AgentId, AgentState, Announce, CorrelationId, EntryId, Incarnation, Kind, Load, Micros, Now,
    Origin, Reason, Reply, Revision, RingVersion, Submission, Verdict,
};

use super::{at, configured_entry, unstamped};
use crate::entry::forwards::{Forward, Passed};
use crate::entry::waits::Caller;
use crate::entry::{Entry, EntryStep};

/// A request whose caller's deadline is 5 s away.
pub(super) fn request(origin: Origin) -> Submission {
    Submission {
        id: unstamped(7),
        origin,
        kind: Kind::Request,
        service: "parts".into(),
        team: "t".into(),
        strict: false,
        remaining: Some(Micros::from_secs(5)),
        wait: None,
        media: "text/plain".into(),
        fingerprint: 1,
        bodies: vec![Bytes::from_static(b"x")],
    }
}

/// Has an upstream of the service be up.
fn add_upstream(entry: &mut Entry) {
    let agent = AgentId {
        name: "a1".into(),
        incarnation: Incarnation(1),
    };
    let announce = Announce {
        agent,
        domain: "norte".into(),
        state: AgentState::Ready,
        services: vec!["parts".into()],
        labels: Vec::new(),
        load: Load {
            slots: 3,
            ..Load::default()
        },
        ring: RingVersion::default(),
        revision: Revision(1),
    };
    entry.announce(at(0), &announce);
}

/// Loses the link to the home that a request was forwarded to.
fn lose_home(entry: &mut Entry, now: Now) {
    let home = EntryId {
        name: "e2".into(),
        incarnation: Incarnation(1),
    };
    entry.peer_up(now, &home);
    entry.forwards.add(Forward {
        caller: Caller::local(CorrelationId(9)),
        to: home.clone(),
        passed: Passed::Submission(Box::new(request(Origin::ClientKey))),
        deadline: now.mono + Micros::from_secs(5),
        until: now.mono + Micros::from_secs(6),
    });
    entry.peer_down(now, &home);
}

/// Runs the entry for 6 s and returns the failures that its callers got.
pub(super) fn failures(entry: &mut Entry, start: u64) -> Vec<(Verdict, Reason)> {
    let mut failures = Vec::new();
    for millis in (start..=start + 6_000).step_by(250) {
        entry.run(at(millis));
        for step in entry.drain() {
            let EntryStep::Reply { reply, .. } = step else {
                continue;
            };
            let Reply::Failed(failure) = reply else {
                panic!("{reply:?}");
            };
            failures.push((failure.verdict, failure.reason));
        }
    }
    failures
}

#[test]
fn a_request_taken_over_from_a_lost_home_and_refused_is_not_called_not_run() {
    let mut entry = configured_entry();
    lose_home(&mut entry, at(0));
    let told = failures(&mut entry, 0);
    assert_eq!(told, [(Verdict::MayHaveRun, Reason::NoUpstream)]);
}

#[test]
fn a_request_taken_over_from_a_lost_home_in_a_planned_stop_is_not_called_not_run() {
    let mut entry = configured_entry();
    add_upstream(&mut entry);
    entry.leave(at(0));
    lose_home(&mut entry, at(0));
    let told = failures(&mut entry, 0);
    assert_eq!(told, [(Verdict::MayHaveRun, Reason::Unavailable)]);
}

#[test]
fn a_request_taken_over_from_a_lost_home_and_never_started_is_not_called_not_run() {
    let mut entry = configured_entry();
    add_upstream(&mut entry);
    lose_home(&mut entry, at(0));
    let told = failures(&mut entry, 0);
    assert_eq!(told, [(Verdict::MayHaveRun, Reason::Deadline)]);
}

#[test]
fn a_request_taken_over_from_a_lost_home_without_authority_is_not_called_not_run() {
    let mut entry = configured_entry();
    add_upstream(&mut entry);
    for start in [0, 2_000] {
        lose_home(&mut entry, at(start));
    }
    let told = failures(&mut entry, 2_000);
    let refused = (Verdict::MayHaveRun, Reason::NoAuthority);
    assert_eq!(told, [refused, (Verdict::MayHaveRun, Reason::Deadline)]);
}

#[test]
fn a_request_that_was_not_forwarded_and_is_refused_is_called_not_run() {
    let mut entry = configured_entry();
    entry.submit(at(0), CorrelationId(9), request(Origin::Generated));
    let told = failures(&mut entry, 0);
    assert_eq!(told, [(Verdict::NotRun, Reason::NoUpstream)]);
}
