//! Tests of the verdict of an entry whose table of ids is full.

use chervilring_wire::{
    AgentId, AgentMessage, CorrelationId, Incarnation, Member, Origin, Reason, Ring, RingVersion,
    SubmissionId, Verdict,
};

use super::takeover::{failures, request};
use super::{at, entry_with, limits, unstamped};
use crate::entry::Entry;
use crate::membership::StoreEvent;

/// An entry with authority, the only one in its ring, that cannot take any more ids.
fn full_entry() -> Entry {
    let mut entry = entry_with(&limits().unstamped(0).build());
    let member = Member {
        entry: entry.id().clone(),
        domain: "norte".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        draining: false,
    };
    let ring = Ring {
        version: RingVersion(1),
        retired: RingVersion(1),
        members: vec![member],
        past: Vec::new(),
    };
    let renewed = StoreEvent::Renewed {
        sent_at: at(0).mono,
        lease_held: true,
        ring: Some((1, ring)),
        live_entries: vec![entry.id().clone()],
    };
    entry.store(at(0), renewed);
    entry
}

/// Submits an id, after an agent has listed those that it started for a former home.
fn refusal(started: &[SubmissionId]) -> Vec<(Verdict, Reason)> {
    let mut entry = full_entry();
    let agent = AgentId {
        name: "a1".into(),
        incarnation: Incarnation(1),
    };
    let installed = AgentMessage::Installed {
        ring: RingVersion(1),
        started: started.to_vec(),
        complete: true,
    };
    entry.agent_message(at(1), &agent, installed);
    entry.submit(at(2), CorrelationId(1), request(Origin::ClientKey));
    failures(&mut entry, 3)
}

#[test]
fn an_id_that_was_started_at_a_former_home_is_not_called_not_run_by_a_full_table() {
    let told = refusal(&[unstamped(7)]);
    assert_eq!(told, [(Verdict::MayHaveRun, Reason::TableFull)]);
}

#[test]
fn an_id_that_was_never_started_is_called_not_run_by_a_full_table() {
    let told = refusal(&[unstamped(8)]);
    assert_eq!(told, [(Verdict::NotRun, Reason::TableFull)]);
}
