//! What a runner that starts again knows of its upstream.

use chervilring_core::runs::runner::{
    Availability, CallOutcome, Report, RunLists, RunnerStep, UpstreamCall, UpstreamIncarnation,
    UpstreamRecord,
};
use chervilring_core::runs::{Runner, Speed};
use chervilring_wire::{Micros, Resources, Time};

/// When the life of the upstream began, in milliseconds since the Unix epoch.
const BORN: u64 = 77;

fn runner(now: Time) -> Runner {
    let lease = Micros::from_secs(1);
    Runner::new("r".into(), "d".into(), lease, 1, now)
}

fn report(state: Availability, sequence: u64) -> Report {
    Report {
        incarnation: UpstreamIncarnation {
            id: "u".into(),
            started_ms: BORN,
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
fn kept(runner: &mut Runner) -> Option<UpstreamRecord> {
    let steps = runner.drain().into_iter();
    let rows = steps.filter_map(|step| match step {
        RunnerStep::StoreRecord(record) => Some(record),
        _ => None,
    });
    rows.last()
}

/// Has the upstream answer the calls for its lists: nothing runs there.
fn answer_lists(runner: &mut Runner, now: Time) {
    let calls = runner.drain().into_iter().filter_map(|step| match step {
        RunnerStep::Call(call @ UpstreamCall::Poll { .. }) => Some(call),
        _ => None,
    });
    for call in calls.collect::<Vec<_>>() {
        let lists = RunLists {
            clock: 9,
            started_ms: BORN,
            ..RunLists::default()
        };
        runner.call_finished(now, now, &call, CallOutcome::Listed(lists));
    }
}

/// Returns whether a runner that starts with what was kept takes work for an upstream that answers.
fn is_open_again(record: UpstreamRecord) -> bool {
    let mut next = runner(Time(5_000_000));
    next.restore(Time(5_000_000), record, true);
    answer_lists(&mut next, Time(5_001_000));
    next.is_accepting()
}

#[test]
fn an_upstream_that_takes_work_does_so_for_the_next_life_of_its_runner() {
    let mut first = runner(Time(0));
    first.handle_report(Time(0), report(Availability::Ready, 1));
    let record = kept(&mut first).expect("the first report is kept");
    assert!(is_open_again(record));
}

#[test]
fn an_upstream_that_leaves_gets_nothing_from_the_next_life_of_its_runner() {
    let mut first = runner(Time(0));
    first.handle_report(Time(0), report(Availability::Ready, 1));
    first.drain();
    first.handle_report(Time(1_000), report(Availability::Draining, 2));
    let record = kept(&mut first).expect("the change is kept");
    assert!(!is_open_again(record));
}

#[test]
fn an_upstream_that_has_left_gets_nothing_from_the_next_life_of_its_runner() {
    let mut first = runner(Time(0));
    first.handle_report(Time(0), report(Availability::Ready, 1));
    first.drain();
    first.upstream_left(Time(1_000), "u");
    let record = kept(&mut first).expect("the change is kept");
    assert!(!is_open_again(record));
}

#[test]
fn reports_without_news_are_not_kept_again() {
    let mut first = runner(Time(0));
    first.handle_report(Time(0), report(Availability::Ready, 1));
    first.drain();
    first.handle_report(Time(1_000), report(Availability::Ready, 2));
    assert_eq!(kept(&mut first), None);
}

#[test]
fn a_new_life_of_the_upstream_is_as_fast_as_the_one_before_on_its_host() {
    let mut speed = Speed::default();
    for _ in 0..50 {
        speed.record_run(Micros::from_millis(100), Micros::from_millis(200));
    }
    let record = UpstreamRecord {
        report: report(Availability::Ready, 1),
        speed,
    };
    let mut next = runner(Time(5_000_000));
    next.restore(Time(5_000_000), record, false);
    assert!(!next.is_accepting());
    let mut report = report(Availability::Ready, 1);
    report.incarnation.started_ms = BORN + 1;
    next.handle_report(Time(5_100_000), report);
    let record = kept(&mut next).expect("the new life is kept");
    assert!(record.speed.value() < 0.6, "{:?}", record.speed);
}
