//! What a restarted runner knows of its upstream.

use chervilring_core::runs::runner::{
    Availability, CallOutcome, Report, RunLists, RunnerStep, UpstreamCall, UpstreamIncarnation,
    UpstreamRecord,
};
use chervilring_core::runs::{Runner, Speed};
use chervilring_wire::{Micros, Resources, Time};

/// When the upstream's incarnation started, in milliseconds since the Unix epoch.
const STARTED_MS: u64 = 77;

fn runner(now: Time) -> Runner {
    let lease = Micros::from_secs(1);
    Runner::new("r".into(), "d".into(), lease, 1, now)
}

fn report(state: Availability, sequence: u64) -> Report {
    Report {
        incarnation: UpstreamIncarnation {
            id: "u".into(),
            started_ms: STARTED_MS,
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

/// Returns the last record that the runner stored.
fn last_record(runner: &mut Runner) -> Option<UpstreamRecord> {
    let steps = runner.drain().into_iter();
    let rows = steps.filter_map(|step| match step {
        RunnerStep::StoreRecord(record) => Some(record),
        _ => None,
    });
    rows.last()
}

/// Answers the runner's polls with empty lists.
fn answer_lists(runner: &mut Runner, now: Time) {
    answer_lists_of(runner, now, STARTED_MS);
}

/// Answers the runner's polls with the empty lists of an incarnation that started at a time.
fn answer_lists_of(runner: &mut Runner, now: Time, started_ms: u64) {
    answer_polls(runner, now, |_| {
        CallOutcome::Listed(RunLists {
            clock: 9,
            started_ms,
            ..RunLists::default()
        })
    });
}

/// Answers the runner's polls.
fn answer_polls(runner: &mut Runner, now: Time, outcome: impl Fn(&UpstreamCall) -> CallOutcome) {
    runner.tick(now);
    let calls = runner.drain().into_iter().filter_map(|step| match step {
        RunnerStep::Call(call @ UpstreamCall::Poll { .. }) => Some(call),
        _ => None,
    });
    for call in calls.collect::<Vec<_>>() {
        let outcome = outcome(&call);
        runner.call_finished(now, now, &call, outcome);
    }
}

/// Returns whether a runner that restores the record accepts runs for an upstream that answers.
fn accepts_after_restart(record: UpstreamRecord) -> bool {
    let mut next = runner(Time(5_000_000));
    next.restore(Time(5_000_000), record, true);
    answer_lists(&mut next, Time(5_001_000));
    next.is_accepting()
}

#[test]
fn a_restarted_runner_uses_an_upstream_that_accepts_work() {
    let mut first = runner(Time(0));
    first.handle_report(Time(0), report(Availability::Ready, 1));
    let record = last_record(&mut first).expect("the first report is stored");
    assert!(accepts_after_restart(record));
}

#[test]
fn a_restarted_runner_does_not_use_an_upstream_that_drains() {
    let mut first = runner(Time(0));
    first.handle_report(Time(0), report(Availability::Ready, 1));
    first.drain();
    first.handle_report(Time(1_000), report(Availability::Draining, 2));
    let record = last_record(&mut first).expect("the change is stored");
    assert!(!accepts_after_restart(record));
}

#[test]
fn a_restarted_runner_does_not_use_an_upstream_that_has_left() {
    let mut first = runner(Time(0));
    first.handle_report(Time(0), report(Availability::Ready, 1));
    first.drain();
    first.upstream_left(Time(1_000), "u");
    let record = last_record(&mut first).expect("the change is stored");
    assert!(!accepts_after_restart(record));
}

#[test]
fn reports_without_changes_are_not_stored_again() {
    let mut first = runner(Time(0));
    first.handle_report(Time(0), report(Availability::Ready, 1));
    first.drain();
    first.handle_report(Time(1_000), report(Availability::Ready, 2));
    assert_eq!(last_record(&mut first), None);
}

#[test]
fn a_new_incarnation_of_the_upstream_keeps_the_speed_of_its_host() {
    let mut speed = Speed::default();
    for _ in 0..50 {
        speed.record(Micros::from_millis(100), Micros::from_millis(200));
    }
    let record = UpstreamRecord {
        report: report(Availability::Ready, 1),
        speed,
    };
    let mut next = runner(Time(5_000_000));
    next.restore(Time(5_000_000), record, false);
    assert!(!next.is_accepting());
    let mut report = report(Availability::Ready, 1);
    report.incarnation.started_ms = STARTED_MS + 1;
    next.handle_report(Time(5_100_000), report);
    let record = last_record(&mut next).expect("the new incarnation is stored");
    assert!(record.speed.value() < 0.6, "{:?}", record.speed);
}

/// Returns a runner whose upstream answers.
fn runner_at_work() -> Runner {
    let mut runner = runner(Time(0));
    runner.handle_report(Time(0), report(Availability::Ready, 5));
    answer_lists(&mut runner, Time(1_000));
    assert!(runner.is_accepting());
    runner
}

/// Returns a report of an incarnation that seems to have started before the current one.
fn earlier_report(id: &str, state: Availability) -> Report {
    let mut report = report(state, 1);
    report.incarnation.id = id.into();
    report.incarnation.started_ms = STARTED_MS - 50;
    report
}

/// Guards against an upstream whose reports are dropped for good because the time of day has fallen.
#[test]
fn an_incarnation_whose_start_time_has_fallen_takes_its_place() {
    let mut runner = runner_at_work();
    let draining = earlier_report("u", Availability::Draining);
    runner.handle_report(Time(150_000), draining);
    answer_lists_of(&mut runner, Time(300_000), STARTED_MS - 50);
    answer_lists_of(&mut runner, Time(450_000), STARTED_MS - 50);
    assert!(!runner.is_accepting(), "its report was dropped");
    let mut ready = earlier_report("u", Availability::Ready);
    ready.sequence = 2;
    assert!(runner.handle_report(Time(600_000), ready));
    assert!(runner.is_accepting());
}

/// Guards against lists that are dropped for good, with the ends of runs in them.
#[test]
fn the_lists_of_an_incarnation_whose_start_time_has_fallen_count() {
    let mut runner = runner_at_work();
    answer_lists_of(&mut runner, Time(300_000), STARTED_MS - 50);
    assert!(!runner.is_accepting(), "it has not reported yet");
    answer_lists_of(&mut runner, Time(450_000), STARTED_MS - 50);
    assert!(runner.handle_report(Time(600_000), earlier_report("u", Availability::Ready)));
    assert!(runner.is_accepting());
}

#[test]
fn a_late_report_of_an_earlier_incarnation_changes_nothing() {
    let mut runner = runner_at_work();
    for id in ["u", "v"] {
        assert!(!runner.handle_report(Time(150_000), earlier_report(id, Availability::Draining)));
        answer_lists(&mut runner, Time(300_000));
        assert!(runner.is_accepting());
    }
}

/// Guards against a late report that ends the runs of an upstream which goes on with them.
#[test]
fn another_upstream_does_not_take_the_place_of_one_that_answers() {
    let mut runner = runner_at_work();
    let mut other = report(Availability::Ready, 1);
    other.incarnation.id = "v".into();
    other.incarnation.started_ms += 50;
    assert!(!runner.handle_report(Time(150_000), other));
    answer_lists(&mut runner, Time(300_000));
    answer_polls(&mut runner, Time(450_000), |_| CallOutcome::NotListening);
    let record = last_record(&mut runner).expect("the other one is there");
    assert_eq!(&*record.report.incarnation.id, "v");
}

#[test]
fn another_upstream_whose_start_time_has_fallen_takes_the_place_of_one_that_is_gone() {
    let mut runner = runner_at_work();
    answer_polls(&mut runner, Time(300_000), |_| CallOutcome::NotListening);
    assert!(runner.handle_report(Time(450_000), earlier_report("v", Availability::Ready)));
    answer_lists_of(&mut runner, Time(600_000), STARTED_MS - 50);
    assert!(runner.is_accepting());
}

/// Guards against a report of another program that keeps the upstream out for good.
#[test]
fn an_upstream_takes_the_place_of_one_that_has_never_answered() {
    for id in ["u", "v"] {
        let mut runner = runner(Time(0));
        let mut odd = report(Availability::Ready, 1);
        odd.incarnation.id = id.into();
        odd.incarnation.started_ms = u64::MAX;
        odd.clock = Some(u64::MAX);
        odd.capacity.cpu = u64::MAX;
        runner.handle_report(Time(0), odd);
        answer_polls(&mut runner, Time(1_000), |_| CallOutcome::NoAnswer);
        runner.handle_report(Time(150_000), report(Availability::Ready, 1));
        answer_lists(&mut runner, Time(300_000));
        assert!(runner.is_accepting(), "{id}");
    }
}

#[test]
fn a_clock_near_its_greatest_value_ends_nothing() {
    let mut lease = chervilring_core::runs::runner::Lease::default();
    lease.record_clock(Time(0), u64::MAX);
    assert_eq!(
        lease.extend(Time(1), Micros::from_millis(450)),
        Some(u64::MAX)
    );
}
