//! Replay against the decision core: the same figures each time, and the outcomes that are stated.

use chervilring_core::dispatch::Policy;
use chervilring_dev::replay::trace::Trace;
use chervilring_dev::replay::{Summary, generate, play};

const SEED: u64 = 1;

fn summary(name: &str) -> Summary {
    let trace = generate(name, SEED).expect("the trace is one of ours");
    let policy = Policy::default();
    play(&trace, policy, SEED).summary(&trace, policy.name)
}

#[test]
fn the_same_replay_gives_the_same_figures() {
    let name = "mototaller-steady-30";
    assert_eq!(summary(name), summary(name));
}

#[test]
fn no_trace_ends_in_what_must_not_happen() {
    let scenarios = [
        "failing-worker",
        "cancellations",
        "never-run",
        "rolling-restart",
    ];
    for scenario in scenarios {
        let name = format!("vuepoint-{scenario}");
        let trace = generate(&name, SEED).expect("the trace is one of ours");
        let played = play(&trace, Policy::default(), SEED);
        assert!(
            played.violations().is_empty(),
            "{name}: {:?}",
            played.violations()
        );
    }
}

#[test]
fn steady_work_wastes_no_more_than_aimed_at() {
    let summary = summary("mototaller-steady-80");
    let wasted = summary.wasted.total();
    assert!(
        wasted <= 20.0,
        "{wasted} messages wasted for each 1,000 tasks"
    );
    let last = summary.phases.last().expect("it has phases");
    let median = last.reached.median / last.oracle.median;
    assert!(median <= 1.05, "the median is {median} of the oracle's");
}

#[test]
fn a_trace_written_and_read_is_the_same() {
    let trace = generate("vuepoint-straggler", SEED).expect("the trace is one of ours");
    let mut file = Vec::new();
    trace.write(&mut file).expect("memory can be written");
    let read = Trace::read(file.as_slice()).expect("it was just written");
    assert_eq!(read.arrivals, trace.arrivals);
    assert_eq!(read.faults, trace.faults);
    // JSON keeps numbers to the last place or the one before.
    let workers = |t: &Trace| t.head.deployment.workers.clone();
    for (read, written) in workers(&read).iter().zip(workers(&trace)) {
        assert!((read.slowness - written.slowness).abs() < 1e-12);
    }
}

#[test]
fn a_broken_line_is_named() {
    let error = Trace::read("{\"head\":1}".as_bytes()).expect_err("it is no trace");
    assert!(format!("{error:#}").contains("line 1"), "{error:#}");
}
