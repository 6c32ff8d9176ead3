//! Schedules of long tasks under which upstreams crash. No job is called failed because of it, and no task is
//! started as often as upstreams crash.

use chervilring_wire::Micros;

use super::{FAULTS, first_violation, given_seed, play_in, schedules};
use crate::world::{Event, Without, World, test_job};

/// Runs a schedule of long tasks, whose callers wait, while several upstreams crash or leave one after the other
/// and are back at times that overlap. Some crash by what they start.
fn play_crashes(seed: u64, without: Without) -> World {
    let mut world = World::new(seed, 3, 4, without);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0xC4A5);
    for id in 0..rng.u64(4..10) {
        let mut job = test_job(20_000 + id, rng.u32(1..4), rng.u64(2_000..8_000));
        job.caller_timeout = Micros::from_secs(rng.u64(20..=40));
        job.fails = rng.f64() < 0.1;
        job.is_deadly = rng.f64() < 0.1;
        world.add_job(rng.u64(0..FAULTS), job);
    }
    for _ in 0..rng.u32(2..5) {
        let mut at = rng.u64(0..FAULTS);
        for _ in 0..rng.u32(2..6) {
            let (r, down) = (rng.usize(0..4), rng.u64(5_000..2_500_000));
            let crash = match rng.u32(0..6) {
                0 => Event::Renew(r, down),
                1 => Event::Release(r, down),
                _ => Event::Crash(r, down),
            };
            world.at(at, crash);
            at += rng.u64(0..2_500_000);
        }
    }
    play_in(world, seed, without)
}

/// Guards against jobs that are called failed because upstreams crashed under their tasks, and tasks that are
/// started again as often as upstreams crash.
#[test]
fn no_schedule_with_crashes_calls_a_job_failed_that_has_not() {
    let play = |seed| play_crashes(seed, Without::Nothing);
    assert_eq!(first_violation(schedules(), play), None);
}

/// Runs one schedule with crashes, as `one_schedule` does.
#[test]
fn one_schedule_with_crashes() {
    let world = play_crashes(given_seed(), Without::Nothing);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Returns whether a schedule with crashes has a violation with a text when a mechanism is left out.
fn crashes_are_seen(without: Without, text: &str) -> bool {
    let is_seen = |seed| {
        let violations = play_crashes(seed, without).violations;
        violations.iter().any(|v| v.contains(text))
    };
    (1..=100).any(is_seen)
}

#[test]
fn without_counts_of_crashes_a_task_starts_after_too_many() {
    assert!(crashes_are_seen(Without::CrashCounts, "was told of"));
}

#[test]
fn without_the_true_ends_of_runs_a_job_is_called_failed() {
    assert!(crashes_are_seen(Without::TrueEnds, "is called failed"));
}
