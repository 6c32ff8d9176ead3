//! Loads that queueing, refusing and placing answer, and what their callers get.

use chervilring_core::runs::planner::JobAnswer;
use chervilring_wire::Time;

use super::world::{Happening, Wanted, Without, World, wanted};

/// How long the load lasts, in microseconds.
const LOAD: u64 = 6_000_000;

/// Sends jobs of a kind at random times, `rate` a second; returns their places.
fn load(world: &mut World, first: u64, rate: u64, kind: fn(u64) -> Wanted) -> Vec<usize> {
    let count = rate * LOAD / 1_000_000;
    let ids = first..first + count;
    ids.map(|id| {
        let at = world.rng.u64(0..LOAD);
        world.want(at, kind(id))
    })
    .collect()
}

/// Eight short tasks.
fn lookup(id: u64) -> Wanted {
    wanted(id, 4, 60)
}

/// Two tasks of some length.
fn booking(id: u64) -> Wanted {
    wanted(id, 2, 200)
}

/// Long tasks.
fn diagnosis(id: u64) -> Wanted {
    wanted(id, 2, 900)
}

/// Returns the share of jobs that were done within 1.6 times their tasks' time and 60 ms.
fn in_time(world: &World, places: &[usize]) -> f64 {
    let met = |job: &Wanted| {
        let limit = job.first.0 + job.work * 16 / 10 + 60_000;
        let first = job.answers.first();
        first.is_some_and(|(at, a)| *a == JobAnswer::Completed && *at <= Time(limit))
    };
    let count = places.iter().filter(|&&p| met(&world.jobs[p])).count();
    count as f64 / places.len() as f64
}

/// Returns how long refused jobs waited for that, at most, in milliseconds.
fn longest_refusal(world: &World) -> u64 {
    let waits = world.jobs.iter().filter_map(|job| {
        let (at, answer) = job.answers.first()?;
        matches!(answer, JobAnswer::Refused(_)).then(|| job.first.duration_until(*at).as_millis())
    });
    waits.max().unwrap_or(0)
}

/// Four upstreams of 20 places in all, at speeds from 0.55 to 1.2: about 19 task-seconds a second.
fn started(seed: u64) -> World {
    let mut world = World::new(seed, 3, 4, Without::Nothing);
    world.run(300_000);
    world
}

#[test]
fn at_three_quarters_of_capacity_nearly_all_is_in_time() {
    let mut world = started(7);
    // 20 x 0.24 + 14 x 0.4 + 2 x 1.8 = 14 task-seconds a second.
    let mut all = load(&mut world, 1_000, 20, lookup);
    all.extend(load(&mut world, 2_000, 14, booking));
    all.extend(load(&mut world, 3_000, 2, diagnosis));
    world.run(LOAD + 5_000_000);
    let share = in_time(&world, &all);
    assert!(share >= 0.9, "{share:.3} in time");
}

#[test]
fn at_twice_the_capacity_goodput_holds_and_refusals_come_soon() {
    let mut world = started(8);
    // 38 task-seconds a second: half of it can be done.
    let mut all = load(&mut world, 1_000, 60, lookup);
    all.extend(load(&mut world, 2_000, 60, booking));
    world.run(LOAD + 5_000_000);
    let share = in_time(&world, &all);
    assert!(share >= 0.35, "{share:.3} in time");
    let longest = longest_refusal(&world);
    assert!(longest <= 120, "a refusal took {longest} ms");
}

#[test]
fn a_burst_of_long_jobs_leaves_short_ones_in_time() {
    let mut world = started(9);
    let short = load(&mut world, 1_000, 20, lookup);
    for id in 0..20 {
        world.want(2_000_000, diagnosis(5_000 + id));
    }
    world.run(LOAD + 5_000_000);
    let share = in_time(&world, &short);
    assert!(share >= 0.75, "{share:.3} of the short jobs in time");
}

#[test]
fn a_lost_upstream_costs_seconds_not_the_day() {
    let mut world = started(10);
    let all = load(&mut world, 1_000, 30, lookup);
    world.at(2_000_000, Happening::Crash(1, 2_000_000));
    world.run(LOAD + 5_000_000);
    let share = in_time(&world, &all);
    assert!(share >= 0.85, "{share:.3} in time");
}

#[test]
fn an_upstream_on_which_all_stands_still_is_left_out() {
    let mut world = started(11);
    world.hangs.insert(2);
    let all = load(&mut world, 1_000, 25, lookup);
    world.run(LOAD + 8_000_000);
    let share = in_time(&world, &all);
    assert!(share >= 0.85, "{share:.3} in time");
}

