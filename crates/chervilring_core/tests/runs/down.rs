//! Runners with an upstream that refuses connections or leaves calls unanswered.

use chervilring_core::runs::Runner;
use chervilring_core::runs::planner::LinkNo;
use chervilring_core::runs::runner::{
    Availability, CallOutcome, CallRefusal, ListedEnd, ListedRun, Report, RunLists, RunnerStep,
    UpstreamCall, UpstreamIncarnation,
};
use chervilring_wire::{
    JobId, Micros, PlannerMessage, Resources, RunEnd, RunKey, RunnerMessage, StartRuns, Time,
};

pub(crate) const LINK: LinkNo = LinkNo(1);

/// How an upstream answers a call.
pub(crate) type Answer = fn(&UpstreamCall) -> CallOutcome;

/// A runner with counters of its calls and messages.
pub(crate) struct Harness {
    pub(crate) runner: Runner,
    pub(crate) now: Time,
    calls: usize,
    pub(crate) stops: usize,
    pub(crate) started: usize,
    /// Runs reported to the planner as never started.
    pub(crate) refused: usize,
    /// Ends of runs reported to the planner.
    pub(crate) ends: Vec<RunEnd>,
}

fn report() -> Report {
    Report {
        incarnation: UpstreamIncarnation {
            id: "u".into(),
            started_ms: 77,
            addr: "127.0.0.1:1".parse().unwrap(),
        },
        service: "s".into(),
        domain: "d".into(),
        state: Availability::Ready,
        capacity: Resources {
            cpu: 16_000,
            memory: 1_000,
            gpu: 0,
        },
        labels: Vec::new(),
        sequence: 1,
        clock: Some(0),
    }
}

pub(crate) fn run(index: u32) -> RunKey {
    RunKey {
        job: JobId(5),
        occurrence: 0,
        step: 0,
        index,
        attempt: 1,
    }
}

pub(crate) fn lists(active: Vec<ListedRun>) -> CallOutcome {
    CallOutcome::Listed(RunLists {
        clock: 1,
        started_ms: 77,
        active,
        ..RunLists::default()
    })
}

/// Answers as a healthy upstream without runs.
pub(crate) fn healthy(call: &UpstreamCall) -> CallOutcome {
    match call {
        UpstreamCall::Poll { .. } => lists(Vec::new()),
        _ => CallOutcome::Done { clock: Some(1) },
    }
}

impl Harness {
    /// Returns a runner that has found its upstream and has a link to a planner.
    pub(crate) fn new() -> Self {
        let lease = Micros::from_secs(1);
        let mut harness = Self {
            runner: Runner::new("r".into(), "d".into(), lease, 1, Time(0)),
            now: Time(0),
            calls: 0,
            stops: 0,
            started: 0,
            refused: 0,
            ends: Vec::new(),
        };
        harness.runner.handle_report(Time(0), report());
        harness.run(20, healthy);
        harness.runner.link_up(harness.now, LINK);
        harness
            .runner
            .message(harness.now, LINK, PlannerMessage::Heartbeat(0));
        harness
    }

    /// Sends a start message for `count` runs.
    pub(crate) fn start(&mut self, count: u32) {
        let start = StartRuns {
            seq: 1,
            service: "s".into(),
            spec: "spec".into(),
            demand: Resources {
                cpu: 1_000,
                memory: 10,
                gpu: 0,
            },
            declared_runtime: Micros::from_millis(200),
            queue_timeout: Micros::from_millis(500),
            runs: (0..count).map(run).collect(),
        };
        self.runner
            .message(self.now, LINK, PlannerMessage::Start(start));
    }

    fn count(&mut self, message: &RunnerMessage) {
        match message {
            RunnerMessage::Started(_) => self.started += 1,
            RunnerMessage::Refused { .. } => self.refused += 1,
            RunnerMessage::Ended { end, .. } => self.ends.push(*end),
            _ => {}
        }
    }

    /// Runs for `millis` milliseconds with an upstream that answers each call at once.
    pub(crate) fn run(&mut self, millis: u64, answer: Answer) {
        for _ in 0..millis {
            self.now = self.now + Micros::from_millis(1);
            self.runner.tick(self.now);
            for step in self.runner.drain() {
                match step {
                    RunnerStep::Call(call) => {
                        self.calls += 1;
                        self.stops += usize::from(matches!(call, UpstreamCall::Stop { .. }));
                        let outcome = answer(&call);
                        self.runner
                            .call_finished(self.now, self.now, &call, outcome);
                    }
                    RunnerStep::Send { message, .. } => self.count(&message),
                    _ => {}
                }
            }
            self.runner
                .message(self.now, LINK, PlannerMessage::Heartbeat(u64::MAX));
        }
    }
}

#[test]
fn an_upstream_that_refuses_connections_gets_few_calls() {
    let mut harness = Harness::new();
    harness.start(8);
    harness.calls = 0;
    harness.run(1_000, |_| CallOutcome::NoAnswer);
    // Eight starts, and polls at intervals that grow to a tenth of a second.
    assert!(harness.calls <= 40, "{} calls in a second", harness.calls);
}

#[test]
fn a_start_without_an_answer_is_retried_soon() {
    let mut harness = Harness::new();
    harness.start(1);
    let lost = |call: &UpstreamCall| match call {
        UpstreamCall::Start { .. } => CallOutcome::NoAnswer,
        _ => lists(Vec::new()),
    };
    harness.run(10, lost);
    assert_eq!(harness.started, 0);
    harness.run(40, healthy);
    assert_eq!(harness.started, 1);
}

