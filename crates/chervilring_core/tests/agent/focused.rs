//! Single rules, one test each.

use chervilring_core::agent::{AgentStep, CallEnd};
use chervilring_wire::{
    AgentConfig, AgentMessage, EntryMessage, Micros, Reason, Revision, RingVersion, TaskOutcome,
    Verdict,
};

use crate::op::{Ask, Op};
use crate::world::{BUDGET, PAUSE, World, id};

const ALL: u8 = 7;

/// Returns an ask of the home of an id.
fn ask(world: &World, id: usize, index: u32) -> Ask {
    Ask {
        entry: home(world, id),
        id,
        index,
        idempotent: false,
        ring: 0,
        remaining: Micros::from_secs(9),
    }
}

fn home(world: &World, n: usize) -> usize {
    let home = world.ring.home(id(n)).expect("the ring has members");
    let place = world.entries.iter().position(|e| *e == home.entry);
    place.expect("members are entries")
}

/// Returns how an entry was answered last, by verdict and reason.
fn refusal(world: &World, entry: usize) -> Option<(Verdict, Reason)> {
    match world.latest.get(&world.entries[entry])? {
        TaskOutcome::Done(_) => None,
        TaskOutcome::Failed(f) => Some((f.verdict, f.reason)),
    }
}

fn answer() -> CallEnd {
    CallEnd::Answer {
        status: 200,
        media: "text/plain".into(),
        body: vec![1; 4].into(),
    }
}

#[test]
fn a_start_is_refused_from_any_but_the_home() {
    let mut world = World::new();
    let mut other = ask(&world, 0, 0);
    other.entry = (other.entry + 1) % 3;
    let now = world.now;
    world.ask(&other, now);
    assert_eq!(
        refusal(&world, other.entry),
        Some((Verdict::NotRun, Reason::NotHome))
    );
    assert!(world.calls.is_empty());
}

#[test]
fn a_former_home_goes_on_while_it_is_a_member_and_is_refused_once_it_is_not() {
    let mut world = World::new();
    // Entry 2 is away at first, and some id that is at home with it later is at entry 0 until then.
    world.set_ring(0b011);
    let moved = |world: &World, n: &usize| {
        let before = home(world, *n) == 0;
        let mut all = World::new();
        all.set_ring(ALL);
        before && home(&all, *n) == 2
    };
    let n = (0..100).find(|n| moved(&world, n)).expect("some id moves");
    world.set_ring(ALL);
    let now = world.now;
    let mut start = ask(&world, n, 0);
    assert_eq!(start.entry, 2);
    start.entry = 0;
    start.ring = -1;
    world.ask(&start, now);
    assert_eq!(world.calls.len(), 1, "of the former home, a member");

    let mut stranger = ask(&world, n, 1);
    stranger.entry = 1;
    world.ask(&stranger, now);
    let refused = Some((Verdict::NotRun, Reason::NotHome));
    assert_eq!(
        refusal(&world, 1),
        refused,
        "of a member that never was the home"
    );

    world.set_ring(0b110);
    let mut evicted = ask(&world, n, 2);
    evicted.entry = 0;
    evicted.ring = -2;
    world.ask(&evicted, now);
    assert_eq!(refusal(&world, 0), refused, "of the former home, evicted");
    assert_eq!(world.calls.len(), 1);
}

#[test]
fn a_start_under_a_newer_ring_waits_for_it() {
    let mut world = World::new();
    let mut early = ask(&world, 0, 0);
    early.ring = 1;
    let now = world.now;
    world.ask(&early, now);
    assert!(world.calls.is_empty());
    world.set_ring(ALL);
    assert_eq!(world.calls.len(), 1);
    let mut early = ask(&world, 2, 0);
    early.ring = 1;
    world.ask(&early, now);
    world.pass(Micros::from_secs(2));
    assert_eq!(
        refusal(&world, early.entry),
        Some((Verdict::NotRun, Reason::Unavailable))
    );
}

#[test]
fn an_earlier_life_of_an_entry_is_refused() {
    let mut world = World::new();
    let old = world.entries[0].clone();
    world.restart(0);
    let start = ask(&world, 6, 0);
    let start = Ask { entry: 0, ..start };
    let newer = std::mem::replace(&mut world.entries[0], old.clone());
    world.up[0] = false;
    world.link(0, true);
    let now = world.now;
    world.ask(&start, now);
    assert_eq!(refusal(&world, 0), Some((Verdict::NotRun, Reason::NotHome)));
    assert!(newer.incarnation > old.incarnation);
}

