//! The choice of the upstream for a task.

use chervilring_core::runs::planner::{Candidate, Choice, TaskTimes, choose_upstream};
use chervilring_wire::{Micros, Time};

const MS: fn(u64) -> Micros = Micros::from_millis;

fn candidate(run: u64, wait: u64, free: f64) -> Candidate {
    Candidate {
        run_time: MS(run),
        queue_wait: MS(wait),
        allowed: true,
        queue_full: false,
        free_share: free,
    }
}

/// Returns the times of a task whose objective is `objective` milliseconds away.
fn times(objective: u64) -> TaskTimes {
    TaskTimes {
        now: Time(0),
        objective: Time(objective * 1_000),
        deadline: Time(2_500_000),
        start_deadline: Time(objective * 250),
        job_started: false,
    }
}

fn late(times: TaskTimes) -> TaskTimes {
    TaskTimes {
        job_started: true,
        start_deadline: times.objective,
        ..times
    }
}

fn pick(candidates: &[Candidate], times: &TaskTimes) -> Choice {
    choose_upstream(candidates, times, || 0.5)
}

#[test]
fn a_long_task_gets_an_upstream_that_is_fast_enough() {
    let candidates = [candidate(1_640, 0, 0.9), candidate(750, 0, 0.3)];
    assert_eq!(pick(&candidates, &times(1_500)), Choice::Place(1));
}

#[test]
fn a_short_task_leaves_fast_upstreams_to_others() {
    let candidates = [candidate(50, 0, 0.5), candidate(110, 0, 0.5)];
    assert_eq!(pick(&candidates, &times(156)), Choice::Place(1));
}

#[test]
fn of_equal_upstreams_the_emptier_one_is_taken() {
    let candidates = [candidate(50, 0, 0.1), candidate(50, 0, 0.8)];
    assert_eq!(pick(&candidates, &times(156)), Choice::Place(1));
}

#[test]
fn free_capacity_is_preferred_to_a_wait() {
    let candidates = [candidate(60, 15, 0.0), candidate(60, 0, 0.05)];
    assert_eq!(pick(&candidates, &times(156)), Choice::Place(1));
}

#[test]
fn the_shortest_wait_is_taken_when_no_capacity_is_free() {
    let candidates = [candidate(60, 15, 0.0), candidate(60, 30, 0.0)];
    assert_eq!(pick(&candidates, &times(156)), Choice::Place(0));
}

#[test]
fn a_task_is_not_placed_where_it_would_wait_too_long() {
    let candidates = [candidate(60, 45, 0.0)];
    assert_eq!(pick(&candidates, &times(156)), Choice::Wait);
}

#[test]
fn a_job_that_can_be_in_time_waits_for_a_fast_upstream() {
    let candidates = [candidate(1_640, 0, 0.9), candidate(750, 500, 0.0)];
    assert_eq!(pick(&candidates, &times(1_500)), Choice::Wait);
    assert_eq!(pick(&candidates, &late(times(1_500))), Choice::Place(1));
}

#[test]
fn a_started_job_that_is_late_goes_where_it_ends_first() {
    let candidates = [candidate(300, 20, 0.0), candidate(400, 0, 0.2)];
    assert_eq!(pick(&candidates, &late(times(200))), Choice::Place(0));
    assert_eq!(pick(&candidates, &times(200)), Choice::Wait);
}

#[test]
fn a_task_that_would_end_after_the_callers_deadline_is_not_placed() {
    let candidates = [candidate(2_600, 0, 0.9)];
    assert_eq!(pick(&candidates, &late(times(200))), Choice::Wait);
}

#[test]
fn an_upstream_that_is_not_allowed_is_never_chosen() {
    let mut closed = candidate(50, 0, 0.9);
    closed.allowed = false;
    assert_eq!(pick(&[closed], &times(156)), Choice::Wait);
}

#[test]
fn a_job_that_can_only_be_late_takes_spare_capacity() {
    let late = times(40);
    assert_eq!(pick(&[candidate(60, 0, 0.5)], &late), Choice::Place(0));
    assert_eq!(pick(&[candidate(60, 0, 0.1)], &late), Choice::Wait);
    assert_eq!(pick(&[candidate(60, 5, 0.5)], &late), Choice::Wait);
    let too_late = TaskTimes {
        deadline: Time(50_000),
        ..late
    };
    assert_eq!(pick(&[candidate(60, 0, 0.5)], &too_late), Choice::Wait);
}

#[test]
fn a_job_that_could_be_in_time_waits_for_a_full_queue() {
    let fast = Candidate {
        queue_full: true,
        ..candidate(60, 0, 0.0)
    };
    let slow = candidate(200, 0, 0.9);
    assert_eq!(pick(&[fast, slow], &times(156)), Choice::Wait);
    assert_eq!(pick(&[slow], &times(156)), Choice::Place(0));
}
