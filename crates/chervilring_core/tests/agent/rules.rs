//! Tests of single rules of the agent.

use chervilring_core::agent::{AgentStep, CallEnd};
use chervilring_wire::{
    AgentConfig, AgentMessage, EntryMessage, Micros, Reason, Revision, RingVersion, TaskOutcome,
    Verdict,
};

use crate::ops::{Op, StartRequest};
use crate::world::{MAX_STARTS, PAUSE_THRESHOLD, World, id};

/// The bits of all entries, for [`World::set_ring`].
const ALL_ENTRIES: u8 = 7;

/// Returns a start request of the home of an id.
fn request(world: &World, id: usize, index: u32) -> StartRequest {
    StartRequest {
        entry: home(world, id),
        id,
        index,
        idempotent: false,
        ring_offset: 0,
        remaining: Micros::from_secs(9),
    }
}

/// Returns the index of the home of an id.
fn home(world: &World, n: usize) -> usize {
    let home = world.ring.home(id(n)).expect("the ring has members");
    let index = world.entries.iter().position(|e| *e == home.entry);
    index.expect("members are entries")
}

/// Returns the verdict and reason of the last answer to an entry, or `None` if it was a success.
fn last_failure(world: &World, entry: usize) -> Option<(Verdict, Reason)> {
    match world.latest.get(&world.entries[entry])? {
        TaskOutcome::Done(_) => None,
        TaskOutcome::Failed(f) => Some((f.verdict, f.reason)),
    }
}

/// Returns a successful end of a call.
fn success() -> CallEnd {
    CallEnd::Answer {
        status: 200,
        media: "text/plain".into(),
        body: vec![1; 4].into(),
    }
}

#[test]
fn a_start_is_refused_from_any_but_the_home() {
    let mut world = World::new();
    let mut other = request(&world, 0, 0);
    other.entry = (other.entry + 1) % 3;
    let now = world.now;
    world.request_start(&other, now);
    assert_eq!(
        last_failure(&world, other.entry),
        Some((Verdict::NotRun, Reason::NotHome))
    );
    assert!(world.calls.is_empty());
}

#[test]
fn a_former_home_may_start_tasks_only_while_it_is_a_member() {
    let mut world = World::new();
    // Without entry 2, the home of some id is entry 0; it moves to entry 2 when that entry joins.
    world.set_ring(0b011);
    let moved = |world: &World, n: &usize| {
        let before = home(world, *n) == 0;
        let mut all = World::new();
        all.set_ring(ALL_ENTRIES);
        before && home(&all, *n) == 2
    };
    let n = (0..100).find(|n| moved(&world, n)).expect("some id moves");
    world.set_ring(ALL_ENTRIES);
    let now = world.now;
    let mut start = request(&world, n, 0);
    assert_eq!(start.entry, 2);
    start.entry = 0;
    start.ring_offset = -1;
    world.request_start(&start, now);
    assert_eq!(world.calls.len(), 1, "the former home is a member");

    let mut other = request(&world, n, 1);
    other.entry = 1;
    world.request_start(&other, now);
    let refused = Some((Verdict::NotRun, Reason::NotHome));
    assert_eq!(
        last_failure(&world, 1),
        refused,
        "the member was never the home"
    );

    world.set_ring(0b110);
    let mut evicted = request(&world, n, 2);
    evicted.entry = 0;
    evicted.ring_offset = -2;
    world.request_start(&evicted, now);
    assert_eq!(
        last_failure(&world, 0),
        refused,
        "the former home was evicted"
    );
    assert_eq!(world.calls.len(), 1);
}

