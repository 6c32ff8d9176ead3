//! Single promises, each with the fault that it is about.

use chervilring_core::runs::planner::JobAnswer;
use chervilring_wire::Time;

use super::world::{Happening, Way, Without, World, wanted};

fn started(planners: usize, runners: usize) -> World {
    let mut world = World::new(3, planners, runners, Without::Nothing);
    world.run(300_000);
    world
}

fn answers(world: &World, place: usize) -> Vec<JobAnswer> {
    world.jobs[place].answers.iter().map(|(_, a)| *a).collect()
}

#[test]
fn a_job_without_upstreams_is_refused_and_not_held() {
    let mut world = World::new(4, 1, 0, Without::Nothing);
    let place = world.want(100_000, wanted(1, 2, 200));
    world.run(2_000_000);
    assert!(matches!(
        answers(&world, place)[..],
        [JobAnswer::Refused(_)]
    ));
    let (at, _) = world.jobs[place].answers[0];
    assert!(world.jobs[place].first.duration_until(at).as_millis() <= 120);
}

#[test]
fn a_job_that_can_never_be_done_fails_after_its_attempts() {
    let mut world = started(1, 3);
    let mut job = wanted(1, 1, 60);
    job.fails = true;
    let place = world.want(0, job);
    world.run(2_000_000);
    assert_eq!(answers(&world, place), [JobAnswer::Failed]);
    assert_eq!(world.starts, 2);
}

#[test]
fn a_broken_connection_stops_what_was_asked_over_it() {
    let mut world = started(1, 2);
    let mut job = wanted(1, 4, 900);
    job.tries = 5;
    let place = world.want(0, job);
    world.run(200_000);
    let going = |w: &World| w.upstreams.iter().map(|u| u.active.len()).sum::<usize>();
    assert_eq!(going(&world), 4);
    world.at(0, Happening::ResetCaller(place));
    world.run(100_000);
    assert_eq!(going(&world), 0);
}

#[test]
fn a_runner_that_hears_no_planner_stops_its_runs_before_callers_come_back() {
    let mut world = started(1, 1);
    world.want(0, wanted(1, 2, 2_000));
    world.run(300_000);
    assert_eq!(world.upstreams[0].active.len(), 2);
    world.at(0, Happening::Cut(0, 0, Way::ToRunner, 5_000_000));
    world.run(800_000);
    assert_eq!(world.upstreams[0].active.len(), 0);
}

#[test]
fn an_upstream_whose_runner_is_gone_ends_its_runs() {
    let mut world = started(1, 1);
    world.want(0, wanted(1, 2, 2_000));
    world.run(300_000);
    world.at(0, Happening::FreezeRunner(0, 3_000_001));
    world.run(600_000);
    assert_eq!(world.upstreams[0].active.len(), 0);
}

#[test]
fn a_leaving_upstream_gets_nothing_more() {
    let mut world = started(1, 2);
    world.at(0, Happening::Drain(0));
    world.run(50_000);
    let place = world.want(0, wanted(1, 4, 200));
    world.run(100_000);
    assert_eq!(world.upstreams[0].active.len(), 0);
    assert_eq!(world.upstreams[1].active.len(), 4);
    world.run(1_000_000);
    assert_eq!(answers(&world, place), [JobAnswer::Completed]);
}

#[test]
fn a_job_at_the_end_of_its_hold_keeps_what_has_begun_unanswered() {
    let mut world = started(1, 2);
    // Its hold is (1.6 x 200 + 60) / 4 = 95 ms; the upstream runs its tasks and does not say so.
    world.mute = Time(world.now.0 + 110_000);
    let place = world.want(0, wanted(1, 4, 200));
    world.run(2_000_000);
    assert_eq!(answers(&world, place), [JobAnswer::Completed]);
    assert_eq!(world.starts, 4);
}

#[test]
fn a_job_at_the_end_of_its_hold_is_called_back_from_a_queue() {
    let mut world = started(1, 1);
    world.want(0, wanted(1, 8, 2_000));
    world.run(50_000);
    let place = world.want(0, wanted(2, 4, 200));
    world.run(500_000);
    assert!(matches!(
        answers(&world, place)[..],
        [JobAnswer::Refused(_)]
    ));
}

#[test]
fn a_link_that_is_not_needed_ends_when_its_runs_have() {
    let mut world = started(1, 2);
    let place = world.want(0, wanted(1, 8, 900));
    world.run(200_000);
    let runs: Vec<usize> = world.upstreams.iter().map(|u| u.active.len()).collect();
    assert!(runs.iter().all(|&n| n > 0), "{runs:?}");
    world.at(0, Happening::Part(0, 1));
    world.run(3_000_000);
    assert_eq!(answers(&world, place), [JobAnswer::Completed]);
    assert_eq!(world.starts, 8);
    assert!(world.parted > 0, "the link was not closed");
}

#[test]
fn over_a_link_that_is_not_needed_nothing_more_is_started() {
    let mut world = started(1, 2);
    world.at(0, Happening::Part(0, 1));
    world.run(10_000);
    world.want(0, wanted(1, 8, 900));
    world.run(100_000);
    assert_eq!(world.upstreams[1].active.len(), 0);
}
