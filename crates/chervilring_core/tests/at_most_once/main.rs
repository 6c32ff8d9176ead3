//! Random schedules over the real cores of entries and agents: every task starts at most once, and
//! every caller gets the whole answer to its own submission or an honest failure.
//!
//! `CHERVILRING_WITHOUT` leaves a rule out, to see how many schedules it takes to find that.
//! `CHERVILRING_SCHEDULES` sets how many schedules run and `CHERVILRING_SEED` the first seed; a
//! failure prints its seed and the schedule, and with `CHERVILRING_TRACE=1` all that happened.

mod callers;
mod drive;
mod net;
mod ops;
mod rng;
mod schedule;
mod store;
mod wires;
mod world;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use chervilring_core::membership::Rules;

use callers::Counts;
use schedule::Schedule;
use world::World;

/// Schedules in CI.
const SCHEDULES: u64 = 40;

/// The first seed in CI.
const SEED: u64 = 1;

/// Seeds of schedules that once went wrong.
const FOUND: [u64; 5] = [33, 853, 1259, 7770, 25509];

fn setting(name: &str, otherwise: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(otherwise, |text| text.parse().expect("a number"))
}

/// Runs a schedule and returns what was violated.
fn violations(schedule: &Schedule, rules: Rules, total: &mut Counts) -> Vec<String> {
    let trace = std::env::var("CHERVILRING_TRACE").is_ok();
    let mut world = World::new(schedule, rules, trace);
    world.run();
    total.add(world.callers.counts());
    if !world.callers.faults.is_empty() {
        for line in world.trace.iter().flatten() {
            println!("{line}");
        }
    }
    world.callers.faults
}

/// A schedule that went wrong, and how.
type Failing = (Schedule, Vec<String>);

/// Runs the schedules of a range of seeds on some threads, and returns the first that went wrong.
fn search(
    make: fn(u64) -> Schedule,
    first: u64,
    count: u64,
    rules: Rules,
) -> (Counts, Option<Failing>) {
    let next = AtomicU64::new(first);
    let found = Mutex::new((Counts::default(), None));
    let work = || {
        let mut total = Counts::default();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= first + count {
                break;
            }
            let schedule = make(seed);
            let faults = violations(&schedule, rules, &mut total);
            if !faults.is_empty() {
                next.fetch_max(first + count, Ordering::Relaxed);
                keep_first(&mut found.lock().expect("no panic").1, (schedule, faults));
            }
        }
        found.lock().expect("no panic").0.add(total);
    };
    let threads = setting("CHERVILRING_THREADS", 2);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(work);
        }
    });
    found.into_inner().expect("no panic")
}

fn keep_first(kept: &mut Option<Failing>, failing: Failing) {
    if kept.as_ref().is_none_or(|(s, _)| s.seed > failing.0.seed) {
        *kept = Some(failing);
    }
}

/// Searches as the environment says, and fails with the first schedule that went wrong.
fn check(make: fn(u64) -> Schedule) {
    let count = setting("CHERVILRING_SCHEDULES", SCHEDULES);
    let first = setting("CHERVILRING_SEED", SEED);
    let without = std::env::var("CHERVILRING_WITHOUT").ok();
    let rules = without.map(|name| Rules::without(&name).expect("the name of a rule"));
    let (total, failing) = search(make, first, count, rules.unwrap_or_default());
    if let Some((schedule, faults)) = failing {
        panic!("{faults:#?}\n{schedule:?}");
    }
    println!("{count} schedules from seed {first}: {total:?}");
}

#[test]
fn each_task_starts_at_most_once() {
    check(Schedule::from_seed);
}

#[test]
fn each_task_starts_at_most_once_where_it_is_aimed() {
    check(Schedule::aimed);
}

/// Leaving out any of these rules is found within a few schedules: the test has power.
#[test]
fn a_rule_left_out_is_found() {
    for name in ["expire", "reports", "wait", "stamp"] {
        let rules = Rules::without(name).expect("the name of a rule");
        let (_, failing) = search(Schedule::from_seed, SEED, 60, rules);
        assert!(failing.is_some(), "without {name:?} nothing went wrong");
    }
    for name in ["agents", "block"] {
        let rules = Rules::without(name).expect("the name of a rule");
        let (_, failing) = search(Schedule::aimed, SEED, 60, rules);
        assert!(failing.is_some(), "without {name:?} nothing went wrong");
    }
}

#[test]
fn schedules_that_once_failed() {
    for seed in FOUND {
        let schedule = Schedule::from_seed(seed);
        let faults = violations(&schedule, Rules::default(), &mut Counts::default());
        assert!(faults.is_empty(), "{faults:#?}\n{schedule:?}");
    }
}