#[test]
fn an_upstream_that_fails_all_is_left_out() {
    let mut world = started(12);
    world.fails.insert(1);
    let all = load(&mut world, 1_000, 25, lookup);
    world.run(LOAD + 5_000_000);
    let failed = |p: &&usize| {
        world.jobs[**p]
            .answers
            .iter()
            .any(|(_, a)| *a == JobAnswer::Failed)
    };
    assert_eq!(all.iter().filter(failed).count(), 0);
    let share = in_time(&world, &all);
    assert!(share >= 0.9, "{share:.3} in time");
}

#[test]
fn long_tasks_leave_an_upstream_that_has_turned_slow() {
    let mut world = started(13);
    let mut all = load(&mut world, 1_000, 4, diagnosis);
    world.run(2_000_000);
    world.upstreams[1].speed /= 8.0;
    let more = load(&mut world, 2_000, 2, diagnosis);
    all.extend(more);
    world.run(LOAD + 6_000_000);
    let share = in_time(&world, &all);
    // One upstream in four is lost to them by its speed, another by its turn.
    assert!(share >= 2.0 / 3.0, "{share:.3} in time");
}

#[test]
fn after_all_planners_were_lost_new_jobs_go_before_those_sent_again() {
    let mut world = started(14);
    // 13.5 task-seconds a second, and beside them those of the time without planners.
    let counting = |mut job: Wanted| {
        job.counts = true;
        job
    };
    let mut all = Vec::new();
    for id in 0..270 {
        let at = world.rng.u64(0..LOAD);
        let job = if id % 2 == 0 { booking } else { lookup };
        all.push(world.want(at, counting(job(1_000 + id))));
    }
    for planner in 0..3 {
        world.at(2_000_000, Happening::KillPlanner(planner));
    }
    world.run(LOAD + 5_000_000);
    let back = world.planners_back;
    let new = |p: &usize| world.jobs[*p].first > back;
    let new: Vec<usize> = all.iter().copied().filter(new).collect();
    let share = in_time(&world, &new);
    assert!(share >= 0.9, "{share:.3} of {} new jobs in time", new.len());
}

#[test]
fn full_queues_make_way_for_urgent_runs_and_are_not_asked_again_and_again() {
    let mut world = started(15);
    // 42 task-seconds at once, which can wait for half a second, and then urgent ones.
    for id in 0..24 {
        world.want(1_000_000, diagnosis(1_000 + id));
    }
    for id in 0..60 {
        world.want(1_050_000 + id * 10_000, lookup(2_000 + id));
    }
    world.run(LOAD);
    let tasks: u32 = world.jobs.iter().map(|job| job.count).sum();
    let refused = world.refusals;
    assert!(
        refused <= tasks,
        "{tasks} tasks were refused {refused} times"
    );
}

#[test]
fn many_planners_are_not_told_each_task() {
    let mut world = World::new(16, 14, 4, Without::Nothing);
    world.run(300_000);
    let all = load(&mut world, 1_000, 25, lookup);
    world.run(LOAD + 1_000_000);
    let share = in_time(&world, &all);
    assert!(share >= 0.9, "{share:.3} in time");
    // Each task changes what is free twice; telling every planner each time takes twice as much.
    let most = world.starts * 2 * 14 / 2;
    let told = world.states;
    assert!(told <= most, "{told} states for {} starts", world.starts);
}

/// Plays long jobs before and after processes are lost; returns the share in time of those that come
/// in the second after the planners are back.
fn in_time_after(seed: u64, lose: impl Fn(&mut World)) -> f64 {
    let mut world = started(seed);
    load(&mut world, 1_000, 3, diagnosis);
    world.run(LOAD);
    lose(&mut world);
    world.run(3_000_000);
    let back = world.now;
    let all: Vec<usize> = (0..6)
        .map(|i| world.want(i * 160_000, diagnosis(5_000 + i)))
        .collect();
    world.run(LOAD);
    assert!(world.planners_back < back);
    in_time(&world, &all)
}

#[test]
fn planners_that_start_again_know_which_upstreams_are_slow() {
    let shares = (20..30).map(|seed| {
        in_time_after(seed, |world| {
            for planner in 0..3 {
                world.at(0, Happening::KillPlanner(planner));
            }
        })
    });
    let share = shares.sum::<f64>() / 10.0;
    assert!(share >= 0.9, "{share:.3} in time");
}

#[test]
fn when_all_processes_start_again_it_is_known_which_upstreams_are_slow() {
    let shares = (20..30).map(|seed| {
        in_time_after(seed, |world| {
            for planner in 0..3 {
                world.at(0, Happening::KillPlanner(planner));
            }
            for runner in 0..4 {
                world.at(0, Happening::KillRunner(runner));
            }
        })
    });
    let share = shares.sum::<f64>() / 10.0;
    assert!(share >= 0.9, "{share:.3} in time");
}
