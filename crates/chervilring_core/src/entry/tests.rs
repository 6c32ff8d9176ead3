//! Tests of the entry's tables.

mod full;
mod takeover;

use bytes::Bytes;
use chervilring_wire::{
    AgentId, ConfigBlob, CorrelationId, EntryId, EntryMessage, Failure, Incarnation, Member,
    Micros, Now, Origin, Reason, Reply, Revision, SubmissionId, TaskOutput, Time, Timestamp,
    Verdict,
};
use quickcheck::{Gen, QuickCheck};

use super::ids::{IdTable, Known};
use super::limits::{Limits, LimitsBuilder};
use super::waits::{Address, Caller, WaitTable};
use super::{Entry, EntryStep};
use crate::dispatch::{DispatchSettings, Dispatcher};
use crate::membership::{MemberSettings, Membership};

const WINDOW: Micros = Micros::from_secs(60);
const SKEW: Micros = Micros::from_secs(2);
const START: u64 = 1_700_000_000_000;

fn limits() -> LimitsBuilder {
    Limits::builder().window(WINDOW).skew(SKEW)
}

/// The time `millis` after the start, on both clocks.
fn at(millis: u64) -> Now {
    Now {
        mono: Time(millis * 1_000),
        wall: Timestamp(START + millis),
    }
}

/// The `n`th id stamped `millis` after the start.
fn stamped(millis: u64, n: u64) -> SubmissionId {
    let stamp = u128::from(START + millis) << 80;
    SubmissionId(stamp | (7 << 76) | (0b10 << 62) | u128::from(n))
}

fn unstamped(n: u64) -> SubmissionId {
    SubmissionId::from_key(&format!("key {n}"))
}

fn complete(bytes: usize) -> Reply {
    Reply::Complete(vec![TaskOutput {
        status: 200,
        media: "text/plain".into(),
        body: Bytes::from(vec![0; bytes]),
    }])
}

fn failed(verdict: Verdict, reason: Reason) -> Reply {
    Reply::Failed(Failure {
        verdict,
        reason,
        retry_after: None,
    })
}

/// An entry that knows an idempotent service, outside any ring.
fn configured_entry() -> Entry {
    entry_with(&limits().build())
}

fn entry_with(limits: &Limits) -> Entry {
    let id = EntryId {
        name: "e1".into(),
        incarnation: Incarnation(1),
    };
    let member = Member {
        entry: id.clone(),
        domain: "norte".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        draining: false,
    };
    let membership = Membership::new(MemberSettings::builder(member).build(), at(0));
    let dispatcher = Dispatcher::new(DispatchSettings::new("norte".into()));
    let mut entry = Entry::new(id, membership, dispatcher, limits.clone());
    let document = br#"{"revision":1,"note":"n","services":[{"name":"parts",
        "limits":{"slots":3},"rules":{"idempotent":true,"deadline":"5s"}}]}"#;
    let blob = ConfigBlob {
        revision: Revision(1),
        document: Bytes::from_static(document),
    };
    entry.configure(at(0), blob);
    entry
}

fn refusal(table: &mut IdTable, now: Now, id: SubmissionId) -> Option<(Verdict, Reason)> {
    let checked = table.check_new(now, id);
    checked
        .err()
        .map(|failure| (failure.verdict, failure.reason))
}

#[test]
fn a_full_table_refuses_new_ids_without_a_stamp() {
    let mut table = IdTable::new(&limits().unstamped(2).build());
    for n in 0..2 {
        assert_eq!(refusal(&mut table, at(0), unstamped(n)), None);
        table.insert(at(0), unstamped(n), 1, Origin::ClientKey);
        table.end(unstamped(n), complete(1));
    }
    // Neither time nor an end makes room: such ids are never forgotten.
    table.forget_expired(at(1_000_000_000));
    let full = Some((Verdict::NotRun, Reason::TableFull));
    assert_eq!(refusal(&mut table, at(1_000_000_000), unstamped(2)), full);
    assert!(table.get(unstamped(0)).is_some());
}

#[test]
fn a_full_table_refuses_new_ids_with_a_stamp() {
    let mut table = IdTable::new(&limits().ids(3).build());
    for n in 0..3 {
        table.insert(at(0), stamped(0, n), 1, Origin::ClientKey);
    }
    let full = Some((Verdict::NotRun, Reason::TableFull));
    assert_eq!(refusal(&mut table, at(0), stamped(0, 3)), full);
}

#[test]
fn a_forgotten_id_is_refused_and_not_started_anew() {
    let mut table = IdTable::new(&limits().build());
    let id = stamped(0, 1);
    table.insert(at(0), id, 1, Origin::ClientKey);
    table.end(id, complete(1));
    let expired = Some((Verdict::MayHaveRun, Reason::IdExpired));
    let mut forgotten = false;
    for second in 1..200 {
        let now = at(second * 1_000);
        table.forget_expired(now);
        if table.get(id).is_none() {
            forgotten = true;
            assert_eq!(refusal(&mut table, now, id), expired, "at {second} s");
        }
    }
    assert!(forgotten, "the id was kept beyond the window");
}