#[test]
fn a_start_under_a_newer_ring_waits_for_it() {
    let mut world = World::new();
    let mut early = request(&world, 0, 0);
    early.ring_offset = 1;
    let now = world.now;
    world.request_start(&early, now);
    assert!(world.calls.is_empty());
    world.set_ring(ALL_ENTRIES);
    assert_eq!(world.calls.len(), 1);
    let mut early = request(&world, 2, 0);
    early.ring_offset = 1;
    world.request_start(&early, now);
    world.pass(Micros::from_secs(2));
    assert_eq!(
        last_failure(&world, early.entry),
        Some((Verdict::NotRun, Reason::Unavailable))
    );
}

#[test]
fn a_start_of_an_earlier_incarnation_is_refused() {
    let mut world = World::new();
    let old = world.entries[0].clone();
    world.restart(0);
    let start = request(&world, 6, 0);
    let start = StartRequest { entry: 0, ..start };
    let newer = std::mem::replace(&mut world.entries[0], old.clone());
    world.up[0] = false;
    world.link(0, true);
    let now = world.now;
    world.request_start(&start, now);
    assert_eq!(
        last_failure(&world, 0),
        Some((Verdict::NotRun, Reason::NotHome))
    );
    assert!(newer.incarnation > old.incarnation);
}

#[test]
fn a_task_that_started_elsewhere_is_never_called_not_run() {
    let mut world = World::new();
    let start = request(&world, 0, 0);
    let now = world.now;
    world.request_start(&start, now);
    let other = StartRequest {
        entry: (start.entry + 1) % 3,
        ..start
    };
    world.last_attempt = 0;
    world.request_start(&other, now);
    assert_eq!(
        last_failure(&world, other.entry),
        Some((Verdict::MayHaveRun, Reason::AnswerGone))
    );
    assert_eq!(world.calls.len(), 1);
}

#[test]
fn verdicts_say_what_is_known() {
    let failed = |verdict, reason| Some((verdict, reason));
    let error = CallEnd::Answer {
        status: 500,
        media: "".into(),
        body: vec![].into(),
    };
    let cases = [
        (
            CallEnd::NotSent,
            failed(Verdict::NotRun, Reason::UpstreamLost),
        ),
        (
            CallEnd::Refused { retry_after: None },
            failed(Verdict::NotRun, Reason::Busy),
        ),
        (
            CallEnd::Incomplete,
            failed(Verdict::MayHaveRun, Reason::UpstreamLost),
        ),
        (
            CallEnd::TimedOut,
            failed(Verdict::MayHaveRun, Reason::Deadline),
        ),
        (CallEnd::TooLarge, failed(Verdict::Ran, Reason::TooLarge)),
        (error, failed(Verdict::Ran, Reason::UpstreamFailed)),
        (success(), None),
    ];
    for (end, expected) in cases {
        let mut world = World::new();
        let start = request(&world, 0, 0);
        let now = world.now;
        world.request_start(&start, now);
        world.end(end.clone());
        assert_eq!(last_failure(&world, start.entry), expected, "{end:?}");
    }
}

#[test]
fn a_task_that_was_not_sent_may_start_again() {
    let mut world = World::new();
    let start = request(&world, 0, 0);
    let now = world.now;
    world.request_start(&start, now);
    world.end(CallEnd::NotSent);
    world.announce(2);
    world.request_start(&start, now);
    assert_eq!(world.calls.len(), 1);
    world.end(CallEnd::Incomplete);
    world.request_start(&start, now);
    assert_eq!(
        last_failure(&world, start.entry),
        Some((Verdict::MayHaveRun, Reason::AnswerGone))
    );
}

#[test]
fn a_full_queue_refuses_with_the_expected_time_to_a_free_slot() {
    let mut world = World::new();
    world.announce(1);
    let start = request(&world, 1, 0);
    let now = world.now;
    for index in 0..6 {
        world.request_start(
            &StartRequest {
                index,
                ..start.clone()
            },
            now,
        );
    }
    let busy = world.answers.values().filter_map(|outcome| match outcome {
        TaskOutcome::Failed(f) if f.reason == Reason::Busy => f.retry_after,
        _ => None,
    });
    // One task is in the slot and one in the queue, whose capacity of 4 is divided between 3
    // entries. The other tasks are refused.
    let busy: Vec<_> = busy.collect();
    assert_eq!(busy.len(), 4);
    assert!(busy.iter().all(|r| *r >= Micros::from_millis(100)));
}

