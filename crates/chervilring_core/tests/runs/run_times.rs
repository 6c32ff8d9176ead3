//! Run times as they are: learnt by planners, kept by runners, and what objectives are judged by.

use chervilring_core::runs::Planner;
use chervilring_core::runs::planner::{
    Caller, JobAnswer, LinkNo, NewJob, PlannerEvent, PlannerSettings, PlannerStep, Ratios, Step,
};
use chervilring_wire::{
    JobId, Micros, PlannerMessage, Resources, RouteRunTimes, RunEnd, RunKey, RunnerLevel,
    RunnerMessage, StartRuns, Time, UpstreamState,
};

use super::world::{Event, TestJob, Without, World, route, test_job};

const MS: fn(u64) -> Micros = Micros::from_millis;

/// The duration of the load, in microseconds.
const LOAD: u64 = 6_000_000;

/// Returns a normally distributed random number.
fn normal(rng: &mut fastrand::Rng) -> f64 {
    (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0
}

/// Plays short and medium jobs, `rate` of each per second, whose declared run times are off by
/// `factor` and at random by a spread of `spread`. Returns the world and the jobs' indices.
fn play(seed: u64, rate: u64, factor: f64, spread: f64) -> (World, Vec<usize>) {
    let mut world = World::new(seed, 3, 4, Without::Nothing);
    world.run(300_000);
    let mut all = Vec::new();
    for id in 0..rate * LOAD / 1_000_000 {
        for (first, count, millis) in [(10_000, 4, 60), (20_000, 2, 200)] {
            let mut job = test_job(first + id, count, millis);
            let error = (normal(&mut world.rng) * spread).exp() * factor;
            job.declared_runtime = Micros((job.work as f64 * error) as u64);
            let at = world.rng.u64(0..LOAD);
            all.push(world.add_job(at, job));
        }
    }
    world.run(LOAD + 5_000_000);
    (world, all)
}

/// Returns whether a caller saw the answer within 1.6 times the true run time plus 60 ms.
fn is_in_time(job: &TestJob) -> bool {
    let limit = job.submitted_at.0 + job.work * 16 / 10 + 60_000;
    let first = job.answers.first();
    first.is_some_and(|(at, a)| *a == JobAnswer::Completed && *at <= Time(limit))
}

/// Returns how many jobs callers saw in time, how many planners say were, and on how many they
/// disagree.
fn verdicts(world: &World, all: &[usize]) -> (usize, usize, usize) {
    let seen = |p: &&usize| is_in_time(&world.jobs[**p]);
    let said = |p: &&usize| world.said_met.get(&world.jobs[**p].id) == Some(&true);
    (
        all.iter().filter(seen).count(),
        all.iter().filter(said).count(),
        all.iter().filter(|p| seen(p) != said(p)).count(),
    )
}

#[test]
fn planners_and_callers_agree_on_objectives_under_rough_run_times() {
    for (rate, factor) in [(20, 1.0), (30, 1.0), (20, 2.0), (20, 0.5)] {
        let (mut seen, mut disputed, mut count) = (0, 0, 0);
        for seed in 0..5 {
            let (world, all) = play(seed, rate, factor, 0.4);
            let (in_time, _, differing) = verdicts(&world, &all);
            seen += in_time;
            disputed += differing;
            count += all.len();
        }
        assert!(seen * 2 > count, "{seen} of {count} in time");
        assert!(
            disputed * 50 <= count,
            "{disputed} of {count} disputed at {rate}/s, declared times x {factor}"
        );
    }
}
