//! Runs whose planner is not heard: they have ended by the time at which it may start their tasks elsewhere.

use chervilring_core::runs::runner::{CallOutcome, ListedRun, RunLists, RunnerStep, UpstreamCall};
use chervilring_core::runs::{LINK_TIMEOUT, MAX_ORPHAN_TIME};
use chervilring_wire::{Micros, RunnerMessage, Time};

use super::down::{Harness, LINK, healthy, run};

/// Returns whether the runner is about to send a start.
fn sends_start(harness: &mut Harness) -> bool {
    let is_start = |s: &RunnerStep| matches!(s, RunnerStep::Call(UpstreamCall::Start { .. }));
    harness.runner.drain().iter().any(is_start)
}

/// Lists the first run as active; the clock of the upstream is that of the test.
fn active(now: Time) -> CallOutcome {
    CallOutcome::Listed(RunLists {
        clock: now.0 / 1_000,
        started_ms: 77,
        active: vec![ListedRun {
            run: run(0),
            percent: 10,
        }],
        ..RunLists::default()
    })
}

/// Ticks for `millis` milliseconds, answers polls by the lists and leaves all other calls unanswered.
/// Returns until when the lease was extended at most, and the number of stops.
fn play_unanswered(harness: &mut Harness, millis: u64) -> (Time, u32) {
    let (mut granted, mut stops) = (Time::default(), 0);
    for _ in 0..millis {
        harness.now = harness.now + Micros::from_millis(1);
        harness.runner.tick(harness.now);
        for step in harness.runner.drain() {
            let RunnerStep::Call(call) = step else {
                continue;
            };
            if let UpstreamCall::Poll {
                lease_end: Some(end),
                ..
            } = &call
            {
                granted = granted.max(Time(end * 1_000));
            }
            stops += u32::from(matches!(call, UpstreamCall::Stop { .. }));
            let outcome = match call {
                UpstreamCall::Poll { .. } => active(harness.now),
                _ => CallOutcome::NoAnswer,
            };
            let now = harness.now;
            harness.runner.call_finished(now, now, &call, outcome);
        }
    }
    (granted, stops)
}

/// Guards against starts that have waited in the socket of a late process while their tasks were started
/// elsewhere.
#[test]
fn a_start_that_is_read_when_its_link_is_overdue_is_refused() {
    let mut harness = Harness::new();
    harness.runner.drain();
    harness.now = harness.now + LINK_TIMEOUT + Micros::from_millis(50);
    harness.start(1);
    let steps = harness.runner.drain();
    let is_refusal = |s: &RunnerStep| {
        matches!(
            s,
            RunnerStep::Send {
                message: RunnerMessage::Refused { .. },
                ..
            }
        )
    };
    assert!(steps.iter().any(is_refusal), "{steps:?}");
    assert!(
        !steps
            .iter()
            .any(|s| matches!(s, RunnerStep::Call(UpstreamCall::Start { .. })))
    );
}

/// Guards against a start that is read together with the end of its link.
#[test]
fn a_start_whose_link_ends_before_it_is_sent_is_not_sent() {
    let mut harness = Harness::new();
    harness.start(1);
    harness.runner.link_down(harness.now, LINK);
    assert!(!sends_start(&mut harness));
    assert_eq!(harness.runner.run_count(), 0);
}

/// Guards against runs of a lost link that keep their lease as long as the upstream answers for its lists
/// and not for stops.
#[test]
fn the_lease_ends_with_a_run_whose_stop_gets_no_answer() {
    let mut harness = Harness::new();
    harness.start(1);
    harness.run(30, healthy_with_run);
    harness.runner.link_down(harness.now, LINK);
    let lost = harness.now;
    let (granted, stops) = play_unanswered(&mut harness, 2_000);
    assert!(stops > 1);
    assert!(
        granted < lost + MAX_ORPHAN_TIME,
        "until {granted:?}, lost at {lost:?}"
    );
}

fn healthy_with_run(call: &UpstreamCall) -> CallOutcome {
    match call {
        UpstreamCall::Poll { .. } => active(Time(1_000)),
        _ => healthy(call),
    }
}

/// Guards against a run that goes on after its end was told, as its upstream was late with ending it.
#[test]
fn a_run_that_is_listed_after_its_lease_has_expired_is_stopped() {
    let mut harness = Harness::new();
    harness.start(1);
    harness.run(30, healthy_with_run);
    harness.run(1_500, |_| CallOutcome::NoAnswer);
    assert_eq!(harness.ends.len(), 1, "its end was told");
    let (granted, stops) = play_unanswered(&mut harness, 300);
    assert!(stops > 0);
    assert_eq!(granted, Time::default());
}