#[test]
fn a_wall_clock_set_back_does_not_bring_a_forgotten_id_back() {
    let mut table = IdTable::new(&limits().build());
    let id = stamped(0, 1);
    table.insert(at(0), id, 1, Origin::ClientKey);
    table.end(id, complete(1));
    let late = at(120_000);
    table.forget_expired(late);
    assert!(table.get(id).is_none());
    let back = Now {
        mono: late.mono + Micros::from_secs(1),
        wall: Timestamp(START),
    };
    let expired = Some((Verdict::MayHaveRun, Reason::IdExpired));
    assert_eq!(refusal(&mut table, back, id), expired);
}

#[test]
fn an_id_from_the_future_is_refused() {
    let mut table = IdTable::new(&limits().build());
    let id = stamped(SKEW.as_millis() + 1, 1);
    let expired = Some((Verdict::MayHaveRun, Reason::IdExpired));
    assert_eq!(refusal(&mut table, at(0), id), expired);
    assert_eq!(refusal(&mut table, at(1), id), None);
}

#[test]
fn a_running_id_outlives_the_window() {
    let mut table = IdTable::new(&limits().build());
    let id = stamped(0, 1);
    table.insert(at(0), id, 1, Origin::ClientKey);
    table.forget_expired(at(1_000_000));
    assert!(matches!(table.get(id), Some((1, Known::Running))));
}

#[test]
fn what_did_not_run_may_be_submitted_again_unless_it_was_cancelled() {
    let mut table = IdTable::new(&limits().build());
    let cases = [
        (failed(Verdict::NotRun, Reason::Overload), false),
        (failed(Verdict::NotRun, Reason::Cancelled), true),
        (failed(Verdict::MayHaveRun, Reason::UpstreamLost), true),
        (failed(Verdict::Ran, Reason::UpstreamFailed), true),
        (complete(1), true),
    ];
    for (n, (reply, kept)) in cases.into_iter().enumerate() {
        let id = stamped(0, n as u64);
        table.insert(at(0), id, 1, Origin::ClientKey);
        table.end(id, reply.clone());
        assert_eq!(table.get(id).is_some(), kept, "after {reply:?}");
    }
    assert_eq!(table.running(), 0);
}

#[test]
fn answers_beyond_the_limit_are_dropped_oldest_first_and_their_ids_kept() {
    let mut table = IdTable::new(&limits().answer_bytes(10_000).build());
    for n in 0..20 {
        table.insert(at(0), stamped(0, n), 1, Origin::ClientKey);
        table.end(stamped(0, n), complete(1_000));
        assert!(table.kept_bytes() <= 10_000);
    }
    assert!(matches!(table.get(stamped(0, 0)), Some((1, Known::Gone))));
    let last = table.get(stamped(0, 19));
    assert!(matches!(last, Some((1, Known::Ended(_)))));
    assert_eq!(table.len(), 20);
}

/// An agent that is linked before its services are known here keeps its limits: what another entry
/// told it of the same revision must not be wiped out.
#[test]
fn an_agent_is_told_all_limits_while_its_services_are_unknown() {
    let mut entry = configured_entry();
    let agent = AgentId {
        name: "a1".into(),
        incarnation: Incarnation(1),
    };
    entry.agent_up(at(0), &agent);
    let told = entry.drain().into_iter().find_map(|step| match step {
        EntryStep::Agent {
            message: EntryMessage::Config(config),
            ..
        } => Some(config.limits),
        _ => None,
    });
    assert_eq!(told, Some(vec![("parts".into(), 3)]));
}

/// Each caller who was added leaves the table exactly once, at the end of its submission or when
/// its wait is over.
#[test]
fn each_waiting_caller_leaves_once() {
    fn property(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut table = WaitTable::default();
        let mut added = 0;
        let mut left = Vec::new();
        let mut now = 0;
        for (kind, id, span) in steps {
            let id = SubmissionId(u128::from(id % 4));
            match kind % 3 {
                0 => {
                    let until = if span % 5 == 0 {
                        Time::NEVER
                    } else {
                        Time(now + u64::from(span))
                    };
                    table.add(id, Caller::local(CorrelationId(added)), until);
                    added += 1;
                }
                1 => left.extend(table.take(id)),
                _ => {
                    now += u64::from(span);
                    left.extend(
                        table
                            .expired(Time(now))
                            .into_iter()
                            .map(|(_, caller)| caller),
                    );
                }
            }
        }
        left.extend(table.take_all());
        let mut tickets: Vec<u64> = left.iter().map(ticket).collect();
        tickets.sort_unstable();
        tickets == (0..added).collect::<Vec<_>>() && table.len() == 0
    }
    fn ticket(caller: &Caller) -> u64 {
        match caller.clone().answer(complete(0)).0 {
            Address::Local(ticket) => ticket.0,
            Address::Peer { .. } => u64::MAX,
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 7))
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u8, u16)>) -> bool);
}