#[test]
fn a_task_that_started_elsewhere_is_never_called_not_run() {
    let mut world = World::new();
    let start = ask(&world, 0, 0);
    let now = world.now;
    world.ask(&start, now);
    let other = Ask {
        entry: (start.entry + 1) % 3,
        ..start
    };
    world.attempts = 0;
    world.ask(&other, now);
    assert_eq!(
        refusal(&world, other.entry),
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
        (answer(), None),
    ];
    for (end, expected) in cases {
        let mut world = World::new();
        let start = ask(&world, 0, 0);
        let now = world.now;
        world.ask(&start, now);
        world.end(end.clone());
        assert_eq!(refusal(&world, start.entry), expected, "{end:?}");
    }
}

#[test]
fn a_task_that_was_not_sent_may_start_again() {
    let mut world = World::new();
    let start = ask(&world, 0, 0);
    let now = world.now;
    world.ask(&start, now);
    world.end(CallEnd::NotSent);
    world.announce(2);
    world.ask(&start, now);
    assert_eq!(world.calls.len(), 1);
    world.end(CallEnd::Incomplete);
    world.ask(&start, now);
    assert_eq!(
        refusal(&world, start.entry),
        Some((Verdict::MayHaveRun, Reason::AnswerGone))
    );
}

#[test]
fn a_full_queue_refuses_with_the_time_a_slot_frees() {
    let mut world = World::new();
    world.announce(1);
    let start = ask(&world, 1, 0);
    let now = world.now;
    for index in 0..6 {
        world.ask(
            &Ask {
                index,
                ..start.clone()
            },
            now,
        );
    }
    let busy = world.told.values().filter_map(|outcome| match outcome {
        TaskOutcome::Failed(f) if f.reason == Reason::Busy => f.retry_after,
        _ => None,
    });
    // One in the slot and one entry's share of a queue of four: the others are refused.
    let busy: Vec<_> = busy.collect();
    assert_eq!(busy.len(), 4);
    assert!(busy.iter().all(|r| *r >= Micros::from_millis(100)));
}

#[test]
fn entries_share_slots_in_turn() {
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
        let start = ask(&world, first, index);
        world.ask(&start, now);
    }
    let start = ask(&world, second, 0);
    world.ask(&start, now);
    let mut order = Vec::new();
    while let Some(call) = world.calls.front() {
        order.push(call.key.submission);
        world.end(answer());
    }
    assert_eq!(order, [id(first), id(first), id(second), id(first)]);
}

#[test]
fn a_cancelled_task_is_answered_at_once() {
    let mut world = World::new();
    world.announce(1);
    let start = ask(&world, 0, 0);
    let now = world.now;
    world.ask(&start, now);
    let running = world.calls[0].key;
    world.ask(
        &Ask {
            index: 1,
            ..start.clone()
        },
        now,
    );
    world.apply(Op::Cancel(start.entry));
    let told = |failure: Verdict| {
        let outcomes = world.told.values();
        let failed =
            outcomes.filter(|o| matches!(o, TaskOutcome::Failed(f) if f.verdict == failure));
        failed.count()
    };
    assert_eq!((told(Verdict::NotRun), told(Verdict::MayHaveRun)), (1, 1));
    assert!(world.aborted.contains(&running));
    world.end(answer());
    assert!(world.calls.is_empty(), "the queued one does not start");
}

#[test]
fn a_task_past_its_deadline_is_answered_though_its_call_goes_on() {
    let mut world = World::new();
    world.announce(1);
    let start = Ask {
        remaining: Micros::from_millis(500),
        ..ask(&world, 0, 0)
    };
    let now = world.now;
    world.ask(&start, now);
    world.pass(Micros::from_millis(600));
    let expected = Some((Verdict::MayHaveRun, Reason::Deadline));
    assert_eq!(refusal(&world, start.entry), expected);
    assert_eq!(world.agent.status().running, 1, "the slot is in use");
    world.end(answer());
    assert_eq!(world.agent.status().running, 0);
    assert_eq!(
        refusal(&world, start.entry),
        expected,
        "there is no second answer"
    );
}