#[test]
fn entries_are_served_round_robin() {
    let mut world = World::new();
    world.announce(1);
    let now = world.now;
    let ids: Vec<usize> = (0..3)
        .filter_map(|e| (0..6).find(|&n| home(&world, n) == e))
        .collect();
    assert!(ids.len() >= 2, "the ids have at least two homes");
    let (first, second) = (ids[0], ids[1]);
    let third = (0..3).find(|&e| e != home(&world, first) && e != home(&world, second));
    world.link(third.expect("three entries"), false);
    for index in 0..3 {
        let start = request(&world, first, index);
        world.request_start(&start, now);
    }
    let start = request(&world, second, 0);
    world.request_start(&start, now);
    let mut order = Vec::new();
    while let Some(call) = world.calls.front() {
        order.push(call.key.submission);
        world.end(success());
    }
    assert_eq!(order, [id(first), id(first), id(second), id(first)]);
}

#[test]
fn a_cancelled_task_is_answered_at_once() {
    let mut world = World::new();
    world.announce(1);
    let start = request(&world, 0, 0);
    let now = world.now;
    world.request_start(&start, now);
    let running = world.calls[0].key;
    world.request_start(
        &StartRequest {
            index: 1,
            ..start.clone()
        },
        now,
    );
    world.apply(Op::Cancel(start.entry));
    let count = |verdict: Verdict| {
        let outcomes = world.answers.values();
        let failed =
            outcomes.filter(|o| matches!(o, TaskOutcome::Failed(f) if f.verdict == verdict));
        failed.count()
    };
    assert_eq!((count(Verdict::NotRun), count(Verdict::MayHaveRun)), (1, 1));
    assert!(world.aborted.contains(&running));
    world.end(success());
    assert!(world.calls.is_empty(), "the queued task does not start");
}

#[test]
fn a_task_past_its_deadline_is_answered_before_its_call_ends() {
    let mut world = World::new();
    world.announce(1);
    let start = StartRequest {
        remaining: Micros::from_millis(500),
        ..request(&world, 0, 0)
    };
    let now = world.now;
    world.request_start(&start, now);
    world.pass(Micros::from_millis(600));
    let expected = Some((Verdict::MayHaveRun, Reason::Deadline));
    assert_eq!(last_failure(&world, start.entry), expected);
    assert_eq!(world.agent.status().running, 1, "the slot is in use");
    world.end(success());
    assert_eq!(world.agent.status().running, 0);
    assert_eq!(
        last_failure(&world, start.entry),
        expected,
        "there is no second answer"
    );
}

#[test]
fn no_task_starts_past_its_deadline_after_a_pause() {
    let mut world = World::new();
    world.announce(1);
    let start = request(&world, 0, 0);
    let now = world.now;
    world.request_start(&start, now);
    let queued = StartRequest {
        index: 1,
        remaining: Micros::from_secs(1),
        ..start.clone()
    };
    world.request_start(&queued, now);
    // Sent before the pause, and read before the agent has run again.
    world.now = world.now + Micros::from_secs(2);
    world.request_start(
        &StartRequest {
            index: 2,
            remaining: Micros::from_secs(1),
            ..start
        },
        now,
    );
    world.end(success());
    assert!(world.calls.is_empty());
    assert_eq!(world.agent.counters().expired, 2);
    assert!(world.agent.counters().pauses == 1 && Micros::from_secs(2) > PAUSE_THRESHOLD);
}

