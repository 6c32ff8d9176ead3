//! Single guarantees, each with the fault that it guards against.

use chervilring_core::runs::planner::JobAnswer;
use chervilring_wire::Time;

use super::world::{Direction, Event, Without, World, test_job};

fn started(planners: usize, runners: usize) -> World {
    let mut world = World::new(3, planners, runners, Without::Nothing);
    world.run(300_000);
    world
}

fn answers(world: &World, place: usize) -> Vec<JobAnswer> {
    world.jobs[place].answers.iter().map(|(_, a)| *a).collect()
}

#[test]
fn a_job_without_upstreams_is_refused_soon() {
    let mut world = World::new(4, 1, 0, Without::Nothing);
    let place = world.add_job(100_000, test_job(1, 2, 200));
    world.run(2_000_000);
    assert!(matches!(
        answers(&world, place)[..],
        [JobAnswer::Refused(_)]
    ));
    let (at, _) = world.jobs[place].answers[0];
    assert!(
        world.jobs[place]
            .submitted_at
            .duration_until(at)
            .as_millis()
            <= 120
    );
}

#[test]
fn a_job_whose_task_always_fails_fails_after_its_attempts() {
    let mut world = started(1, 3);
    let mut job = test_job(1, 1, 60);
    job.fails = true;
    let place = world.add_job(0, job);
    world.run(2_000_000);
    assert_eq!(answers(&world, place), [JobAnswer::Failed]);
    assert_eq!(world.starts, 2);
}

#[test]
fn a_broken_caller_connection_stops_the_runs_of_its_job() {
    let mut world = started(1, 2);
    let mut job = test_job(1, 4, 900);
    job.submissions = 5;
    let place = world.add_job(0, job);
    world.run(200_000);
    let going = |w: &World| w.upstreams.iter().map(|u| u.active.len()).sum::<usize>();
    assert_eq!(going(&world), 4);
    world.at(0, Event::ResetCaller(place));
    world.run(100_000);
    assert_eq!(going(&world), 0);
}

#[test]
fn a_runner_cut_off_from_its_planner_stops_its_runs_before_callers_resubmit() {
    let mut world = started(1, 1);
    world.add_job(0, test_job(1, 2, 2_000));
    world.run(300_000);
    assert_eq!(world.upstreams[0].active.len(), 2);
    world.at(0, Event::Cut(0, 0, Direction::ToRunner, 5_000_000));
    world.run(800_000);
    assert_eq!(world.upstreams[0].active.len(), 0);
}

#[test]
fn an_upstream_whose_runner_is_gone_ends_its_runs() {
    let mut world = started(1, 1);
    world.add_job(0, test_job(1, 2, 2_000));
    world.run(300_000);
    world.at(0, Event::FreezeRunner(0, 3_000_001));
    world.run(600_000);
    assert_eq!(world.upstreams[0].active.len(), 0);
}

#[test]
fn a_draining_upstream_gets_no_more_runs() {
    let mut world = started(1, 2);
    world.at(0, Event::Drain(0));
    world.run(50_000);
    let place = world.add_job(0, test_job(1, 4, 200));
    world.run(100_000);
    assert_eq!(world.upstreams[0].active.len(), 0);
    assert_eq!(world.upstreams[1].active.len(), 4);
    world.run(1_000_000);
    assert_eq!(answers(&world, place), [JobAnswer::Completed]);
}

#[test]
fn a_job_at_its_start_timeout_keeps_runs_whose_starts_are_unanswered() {
    let mut world = started(1, 2);
    // Its start timeout is (1.6 x 200 + 60) / 4 = 95 ms. The upstream runs its tasks and leaves the
    // starts unanswered.
    world.mute_until = Time(world.now.0 + 110_000);
    let place = world.add_job(0, test_job(1, 4, 200));
    world.run(2_000_000);
    assert_eq!(answers(&world, place), [JobAnswer::Completed]);
    assert_eq!(world.starts, 4);
}

#[test]
fn a_job_at_its_start_timeout_is_cancelled_in_the_queue() {
    let mut world = started(1, 1);
    world.add_job(0, test_job(1, 8, 2_000));
    world.run(50_000);
    let place = world.add_job(0, test_job(2, 4, 200));
    world.run(500_000);
    assert!(matches!(
        answers(&world, place)[..],
        [JobAnswer::Refused(_)]
    ));
}

#[test]
fn an_unneeded_link_is_closed_after_its_runs_have_ended() {
    let mut world = started(1, 2);
    let place = world.add_job(0, test_job(1, 8, 900));
    world.run(200_000);
    let runs: Vec<usize> = world.upstreams.iter().map(|u| u.active.len()).collect();
    assert!(runs.iter().all(|&n| n > 0), "{runs:?}");
    world.at(0, Event::CloseLink(0, 1));
    world.run(3_000_000);
    assert_eq!(answers(&world, place), [JobAnswer::Completed]);
    assert_eq!(world.starts, 8);
    assert!(world.closed_links > 0, "the link was not closed");
}

#[test]
fn no_runs_are_started_over_an_unneeded_link() {
    let mut world = started(1, 2);
    world.at(0, Event::CloseLink(0, 1));
    world.run(10_000);
    world.add_job(0, test_job(1, 8, 900));
    world.run(100_000);
    assert_eq!(world.upstreams[1].active.len(), 0);
}
