//! What a runner that starts again knows of its upstream.

use chervilring_core::runs::runner::{
    CallOutcome, Lists, Record, Report, RunnerStep, WorkerCall, WorkerLife, WorkerState,
};
use chervilring_core::runs::{Runner, Speed};
use chervilring_wire::{Micros, Resources, Time};

/// When the life of the upstream began, in milliseconds since the Unix epoch.
const BORN: u64 = 77;

fn runner(now: Time) -> Runner {
    let lease = Micros::from_secs(1);
    Runner::new("r".into(), "d".into(), lease, 1, now)
}

fn report(state: WorkerState, sequence: u64) -> Report {
    Report {
        life: WorkerLife {
            id: "u".into(),
            born: BORN,
            addr: "127.0.0.1:1".parse().unwrap(),
        },
        service: "s".into(),
        domain: "d".into(),
        state,
        capacity: Resources {
            cpu: 8_000,
            memory: 1_000,
            gpu: 0,
        },
        labels: Vec::new(),
        sequence,
        clock: Some(sequence),
    }
}

/// Returns what was last to be kept for the next life of the runner.
fn kept(runner: &mut Runner) -> Option<Record> {
    let steps = runner.drain().into_iter();
    let rows = steps.filter_map(|step| match step {
        RunnerStep::Keep(record) => Some(record),
        _ => None,
    });
    rows.last()
}

/// Has the upstream answer the calls for its lists: nothing runs there.
fn answer_lists(runner: &mut Runner, now: Time) {
    let calls = runner.drain().into_iter().filter_map(|step| match step {
        RunnerStep::Call(call @ WorkerCall::Hold { .. }) => Some(call),
        _ => None,
    });
    for call in calls.collect::<Vec<_>>() {
        let lists = Lists {
            clock: 9,
            born: BORN,
            ..Lists::default()
        };
        runner.called(now, now, &call, CallOutcome::Listed(lists));
    }
}

/// Returns whether a runner that starts with what was kept takes work for an upstream that answers.
fn is_open_again(record: Record) -> bool {
    let mut next = runner(Time(5_000_000));
    next.recall(Time(5_000_000), record, true);
    answer_lists(&mut next, Time(5_001_000));
    next.is_open()
}

#[test]
fn an_upstream_that_takes_work_does_so_for_the_next_life_of_its_runner() {
    let mut first = runner(Time(0));
    first.reported(Time(0), report(WorkerState::Ready, 1));
    let record = kept(&mut first).expect("the first report is kept");
    assert!(is_open_again(record));
}

#[test]
fn an_upstream_that_leaves_gets_nothing_from_the_next_life_of_its_runner() {
    let mut first = runner(Time(0));
    first.reported(Time(0), report(WorkerState::Ready, 1));
    first.drain();
    first.reported(Time(1_000), report(WorkerState::Draining, 2));
    let record = kept(&mut first).expect("the change is kept");
    assert!(!is_open_again(record));
}

#[test]
fn an_upstream_that_has_left_gets_nothing_from_the_next_life_of_its_runner() {
    let mut first = runner(Time(0));
    first.reported(Time(0), report(WorkerState::Ready, 1));
    first.drain();
    first.left(Time(1_000), "u");
    let record = kept(&mut first).expect("the change is kept");
    assert!(!is_open_again(record));
}

#[test]
fn reports_without_news_are_not_kept_again() {
    let mut first = runner(Time(0));
    first.reported(Time(0), report(WorkerState::Ready, 1));
    first.drain();
    first.reported(Time(1_000), report(WorkerState::Ready, 2));
    assert_eq!(kept(&mut first), None);
}

#[test]
fn a_new_life_of_the_upstream_is_as_fast_as_the_one_before_on_its_host() {
    let mut speed = Speed::default();
    for _ in 0..50 {
        speed.learn(Micros::from_millis(100), Micros::from_millis(200));
    }
    let record = Record {
        report: report(WorkerState::Ready, 1),
        speed,
    };
    let mut next = runner(Time(5_000_000));
    next.recall(Time(5_000_000), record, false);
    assert!(!next.is_open());
    let mut report = report(WorkerState::Ready, 1);
    report.life.born = BORN + 1;
    next.reported(Time(5_100_000), report);
    let record = kept(&mut next).expect("the new life is kept");
    assert!(record.speed.value() < 0.6, "{:?}", record.speed);
}
