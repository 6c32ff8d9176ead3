//! An upstream that does not take connections, and one that leaves calls without answer.

use chervilring_core::runs::Runner;
use chervilring_core::runs::planner::LinkNo;
use chervilring_core::runs::runner::{
    Availability, CallOutcome, CallRefusal, ListedEnd, ListedRun, Report, RunLists, RunnerStep,
    UpstreamCall, UpstreamIncarnation,
};
use chervilring_wire::{
    JobId, Micros, PlannerMessage, Resources, RunEnd, RunKey, RunnerMessage, StartRuns, Time,
};

const LINK: LinkNo = LinkNo(1);

/// How an upstream answers a call.
type Answer = fn(&UpstreamCall) -> CallOutcome;

/// A runner, its upstream, and what was called.
struct Play {
    runner: Runner,
    now: Time,
    calls: usize,
    stops: usize,
    started: usize,
    /// Runs that the planner was told not to have begun.
    refused: usize,
    /// Ends that the planner was told.
    ends: Vec<RunEnd>,
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

fn run(index: u32) -> RunKey {
    RunKey {
        job: JobId(5),
        occurrence: 0,
        step: 0,
        index,
        attempt: 1,
    }
}

fn lists(active: Vec<ListedRun>) -> CallOutcome {
    CallOutcome::Listed(RunLists {
        clock: 1,
        started_ms: 77,
        active,
        ..RunLists::default()
    })
}

/// Answers as a sound upstream that runs nothing.
fn sound(call: &UpstreamCall) -> CallOutcome {
    match call {
        UpstreamCall::Poll { .. } => lists(Vec::new()),
        _ => CallOutcome::Done { clock: Some(1) },
    }
}

impl Play {
    /// Returns a runner that knows its upstream and has a planner.
    fn new() -> Self {
        let lease = Micros::from_secs(1);
        let mut play = Self {
            runner: Runner::new("r".into(), "d".into(), lease, 1, Time(0)),
            now: Time(0),
            calls: 0,
            stops: 0,
            started: 0,
            refused: 0,
            ends: Vec::new(),
        };
        play.runner.handle_report(Time(0), report());
        play.run(20, sound);
        play.runner.link_up(play.now, LINK);
        play.runner
            .message(play.now, LINK, PlannerMessage::Heartbeat(0));
        play
    }

    /// Has runs asked for.
    fn start(&mut self, count: u32) {
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

    fn told(&mut self, message: &RunnerMessage) {
        match message {
            RunnerMessage::Started(_) => self.started += 1,
            RunnerMessage::Refused { .. } => self.refused += 1,
            RunnerMessage::Ended { end, .. } => self.ends.push(*end),
            _ => {}
        }
    }

    /// Runs for so many milliseconds with an upstream that answers each call at once.
    fn run(&mut self, millis: u64, answer: Answer) {
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
                    RunnerStep::Send { message, .. } => self.told(&message),
                    _ => {}
                }
            }
            self.runner
                .message(self.now, LINK, PlannerMessage::Heartbeat(u64::MAX));
        }
    }
}

#[test]
fn an_upstream_that_takes_no_connections_is_not_stormed() {
    let mut play = Play::new();
    play.start(8);
    play.calls = 0;
    play.run(1_000, |_| CallOutcome::NoAnswer);
    // Eight starts, and a look at it every tenth of a second in the end.
    assert!(play.calls <= 40, "{} calls in a second", play.calls);
}

#[test]
fn a_start_whose_answer_is_lost_is_asked_again_soon() {
    let mut play = Play::new();
    play.start(1);
    let lost = |call: &UpstreamCall| match call {
        UpstreamCall::Start { .. } => CallOutcome::NoAnswer,
        _ => lists(Vec::new()),
    };
    play.run(10, lost);
    assert_eq!(play.started, 0);
    play.run(40, sound);
    assert_eq!(play.started, 1);
}

#[test]
fn an_upstream_that_is_back_is_asked_again_for_what_it_did_not_answer() {
    let mut play = Play::new();
    play.start(2);
    play.run(150, |_| CallOutcome::NoAnswer);
    assert_eq!(play.started, 0);
    play.run(150, sound);
    assert_eq!(play.started, 2);
}

/// Leaves starts without answer; its lists show nothing yet.
fn mute(call: &UpstreamCall) -> CallOutcome {
    match call {
        UpstreamCall::Start { .. } => CallOutcome::NoAnswer,
        _ => sound(call),
    }
}

fn refuses(call: &UpstreamCall, reason: CallRefusal) -> CallOutcome {
    match call {
        UpstreamCall::Start { .. } => CallOutcome::Refused {
            reason,
            clock: Some(1),
        },
        _ => sound(call),
    }
}

#[test]
fn a_first_start_that_is_refused_has_not_run() {
    let mut play = Play::new();
    play.start(1);
    play.run(5, |call| refuses(call, CallRefusal::Room));
    assert_eq!((play.refused, play.ends.len()), (1, 0));
}

#[test]
fn what_ended_before_its_start_was_answered_is_told_from_the_lists() {
    let mut play = Play::new();
    play.start(1);
    play.run(10, mute);
    // The second call is told that the run has been there.
    play.run(25, |call| match call {
        UpstreamCall::Poll { .. } => CallOutcome::NoAnswer,
        _ => refuses(call, CallRefusal::Old),
    });
    play.run(150, |call| match call {
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
        _ => refuses(call, CallRefusal::Old),
    });
    assert_eq!(play.refused, 0);
    assert_eq!(play.ends, [RunEnd::Done]);
}

#[test]
fn a_second_start_that_is_refused_does_not_say_that_the_run_has_not_begun() {
    let all: [Answer; 4] = [
        |call| refuses(call, CallRefusal::Old),
        |call| refuses(call, CallRefusal::Room),
        |call| refuses(call, CallRefusal::Unhealthy),
        |call| refuses(call, CallRefusal::Invalid),
    ];
    for answer in all {
        let mut play = Play::new();
        play.start(1);
        play.run(10, mute);
        play.run(100, answer);
        assert_eq!(play.refused, 0);
        assert_eq!(play.ends, [RunEnd::Stopped]);
    }
}

#[test]
fn what_may_begin_late_is_stopped_before_it_is_given_up() {
    let mut play = Play::new();
    play.start(1);
    play.run(10, mute);
    play.run(100, |call| refuses(call, CallRefusal::Room));
    assert_eq!(play.stops, 1);
}

#[test]
fn what_an_earlier_life_may_have_begun_is_not_said_to_have_not() {
    let mut play = Play::new();
    play.start(1);
    play.run(10, mute);
    let mut next = report();
    next.incarnation.started_ms = 78;
    play.runner.handle_report(play.now, next);
    let empty = |call: &UpstreamCall| match call {
        UpstreamCall::Poll { .. } => CallOutcome::Listed(RunLists {
            clock: 1,
            started_ms: 78,
            ..RunLists::default()
        }),
        _ => refuses(call, CallRefusal::Room),
    };
    play.run(200, empty);
    assert_eq!(play.refused, 0);
    assert_eq!(play.ends.len(), 1);
}

#[test]
fn a_run_that_the_lists_show_is_not_asked_for_again() {
    let mut play = Play::new();
    play.start(1);
    play.calls = 0;
    play.run(200, |call| match call {
        UpstreamCall::Start { .. } => CallOutcome::NoAnswer,
        UpstreamCall::Stop { .. } => CallOutcome::Done { clock: Some(1) },
        UpstreamCall::Poll { .. } => lists(vec![ListedRun {
            run: run(0),
            percent: 10,
        }]),
    });
    assert_eq!(play.started, 1);
}