#[test]
fn a_frozen_agent_starts_nothing_late() {
    let mut world = World::new();
    world.announce(1);
    let start = ask(&world, 0, 0);
    let now = world.now;
    world.ask(&start, now);
    let queued = Ask {
        index: 1,
        remaining: Micros::from_secs(1),
        ..start.clone()
    };
    world.ask(&queued, now);
    // Sent while the agent was frozen, and read before the agent has looked at the time.
    world.now = world.now + Micros::from_secs(2);
    world.ask(
        &Ask {
            index: 2,
            remaining: Micros::from_secs(1),
            ..start
        },
        now,
    );
    world.end(answer());
    assert!(world.calls.is_empty());
    assert_eq!(world.agent.counters().expired, 2);
    assert!(world.agent.counters().pauses == 1 && Micros::from_secs(2) > PAUSE);
}

#[test]
fn answers_are_kept_for_the_same_life_only() {
    let mut world = World::new();
    let start = ask(&world, 0, 0);
    let now = world.now;
    world.ask(&start, now);
    world.link(start.entry, false);
    world.end(answer());
    assert!(world.told.is_empty());
    assert_eq!(world.agent.status().unacked, 1);
    world.link(start.entry, true);
    assert_eq!(world.told.len(), 1);
    world.restart(start.entry);
    assert_eq!(world.agent.status().unacked, 0);
}

#[test]
fn kept_answers_are_bounded() {
    let mut world = World::new();
    let start = ask(&world, 0, 0);
    let now = world.now;
    world.ask(&start, now);
    let body = vec![0; 1 << 20].into();
    world.end(CallEnd::Answer {
        status: 200,
        media: "".into(),
        body,
    });
    world.ask(
        &Ask {
            index: 1,
            ..start.clone()
        },
        now,
    );
    assert_eq!(
        refusal(&world, start.entry),
        Some((Verdict::NotRun, Reason::Busy))
    );
    world.confirm(start.entry);
    world.ask(&Ask { index: 1, ..start }, now);
    assert_eq!(world.calls.len(), 1);
}

#[test]
fn a_full_table_refuses_and_forgets_stamped_ids_only() {
    let mut world = World::new();
    let now = world.now;
    for index in 0..BUDGET as u32 / 2 {
        for n in 0..2 {
            let start = ask(&world, n, index);
            world.ask(&start, now);
            world.end(answer());
        }
    }
    let start = ask(&world, 0, 99);
    world.ask(&start, now);
    assert_eq!(
        refusal(&world, start.entry),
        Some((Verdict::NotRun, Reason::TableFull))
    );
    world.pass(Micros::from_secs(3_601));
    assert_eq!(world.agent.status().remembered, BUDGET / 2);
    world.announce(2);
    let now = world.now;
    world.ask(&ask(&world, 1, 0), now);
    assert!(world.calls.is_empty());
}

#[test]
fn a_service_takes_no_more_slots_than_its_limits_say() {
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
        let start = ask(&world, 0, index);
        world.ask(&start, now);
    }
    assert_eq!(world.calls.len(), 1);
}

#[test]
fn a_restarted_entry_hears_what_its_earlier_life_started() {
    let mut world = World::new();
    let start = ask(&world, 0, 0);
    let now = world.now;
    world.ask(&start, now);
    world.restart(start.entry);
    world.ring.version = RingVersion(world.ring.version.0 + 1);
    world.ring.members[start.entry].entry = world.entries[start.entry].clone();
    let message = EntryMessage::Ring(world.ring.clone());
    let from = world.entries[start.entry].clone();
    world.agent.entry_message(now, &from, message);
    let reported = world.carry().into_iter().any(|step| match step {
        AgentStep::SendToEntry {
            to,
            message: AgentMessage::Installed { started, .. },
        } => to == from && started == [id(0)],
        _ => false,
    });
    assert!(reported);
}

#[test]
fn announcements_are_fewer_while_answers_tell_the_load() {
    let announces = |busy: bool| {
        let mut world = World::new();
        let before = world.agent.counters().announcements;
        for index in 0..8 {
            for n in 0..if busy { 6 } else { 0 } {
                let start = Ask {
                    index: index * 10 + n as u32,
                    ..ask(&world, n, 0)
                };
                let now = world.now;
                world.ask(&start, now);
                world.end(CallEnd::Refused { retry_after: None });
            }
            world.pass(Micros::from_millis(500));
        }
        world.agent.counters().announcements - before
    };
    assert!(announces(true) < announces(false));
}
