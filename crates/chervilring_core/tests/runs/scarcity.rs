//! Room that is short: what each kind of job gets, by its priority.

use chervilring_core::runs::planner::JobAnswer;
use chervilring_wire::Time;

use super::world::{TestJob, Without, World, test_job};

/// The duration of the load, in microseconds.
const LOAD: u64 = 5_000_000;

/// A kind of job.
#[derive(Debug, Clone, Copy)]
struct Kind {
    priority: u32,
    tasks: u32,
    millis: u64,
}

const CHECK: Kind = Kind {
    priority: 0,
    tasks: 8,
    millis: 50,
};

const PERMIT: Kind = Kind {
    priority: 1,
    tasks: 2,
    millis: 170,
};

const SURVEY: Kind = Kind {
    priority: 2,
    tasks: 4,
    millis: 760,
};

/// Submits `rate` jobs of a kind per second at random times. Returns their indices.
fn load(world: &mut World, first: u64, rate: u64, kind: Kind) -> Vec<usize> {
    let ids = first..first + rate * LOAD / 1_000_000;
    ids.map(|id| {
        let job = TestJob {
            priority: kind.priority,
            ..test_job(id, kind.tasks, kind.millis)
        };
        let at = world.rng.u64(0..LOAD);
        world.add_job(at, job)
    })
    .collect()
}

/// What jobs of a kind got, as shares.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    in_time: f64,
    refused: f64,
}

/// Returns what jobs got; in time are those answered within 1.6 times their run time plus 60 ms.
fn outcome(world: &World, jobs: &[usize]) -> Outcome {
    let is_met = |job: &TestJob| {
        let limit = Time(job.submitted_at.0 + job.work * 16 / 10 + 60_000);
        let first = job.answers.first();
        first.is_some_and(|(at, answer)| *answer == JobAnswer::Completed && *at <= limit)
    };
    let is_refused = |job: &TestJob| {
        let first = job.answers.first();
        first.is_some_and(|(_, answer)| matches!(answer, JobAnswer::Refused(_)))
    };
    let share = |test: &dyn Fn(&TestJob) -> bool| {
        let count = jobs.iter().filter(|&&j| test(&world.jobs[j])).count();
        count as f64 / jobs.len() as f64
    };
    Outcome {
        in_time: share(&is_met),
        refused: share(&is_refused),
    }
}

/// Twelve upstreams with 9 places each, at speed 1.1 in the mean, and six planners.
fn started(seed: u64) -> World {
    let mut world = World::new(seed, 6, 12, Without::Nothing);
    for (index, upstream) in world.upstreams.iter_mut().enumerate() {
        upstream.capacity.cpu = 14_400;
        upstream.speed = [1.0, 1.0, 1.3][index % 3];
    }
    world.run(2_000_000);
    world
}

/// Three seconds of ordinary load with a burst of the least urgent work, as much as all upstreams
/// can do.
fn burst(seed: u64) -> [Outcome; 3] {
    let mut world = started(seed);
    // 105 x 0.4 + 220 x 0.34 + 12 x 3.04 = 153 of 119 task-seconds a second.
    let checks = load(&mut world, 1_000, 60, CHECK);
    let permits = load(&mut world, 10_000, 130, PERMIT);
    let surveys = load(&mut world, 20_000, 17, SURVEY);
    world.run(LOAD + 6_000_000);
    assert_eq!(world.violations, Vec::<String>::new());
    [checks, permits, surveys].map(|jobs| outcome(&world, &jobs))
}

#[test]
fn urgent_wide_jobs_are_in_time_although_less_urgent_work_fills_all_upstreams() {
    for seed in 1..4 {
        let out = burst(seed);
        let line: Vec<String> = out.iter().map(|o| format!("{:.3}/{:.3}", o.in_time, o.refused)).collect();
        println!("seed {seed}: {}", line.join("  "));
    }
}
