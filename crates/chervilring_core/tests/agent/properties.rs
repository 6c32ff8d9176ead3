//! Properties that hold under every schedule.

use chervilring_core::agent::{AgentStep, CallEnd};
use chervilring_wire::Micros;
use quickcheck::{Gen, QuickCheck, TestResult};

use crate::ops::{ENTRIES, Op};
use crate::world::World;

/// The number of schedules per property.
const SCHEDULES: u64 = 3_000;

/// The seed of the schedules.
const SEED: u64 = 20_260;

/// Checks a property over random schedules with a fixed seed.
fn check(property: fn(Vec<Op>) -> TestResult) {
    let source = Gen::from_size_and_seed(80, SEED);
    QuickCheck::new()
        .rng(source)
        .tests(SCHEDULES)
        .max_tests(SCHEDULES)
        .quickcheck(property);
}

/// Returns a failed result if the world has recorded a violation.
fn result(world: &World) -> TestResult {
    match &world.violation {
        None => TestResult::passed(),
        Some(violation) => TestResult::error(violation.clone()),
    }
}

/// Brings all links up, ends all calls and lets time pass until the agent has no work left.
fn finish_all(world: &mut World) {
    for entry in 0..ENTRIES {
        world.link(entry, true);
    }
    for _ in 0..40 {
        world.announce(4);
        world.pass(Micros::from_millis(250));
        let (media, body) = ("text/plain".into(), vec![1].into());
        world.end(CallEnd::Answer {
            status: 200,
            media,
            body,
        });
    }
}

/// No attempt starts twice, for an entry that may not start it, or after it was refused, and each
/// requested start is answered once.
#[test]
fn starts_are_allowed_and_answered_once() {
    check(|ops| {
        let mut world = World::new();
        for op in ops {
            world.apply(op);
        }
        finish_all(&mut world);
        if let Some(unanswered) = world.unanswered() {
            world.violation.get_or_insert(unanswered);
        }
        result(&world)
    });
}

/// No task starts after the stop has begun, and the stop completes once all calls have ended and
/// all answers are acknowledged.
#[test]
fn a_stop_completes_and_starts_nothing() {
    check(|ops| {
        let mut world = World::new();
        let half = ops.len() / 2;
        for op in ops.iter().take(half) {
            world.apply(op.clone());
        }
        world.stop();
        let started = world.agent.counters().started;
        for op in ops.iter().skip(half) {
            // Left out because the world allows starts again after an announcement, although the
            // stop of the agent continues.
            if !matches!(op, Op::Announce(_)) {
                world.apply(op.clone());
            }
        }
        while !world.calls.is_empty() {
            world.end(CallEnd::Incomplete);
        }
        for entry in 0..ENTRIES {
            world.link(entry, true);
            world.ack_answers(entry);
        }
        world.agent.tick(world.now);
        let exited = world.run_steps().contains(&AgentStep::Exit);
        if world.agent.counters().started != started {
            world
                .violation
                .get_or_insert("a task started after the stop had begun".into());
        }
        if !exited {
            world
                .violation
                .get_or_insert("the stop did not complete".into());
        }
        result(&world)
    });
}
