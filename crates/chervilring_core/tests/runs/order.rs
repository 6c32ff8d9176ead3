//! Queueing, refusal and placement under load, judged by what callers get.

use chervilring_core::runs::planner::JobAnswer;
use chervilring_wire::Time;

use super::world::{Event, TestJob, Without, World, test_job};

/// The duration of the load, in microseconds.
const LOAD: u64 = 6_000_000;

/// Submits jobs of a kind at random times, `rate` per second. Returns their indices.
fn load(world: &mut World, first: u64, rate: u64, kind: fn(u64) -> TestJob) -> Vec<usize> {
    let count = rate * LOAD / 1_000_000;
    let ids = first..first + count;
    ids.map(|id| {
        let at = world.rng.u64(0..LOAD);
        world.add_job(at, kind(id))
    })
    .collect()
}

/// Four short tasks.
fn lookup(id: u64) -> TestJob {
    test_job(id, 4, 60)
}

/// Two tasks of medium length.
fn booking(id: u64) -> TestJob {
    test_job(id, 2, 200)
}

/// Two long tasks.
fn diagnosis(id: u64) -> TestJob {
    test_job(id, 2, 900)
}

/// Returns the share of jobs completed within 1.6 times their tasks' run time plus 60 ms.
fn in_time(world: &World, places: &[usize]) -> f64 {
    let met = |job: &TestJob| {
        let limit = job.submitted_at.0 + job.work * 16 / 10 + 60_000;
        let first = job.answers.first();
        first.is_some_and(|(at, a)| *a == JobAnswer::Completed && *at <= Time(limit))
    };
    let count = places.iter().filter(|&&p| met(&world.jobs[p])).count();
    count as f64 / places.len() as f64
}

/// Returns the longest time from submission to a refusal, in milliseconds.
fn longest_refusal(world: &World) -> u64 {
    let waits = world.jobs.iter().filter_map(|job| {
        let (at, answer) = job.answers.first()?;
        matches!(answer, JobAnswer::Refused(_))
            .then(|| job.submitted_at.duration_until(*at).as_millis())
    });
    waits.max().unwrap_or(0)
}

/// Four upstreams with 20 slots in all, at speeds from 0.55 to 1.2: about 19 task-seconds per
/// second.
fn started(seed: u64) -> World {
    let mut world = World::new(seed, 3, 4, Without::Nothing);
    world.run(300_000);
    world
}

#[test]
fn at_three_quarters_of_capacity_nearly_all_jobs_are_in_time() {
    let mut world = started(7);
    // 20 x 0.24 + 14 x 0.4 + 2 x 1.8 = 14 task-seconds per second.
    let mut all = load(&mut world, 1_000, 20, lookup);
    all.extend(load(&mut world, 2_000, 14, booking));
    all.extend(load(&mut world, 3_000, 2, diagnosis));
    world.run(LOAD + 5_000_000);
    let share = in_time(&world, &all);
    assert!(share >= 0.9, "{share:.3} in time");
}

#[test]
fn at_twice_the_capacity_goodput_holds_and_refusals_are_fast() {
    let mut world = started(8);
    // 38 task-seconds per second, of which half can be done.
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
        world.add_job(2_000_000, diagnosis(5_000 + id));
    }
    world.run(LOAD + 5_000_000);
    let share = in_time(&world, &short);
    assert!(share >= 0.75, "{share:.3} of the short jobs in time");
}

#[test]
fn most_jobs_meet_their_objective_when_an_upstream_is_lost() {
    let mut world = started(10);
    let all = load(&mut world, 1_000, 30, lookup);
    world.at(2_000_000, Event::Crash(1, 2_000_000));
    world.run(LOAD + 5_000_000);
    let share = in_time(&world, &all);
    assert!(share >= 0.85, "{share:.3} in time");
}

#[test]
fn an_upstream_that_stalls_all_runs_is_ejected() {
    let mut world = started(11);
    world.hangs.insert(2);
    let all = load(&mut world, 1_000, 25, lookup);
    world.run(LOAD + 8_000_000);
    let share = in_time(&world, &all);
    assert!(share >= 0.85, "{share:.3} in time");
}

