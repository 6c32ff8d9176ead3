//! Log events of links: each planner is logged as reached and as lost once.

use chervilring_core::runs::Runner;
use chervilring_core::runs::planner::LinkNo;
use chervilring_core::runs::runner::{RunnerEvent, RunnerStep};
use chervilring_wire::{Micros, PlannerMessage, Time};

fn runner() -> Runner {
    let lease = Micros::from_secs(1);
    Runner::new("r".into(), "d".into(), lease, 1, Time(0))
}

fn logged(runner: &mut Runner) -> Vec<RunnerEvent> {
    let steps = runner.drain().into_iter();
    let events = steps.filter_map(|step| match step {
        RunnerStep::Log(event) => Some(event),
        _ => None,
    });
    events.collect()
}

#[test]
fn a_planner_that_cannot_be_reached_is_not_logged_as_lost() {
    let mut runner = runner();
    for link in 0..9 {
        runner.link_up(Time(1_000), LinkNo(link));
        runner.link_down(Time(2_000), LinkNo(link));
    }
    assert_eq!(logged(&mut runner), []);
}

#[test]
fn a_planner_that_answers_is_logged_as_reached_and_as_lost_once() {
    let mut runner = runner();
    runner.link_up(Time(1_000), LinkNo(7));
    runner.message(Time(2_000), LinkNo(7), PlannerMessage::Heartbeat(0));
    runner.message(Time(3_000), LinkNo(7), PlannerMessage::Heartbeat(0));
    assert_eq!(logged(&mut runner), [RunnerEvent::LinkUp { link: 7 }]);
    runner.link_down(Time(4_000), LinkNo(7));
    let lost = RunnerEvent::LinkLost {
        link: 7,
        reason: "closed",
        runs: 0,
    };
    assert_eq!(logged(&mut runner), [lost]);
}