#[test]
fn unanswered_starts_are_retried_when_the_upstream_is_back() {
    let mut harness = Harness::new();
    harness.start(2);
    harness.run(150, |_| CallOutcome::NoAnswer);
    assert_eq!(harness.started, 0);
    harness.run(150, healthy);
    assert_eq!(harness.started, 2);
}

/// Leaves starts unanswered and lists no runs.
fn unanswered_starts(call: &UpstreamCall) -> CallOutcome {
    match call {
        UpstreamCall::Start { .. } => CallOutcome::NoAnswer,
        _ => healthy(call),
    }
}

fn refuse_start(call: &UpstreamCall, reason: CallRefusal) -> CallOutcome {
    match call {
        UpstreamCall::Start { .. } => CallOutcome::Refused {
            reason,
            clock: Some(1),
        },
        _ => healthy(call),
    }
}

#[test]
fn a_run_whose_first_start_is_refused_has_not_run() {
    let mut harness = Harness::new();
    harness.start(1);
    harness.run(5, |call| refuse_start(call, CallRefusal::Room));
    assert_eq!((harness.refused, harness.ends.len()), (1, 0));
}

#[test]
fn a_run_that_ended_before_its_start_was_answered_is_found_in_the_lists() {
    let mut harness = Harness::new();
    harness.start(1);
    harness.run(10, unanswered_starts);
    // The repeated start is refused because the upstream has already had the run.
    harness.run(25, |call| match call {
        UpstreamCall::Poll { .. } => CallOutcome::NoAnswer,
        _ => refuse_start(call, CallRefusal::Old),
    });
    harness.run(150, |call| match call {
        UpstreamCall::Poll { .. } => CallOutcome::Listed(RunLists {
            clock: 1,
            started_ms: 77,
            ended: vec![ListedEnd {
                seq: 1,
                run: run(0),
                end: RunEnd::Done,
            }],
            ..RunLists::default()
        }),
        _ => refuse_start(call, CallRefusal::Old),
    });
    assert_eq!(harness.refused, 0);
    assert_eq!(harness.ends, [RunEnd::Done]);
}

#[test]
fn a_refused_retry_of_a_start_does_not_show_that_the_run_never_started() {
    let all: [Answer; 4] = [
        |call| refuse_start(call, CallRefusal::Old),
        |call| refuse_start(call, CallRefusal::Room),
        |call| refuse_start(call, CallRefusal::Unhealthy),
        |call| refuse_start(call, CallRefusal::Invalid),
    ];
    for answer in all {
        let mut harness = Harness::new();
        harness.start(1);
        harness.run(10, unanswered_starts);
        harness.run(100, answer);
        assert_eq!(harness.refused, 0);
        assert_eq!(harness.ends, [RunEnd::Stopped]);
    }
}

#[test]
fn a_run_that_may_start_late_is_stopped_before_it_is_given_up() {
    let mut harness = Harness::new();
    harness.start(1);
    harness.run(10, unanswered_starts);
    harness.run(100, |call| refuse_start(call, CallRefusal::Room));
    assert_eq!(harness.stops, 1);
}

#[test]
fn a_run_that_an_earlier_incarnation_may_have_started_is_not_reported_as_never_started() {
    let mut harness = Harness::new();
    harness.start(1);
    harness.run(10, unanswered_starts);
    let mut next = report();
    next.incarnation.started_ms = 78;
    harness.runner.handle_report(harness.now, next);
    let empty = |call: &UpstreamCall| match call {
        UpstreamCall::Poll { .. } => CallOutcome::Listed(RunLists {
            clock: 1,
            started_ms: 78,
            ..RunLists::default()
        }),
        _ => refuse_start(call, CallRefusal::Room),
    };
    harness.run(200, empty);
    assert_eq!(harness.refused, 0);
    assert_eq!(harness.ends.len(), 1);
}

/// Guards against a start on an upstream that has come back as another kind, without the label that the
/// task requires.
#[test]
fn a_run_that_was_placed_on_an_earlier_incarnation_does_not_start_on_the_next_one() {
    let mut harness = Harness::new();
    harness.start(1);
    harness.run(10, unanswered_starts);
    let mut next = report();
    next.incarnation.started_ms = 78;
    next.labels = vec!["another".into()];
    harness.runner.handle_report(harness.now, next);
    harness.run(200, |call| match call {
        UpstreamCall::Poll { .. } => CallOutcome::Listed(RunLists {
            clock: 1,
            started_ms: 78,
            ..RunLists::default()
        }),
        _ => CallOutcome::Done { clock: Some(1) },
    });
    assert_eq!(harness.started, 0);
    assert_eq!(harness.ends, [RunEnd::Lapsed]);
}

#[test]
fn a_listed_run_counts_as_started_once() {
    let mut harness = Harness::new();
    harness.start(1);
    harness.calls = 0;
    harness.run(200, |call| match call {
        UpstreamCall::Start { .. } => CallOutcome::NoAnswer,
        UpstreamCall::Stop { .. } => CallOutcome::Done { clock: Some(1) },
        UpstreamCall::Poll { .. } => lists(vec![ListedRun {
            run: run(0),
            percent: 10,
        }]),
    });
    assert_eq!(harness.started, 1);
}
