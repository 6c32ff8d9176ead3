//! The memory that jobs in hand take is limited.

use std::sync::Arc;

use chervilring_core::runs::Planner;
use chervilring_core::runs::planner::{
    Caller, JobAnswer, NewJob, PlannerSettings, PlannerStep, Refusal, Step,
};
use chervilring_wire::{JobId, Micros, Resources, Time};

use super::world::route;

/// The memory that jobs may take, in bytes: more than that of one job of this many tasks.
const MEMORY: usize = 1 << 20;
const TASKS: u32 = 600;

fn job(id: u64, tasks: u32) -> NewJob {
    NewJob {
        id: JobId(id),
        route: Arc::clone(&route()),
        config_version: 1,
        spec: "spec".into(),
        request: "".into(),
        steps: vec![Step {
            count: tasks,
            demand: Resources {
                cpu: 1_000,
                memory: 64,
                gpu: 0,
            },
            declared_runtime: Micros::from_millis(100),
            ..Step::default()
        }],
        deadline: Time(0) + Micros::from_secs(10),
    }
}

fn planner() -> Planner {
    let settings = PlannerSettings {
        job_memory: MEMORY,
        ..PlannerSettings::default()
    };
    Planner::new(settings, Time(0))
}

fn answers(planner: &mut Planner) -> Vec<(Caller, JobAnswer)> {
    let answer = |step| match step {
        PlannerStep::Answer { caller, answer, .. } => Some((caller, answer)),
        _ => None,
    };
    planner.drain().into_iter().filter_map(answer).collect()
}

#[test]
fn a_job_that_does_not_fit_beside_others_is_refused_at_once() {
    let mut planner = planner();
    planner.submit(Time(0), Caller(1), job(1, TASKS));
    assert_eq!(answers(&mut planner), []);
    planner.submit(Time(0), Caller(2), job(2, TASKS));
    let refused = JobAnswer::Refused(Refusal::Overload);
    assert_eq!(answers(&mut planner), [(Caller(2), refused)]);
    // What it would have taken is free again, as is that of a job whose caller has left.
    planner.submit(Time(0), Caller(3), job(3, TASKS / 4));
    planner.caller_left(Time(0), Caller(1));
    planner.submit(Time(0), Caller(4), job(4, TASKS));
    assert_eq!(answers(&mut planner), []);
}

#[test]
fn a_job_that_is_alone_is_taken_whatever_its_size() {
    let mut planner = planner();
    planner.submit(Time(0), Caller(1), job(1, 4 * TASKS));
    assert_eq!(answers(&mut planner), []);
    planner.submit(Time(0), Caller(2), job(2, TASKS));
    assert_eq!(answers(&mut planner).len(), 1);
}

/// Guards against a few large jobs that shut out all others for as long as their callers wait.
#[test]
fn small_jobs_are_taken_beside_large_ones_that_fill_the_memory() {
    let mut planner = planner();
    planner.submit(Time(0), Caller(1), job(1, 4 * TASKS));
    for number in 2..12 {
        planner.submit(Time(0), Caller(number), job(number, 8));
    }
    assert_eq!(answers(&mut planner), []);
    for number in 12..200 {
        planner.submit(Time(0), Caller(number), job(number, 8));
    }
    let refused = answers(&mut planner).len();
    assert!((100..200).contains(&refused), "{refused}");
}