#[test]
fn an_upstream_that_fails_all_runs_is_ejected() {
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
fn long_tasks_move_away_from_an_upstream_that_becomes_slow() {
    let mut world = started(13);
    let mut all = load(&mut world, 1_000, 4, diagnosis);
    world.run(2_000_000);
    world.upstreams[1].speed /= 8.0;
    let more = load(&mut world, 2_000, 2, diagnosis);
    all.extend(more);
    world.run(LOAD + 6_000_000);
    let share = in_time(&world, &all);
    // One upstream in four is too slow for these tasks from the start, and another one becomes
    // slow.
    assert!(share >= 2.0 / 3.0, "{share:.3} in time");
}

#[test]
fn after_the_loss_of_all_planners_new_jobs_precede_resubmissions() {
    let mut world = started(14);
    // 13.5 task-seconds per second, and the jobs submitted while no planner was running.
    let counting = |mut job: TestJob| {
        job.states_remaining = true;
        job
    };
    let mut all = Vec::new();
    for id in 0..270 {
        let at = world.rng.u64(0..LOAD);
        let job = if id % 2 == 0 { booking } else { lookup };
        all.push(world.add_job(at, counting(job(1_000 + id))));
    }
    for planner in 0..3 {
        world.at(2_000_000, Event::KillPlanner(planner));
    }
    world.run(LOAD + 5_000_000);
    let back = world.planners_back;
    let new = |p: &usize| world.jobs[*p].submitted_at > back;
    let new: Vec<usize> = all.iter().copied().filter(new).collect();
    let share = in_time(&world, &new);
    assert!(share >= 0.9, "{share:.3} of {} new jobs in time", new.len());
}

#[test]
fn full_queues_admit_urgent_runs_without_repeated_refusals() {
    let mut world = started(15);
    // 42 task-seconds at once that can wait for half a second, and then urgent runs.
    for id in 0..24 {
        world.add_job(1_000_000, diagnosis(1_000 + id));
    }
    for id in 0..60 {
        world.add_job(1_050_000 + id * 10_000, lookup(2_000 + id));
    }
    world.run(LOAD);
    let tasks: u32 = world.jobs.iter().map(|job| job.count).sum();
    let refused = world.capacity_refusals;
    assert!(
        refused <= tasks,
        "{tasks} tasks were refused {refused} times"
    );
}

#[test]
fn many_planners_are_not_sent_every_state_change() {
    let mut world = World::new(16, 14, 4, Without::Nothing);
    world.run(300_000);
    let all = load(&mut world, 1_000, 25, lookup);
    world.run(LOAD + 1_000_000);
    let share = in_time(&world, &all);
    assert!(share >= 0.9, "{share:.3} in time");
    // Each task changes the free capacity twice. Reporting every change to every planner would take
    // twice as many messages.
    let most = world.starts * 2 * 14 / 2;
    let sent = world.sent_states;
    assert!(sent <= most, "{sent} states for {} starts", world.starts);
}

/// Runs long jobs before and after processes are lost. Returns the share in time of the jobs
/// submitted in the second after the planners are back.
fn in_time_after(seed: u64, lose: impl Fn(&mut World)) -> f64 {
    let mut world = started(seed);
    load(&mut world, 1_000, 3, diagnosis);
    world.run(LOAD);
    lose(&mut world);
    world.run(3_000_000);
    let back = world.now;
    let all: Vec<usize> = (0..6)
        .map(|i| world.add_job(i * 160_000, diagnosis(5_000 + i)))
        .collect();
    world.run(LOAD);
    assert!(world.planners_back < back);
    in_time(&world, &all)
}

#[test]
fn restarted_planners_know_which_upstreams_are_slow() {
    let shares = (20..30).map(|seed| {
        in_time_after(seed, |world| {
            for planner in 0..3 {
                world.at(0, Event::KillPlanner(planner));
            }
        })
    });
    let share = shares.sum::<f64>() / 10.0;
    assert!(share >= 0.9, "{share:.3} in time");
}

#[test]
fn after_all_processes_restart_slow_upstreams_are_known() {
    let shares = (20..30).map(|seed| {
        in_time_after(seed, |world| {
            for planner in 0..3 {
                world.at(0, Event::KillPlanner(planner));
            }
            for runner in 0..4 {
                world.at(0, Event::KillRunner(runner));
            }
        })
    });
    let share = shares.sum::<f64>() / 10.0;
    assert!(share >= 0.9, "{share:.3} in time");
}
