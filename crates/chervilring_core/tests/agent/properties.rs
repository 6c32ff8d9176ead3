//! What must hold under every schedule.

use chervilring_core::agent::{AgentStep, CallEnd};
use chervilring_wire::Micros;
use quickcheck::{Gen, QuickCheck, TestResult};

use crate::op::{ENTRIES, Op};
use crate::world::World;

/// Schedules in a run.
const SCHEDULES: u64 = 3_000;

/// The seed of all schedules.
const SEED: u64 = 20_260;

/// Runs a property over schedules with a fixed seed.
fn check(property: fn(Vec<Op>) -> TestResult) {
    let source = Gen::from_size_and_seed(80, SEED);
    QuickCheck::new()
        .rng(source)
        .tests(SCHEDULES)
        .max_tests(SCHEDULES)
        .quickcheck(property);
}

fn verdict(world: &World) -> TestResult {
    match &world.fault {
        None => TestResult::passed(),
        Some(fault) => TestResult::error(fault.clone()),
    }
}

/// Has all that runs end, all links up, and time pass until nothing is left to be decided.
fn settle(world: &mut World) {
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

/// No attempt starts twice or unlawfully, no refused one ever, and every one is answered once.
#[test]
fn starts_are_lawful_and_answered() {
    check(|ops| {
        let mut world = World::new();
        for op in ops {
            world.apply(op);
        }
        settle(&mut world);
        if let Some(unanswered) = world.unanswered() {
            world.fault.get_or_insert(unanswered);
        }
        verdict(&world)
    });
}

/// After the stop has begun nothing starts, and it ends once all is finished and confirmed.
#[test]
fn a_stop_ends_and_starts_nothing() {
    check(|ops| {
        let mut world = World::new();
        let half = ops.len() / 2;
        for op in ops.iter().take(half) {
            world.apply(op.clone());
        }
        world.stop();
        let started = world.agent.counters().started;
        for op in ops.iter().skip(half) {
            // The world takes an announcement for the end of a stop, which it is not.
            if !matches!(op, Op::Announce(_)) {
                world.apply(op.clone());
            }
        }
        while !world.calls.is_empty() {
            world.end(CallEnd::Incomplete);
        }
        for entry in 0..ENTRIES {
            world.link(entry, true);
            world.confirm(entry);
        }
        world.agent.tick(world.now);
        let left = world.carry().contains(&AgentStep::Exit);
        if world.agent.counters().started != started {
            world
                .fault
                .get_or_insert("a task started after the stop had begun".into());
        }
        if !left {
            world.fault.get_or_insert("the stop did not end".into());
        }
        verdict(&world)
    });
}