#[test]
fn answers_are_kept_for_the_same_incarnation_only() {
    let mut world = World::new();
    let start = request(&world, 0, 0);
    let now = world.now;
    world.request_start(&start, now);
    world.link(start.entry, false);
    world.end(success());
    assert!(world.answers.is_empty());
    assert_eq!(world.agent.status().unacked, 1);
    world.link(start.entry, true);
    assert_eq!(world.answers.len(), 1);
    world.restart(start.entry);
    assert_eq!(world.agent.status().unacked, 0);
}

#[test]
fn unacknowledged_answers_are_bounded() {
    let mut world = World::new();
    let start = request(&world, 0, 0);
    let now = world.now;
    world.request_start(&start, now);
    let body = vec![0; 1 << 20].into();
    world.end(CallEnd::Answer {
        status: 200,
        media: "".into(),
        body,
    });
    world.request_start(
        &StartRequest {
            index: 1,
            ..start.clone()
        },
        now,
    );
    assert_eq!(
        last_failure(&world, start.entry),
        Some((Verdict::NotRun, Reason::Busy))
    );
    world.ack_answers(start.entry);
    world.request_start(&StartRequest { index: 1, ..start }, now);
    assert_eq!(world.calls.len(), 1);
}

#[test]
fn a_full_table_refuses_and_only_timestamped_ids_expire() {
    let mut world = World::new();
    let now = world.now;
    for index in 0..MAX_STARTS as u32 / 2 {
        for n in 0..2 {
            let start = request(&world, n, index);
            world.request_start(&start, now);
            world.end(success());
        }
    }
    let start = request(&world, 0, 99);
    world.request_start(&start, now);
    assert_eq!(
        last_failure(&world, start.entry),
        Some((Verdict::NotRun, Reason::TableFull))
    );
    world.pass(Micros::from_secs(3_601));
    assert_eq!(world.agent.status().remembered, MAX_STARTS / 2);
    world.announce(2);
    let now = world.now;
    world.request_start(&request(&world, 1, 0), now);
    assert!(world.calls.is_empty());
}

#[test]
fn a_service_uses_no_more_slots_than_its_limit() {
    let mut world = World::new();
    world.announce(4);
    let config = AgentConfig {
        revision: Revision(1),
        limits: vec![("parts".into(), 1)],
    };
    let from = world.entries[0].clone();
    world
        .agent
        .entry_message(world.now, &from, EntryMessage::Config(config));
    assert_eq!(world.agent.status().revision, Revision(1));
    let now = world.now;
    for index in 0..2 {
        let start = request(&world, 0, index);
        world.request_start(&start, now);
    }
    assert_eq!(world.calls.len(), 1);
}

#[test]
fn a_restarted_entry_gets_the_ids_that_its_earlier_incarnation_started() {
    let mut world = World::new();
    let start = request(&world, 0, 0);
    let now = world.now;
    world.request_start(&start, now);
    world.restart(start.entry);
    world.ring.version = RingVersion(world.ring.version.0 + 1);
    world.ring.members[start.entry].entry = world.entries[start.entry].clone();
    let message = EntryMessage::Ring(world.ring.clone());
    let from = world.entries[start.entry].clone();
    world.agent.entry_message(now, &from, message);
    let reported = world.run_steps().into_iter().any(|step| match step {
        AgentStep::SendToEntry {
            to,
            message: AgentMessage::Installed { started, .. },
        } => to == from && started == [id(0)],
        _ => false,
    });
    assert!(reported);
}

#[test]
fn announcements_are_fewer_while_answers_carry_the_load() {
    let announcements = |busy: bool| {
        let mut world = World::new();
        let before = world.agent.counters().announcements;
        for index in 0..8 {
            for n in 0..if busy { 6 } else { 0 } {
                let start = StartRequest {
                    index: index * 10 + n as u32,
                    ..request(&world, n, 0)
                };
                let now = world.now;
                world.request_start(&start, now);
                world.end(CallEnd::Refused { retry_after: None });
            }
            world.pass(Micros::from_millis(500));
        }
        world.agent.counters().announcements - before
    };
    assert!(announcements(true) < announcements(false));
}
