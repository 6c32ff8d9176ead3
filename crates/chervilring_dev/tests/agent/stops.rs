//! Planned stops of agent and upstream.

use chervilring_wire::{AgentState, Micros, Reason, TaskOutcome, Verdict};

use crate::fake_entry::{BOUND, until};
use crate::worker::Worker;

const LONG: Micros = Micros::from_secs(25);

fn is_refused(outcome: &TaskOutcome) -> bool {
    matches!(outcome, TaskOutcome::Failed(f)
        if f.verdict == Verdict::NotRun && f.reason == Reason::Leaving)
}

#[test]
fn a_stopping_agent_cuts_nothing_off() {
    let mut worker = Worker::start(2);
    worker.entry.confirms = false;
    let running = worker.entry.start(1, r#"{"work_ms":700}"#, LONG);
    until("the task runs", || worker.upstream.counts().total == 1);
    worker.agent.terminate();
    worker.entry.wait_state(AgentState::Leaving);
    let late = worker.entry.start(2, "{}", LONG);
    assert!(is_refused(&worker.entry.answer(late)));
    assert!(matches!(worker.entry.answer(running), TaskOutcome::Done(_)));
    assert!(
        worker.agent.is_running(),
        "it waits for the answer to be confirmed"
    );
    let keys = vec![running, late];
    worker
        .entry
        .send(&chervilring_wire::EntryMessage::AckAnswers(keys));
    let status = worker.agent.wait(BOUND).expect("it ends");
    assert!(status.success(), "{status}");
    assert_eq!(worker.upstream.counts().total, 1);
}

#[test]
fn a_leaving_upstream_gets_no_more_work() {
    let mut worker = Worker::start(1);
    let running = worker.entry.start(1, r#"{"work_ms":500}"#, LONG);
    until("the task runs", || worker.upstream.counts().total == 1);
    let queued = worker.entry.start(2, "{}", LONG);
    worker.upstream.leave();
    worker.entry.wait_state(AgentState::Leaving);
    assert!(is_refused(&worker.entry.answer(queued)));
    let late = worker.entry.start(3, "{}", LONG);
    assert!(is_refused(&worker.entry.answer(late)));
    assert!(matches!(worker.entry.answer(running), TaskOutcome::Done(_)));
    assert_eq!(worker.upstream.counts().total, 1);
}

#[test]
fn an_upstream_that_stops_announcing_itself_gets_no_more_work() {
    let mut worker = Worker::start(1);
    let faults = chervilring_dev::upstream::Faults {
        mute: true,
        ..Default::default()
    };
    worker.upstream.set_faults(faults);
    worker.entry.wait_state(AgentState::Down);
    let late = worker.entry.start(1, "{}", LONG);
    let TaskOutcome::Failed(failure) = worker.entry.answer(late) else {
        panic!("it ran");
    };
    assert_eq!(failure.verdict, Verdict::NotRun);
    assert_eq!(worker.upstream.counts().total, 0);
}
