//! Room that is short: what each kind of job gets, by its priority.

use chervilring_core::runs::planner::JobAnswer;
use chervilring_wire::Time;

use super::world::{TestJob, Without, World, test_job};

/// The duration of the load, in microseconds.
const LOAD: u64 = 5_000_000;

/// The number of seeds on which a load is played.
const SEEDS: u64 = 3;

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
#[derive(Debug, Clone, Copy, Default)]
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

/// Five seconds of load with more than all upstreams can do, on each of three seeds. `priority` gives
/// the priority of the route of a kind. Returns what each kind got in the mean.
fn overload(priority: fn(Kind) -> u32) -> [Outcome; 3] {
    let mut sums = [Outcome::default(); 3];
    for seed in 1..=SEEDS {
        let mut world = started(seed);
        let with = |kind: Kind| Kind {
            priority: priority(kind),
            ..kind
        };
        // 60 x 0.4 + 130 x 0.34 + 17 x 3.04 = 120 of 119 task-seconds a second.
        let checks = load(&mut world, 1_000, 60, with(CHECK));
        let permits = load(&mut world, 10_000, 130, with(PERMIT));
        let surveys = load(&mut world, 20_000, 17, with(SURVEY));
        world.run(LOAD + 6_000_000);
        assert_eq!(world.violations, Vec::<String>::new());
        for (sum, jobs) in sums.iter_mut().zip([checks, permits, surveys]) {
            let got = outcome(&world, &jobs);
            sum.in_time += got.in_time / SEEDS as f64;
            sum.refused += got.refused / SEEDS as f64;
        }
    }
    sums
}

#[test]
fn urgent_wide_jobs_are_in_time_although_less_urgent_work_fills_all_upstreams() {
    let ordered = overload(|kind| kind.priority);
    let alike = overload(|_| 1);
    println!("by priority {ordered:.3?}, all alike {alike:.3?}");
    let [checks, permits, surveys] = ordered;
    assert!(checks.in_time >= 0.9, "{checks:?}");
    assert!(checks.in_time > alike[0].in_time + 0.03, "{checks:?}");
    assert!(permits.in_time >= alike[1].in_time - 0.03, "{permits:?}");
    assert!(surveys.in_time >= alike[2].in_time - 0.05, "{surveys:?}");
}
