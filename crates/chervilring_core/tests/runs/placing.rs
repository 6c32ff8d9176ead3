//! Placing: which upstream a task gets.

use chervilring_core::runs::planner::{Choice, Offer, Wish, choose};
use chervilring_wire::{Micros, Time};

const MS: fn(u64) -> Micros = Micros::from_millis;

fn offer(run: u64, wait: u64, free: f64) -> Offer {
    Offer {
        run: MS(run),
        wait: MS(wait),
        open: true,
        full: false,
        free,
    }
}

/// Wishes for a task whose objective is so many milliseconds away.
fn wish(objective: u64) -> Wish {
    Wish {
        now: Time(0),
        objective: Time(objective * 1_000),
        deadline: Time(2_500_000),
        latest: Time(objective * 250),
        started: false,
    }
}

fn late(wish: Wish) -> Wish {
    Wish {
        started: true,
        latest: wish.objective,
        ..wish
    }
}

fn pick(offers: &[Offer], wish: &Wish) -> Choice {
    choose(offers, wish, || 0.5)
}

#[test]
fn a_long_task_gets_an_upstream_that_is_fast_enough() {
    let offers = [offer(1_640, 0, 0.9), offer(750, 0, 0.3)];
    assert_eq!(pick(&offers, &wish(1_500)), Choice::Take(1));
}

#[test]
fn a_short_task_leaves_fast_upstreams_to_others() {
    let offers = [offer(50, 0, 0.5), offer(110, 0, 0.5)];
    assert_eq!(pick(&offers, &wish(156)), Choice::Take(1));
}

#[test]
fn of_equal_upstreams_the_emptier_one_is_taken() {
    let offers = [offer(50, 0, 0.1), offer(50, 0, 0.8)];
    assert_eq!(pick(&offers, &wish(156)), Choice::Take(1));
}

#[test]
fn room_now_is_better_than_room_soon() {
    let offers = [offer(60, 15, 0.0), offer(60, 0, 0.05)];
    assert_eq!(pick(&offers, &wish(156)), Choice::Take(1));
}

#[test]
fn a_short_wait_is_better_than_none_placed() {
    let offers = [offer(60, 15, 0.0), offer(60, 30, 0.0)];
    assert_eq!(pick(&offers, &wish(156)), Choice::Take(0));
}

#[test]
fn a_wait_that_would_be_too_long_is_not_begun() {
    let offers = [offer(60, 45, 0.0)];
    assert_eq!(pick(&offers, &wish(156)), Choice::Wait);
}

#[test]
fn a_job_that_can_be_in_time_waits_for_a_fast_upstream() {
    let offers = [offer(1_640, 0, 0.9), offer(750, 500, 0.0)];
    assert_eq!(pick(&offers, &wish(1_500)), Choice::Wait);
    assert_eq!(pick(&offers, &late(wish(1_500))), Choice::Take(1));
}

#[test]
fn a_started_job_that_is_late_goes_where_it_ends_first() {
    let offers = [offer(300, 20, 0.0), offer(400, 0, 0.2)];
    assert_eq!(pick(&offers, &late(wish(200))), Choice::Take(0));
    assert_eq!(pick(&offers, &wish(200)), Choice::Wait);
}

#[test]
fn what_would_end_after_the_caller_has_left_is_not_begun() {
    let offers = [offer(2_600, 0, 0.9)];
    assert_eq!(pick(&offers, &late(wish(200))), Choice::Wait);
}

#[test]
fn a_closed_upstream_is_never_taken() {
    let mut closed = offer(50, 0, 0.9);
    closed.open = false;
    assert_eq!(pick(&[closed], &wish(156)), Choice::Wait);
}

#[test]
fn a_job_that_can_only_be_late_takes_room_to_spare() {
    let late = wish(40);
    assert_eq!(pick(&[offer(60, 0, 0.5)], &late), Choice::Take(0));
    assert_eq!(pick(&[offer(60, 0, 0.1)], &late), Choice::Wait);
    assert_eq!(pick(&[offer(60, 5, 0.5)], &late), Choice::Wait);
    let gone = Wish {
        deadline: Time(50_000),
        ..late
    };
    assert_eq!(pick(&[offer(60, 0, 0.5)], &gone), Choice::Wait);
}

#[test]
fn a_job_that_could_be_in_time_waits_for_a_full_queue() {
    let fast = Offer {
        full: true,
        ..offer(60, 0, 0.0)
    };
    let slow = offer(200, 0, 0.9);
    assert_eq!(pick(&[fast, slow], &wish(156)), Choice::Wait);
    assert_eq!(pick(&[slow], &wish(156)), Choice::Take(0));
}
