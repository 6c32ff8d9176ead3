//! An upstream that does not take connections, and one that loses single answers.

use chervilring_core::runs::Runner;
use chervilring_core::runs::planner::LinkNo;
use chervilring_core::runs::runner::{
    CallOutcome, ListedRun, Lists, Report, RunnerStep, WorkerCall, WorkerLife, WorkerState,
};
use chervilring_wire::{
    JobId, Micros, PlannerMessage, Resources, RunKey, RunnerMessage, StartRuns, Time,
};

const LINK: LinkNo = LinkNo(1);

/// How an upstream answers a call.
type Answer = fn(&WorkerCall) -> CallOutcome;

/// A runner, its upstream, and what was called.
struct Play {
    runner: Runner,
    now: Time,
    calls: usize,
    started: usize,
}

fn report() -> Report {
    Report {
        life: WorkerLife {
            id: "u".into(),
            born: 77,
            addr: "127.0.0.1:1".parse().unwrap(),
        },
        service: "s".into(),
        domain: "d".into(),
        state: WorkerState::Ready,
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

fn lists(active: Vec<ListedRun>) -> CallOutcome {
    CallOutcome::Listed(Lists {
        clock: 1,
        born: 77,
        active,
        ..Lists::default()
    })
}

/// Answers as a sound upstream that runs nothing.
fn sound(call: &WorkerCall) -> CallOutcome {
    match call {
        WorkerCall::Hold { .. } => lists(Vec::new()),
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
            started: 0,
        };
        play.runner.reported(Time(0), report());
        play.run(20, sound);
        play.runner.link_up(play.now, LINK);
        play.runner.message(play.now, LINK, PlannerMessage::Beat(0));
        play
    }

    /// Has runs asked for.
    fn start(&mut self, count: u32) {
        let run = |index| RunKey {
            job: JobId(5),
            occurrence: 0,
            step: 0,
            index,
            attempt: 1,
        };
        let start = StartRuns {
            number: 1,
            service: "s".into(),
            spec: "spec".into(),
            demand: Resources {
                cpu: 1_000,
                memory: 10,
                gpu: 0,
            },
            size: Micros::from_millis(200),
            patience: Micros::from_millis(500),
            runs: (0..count).map(run).collect(),
        };
        self.runner
            .message(self.now, LINK, PlannerMessage::Start(start));
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
                        let outcome = answer(&call);
                        self.runner.called(self.now, self.now, &call, outcome);
                    }
                    RunnerStep::Send {
                        message: RunnerMessage::Started(_),
                        ..
                    } => self.started += 1,
                    _ => {}
                }
            }
            self.runner
                .message(self.now, LINK, PlannerMessage::Beat(u64::MAX));
        }
    }
}

#[test]
fn an_upstream_that_takes_no_connections_is_not_stormed() {
    let mut play = Play::new();
    play.start(8);
    play.calls = 0;
    play.run(1_000, |_| CallOutcome::Lost);
    // Eight starts, and a look at it every tenth of a second in the end.
    assert!(play.calls <= 40, "{} calls in a second", play.calls);
}

#[test]
fn a_start_whose_answer_is_lost_is_asked_again_soon() {
    let mut play = Play::new();
    play.start(1);
    let lost = |call: &WorkerCall| match call {
        WorkerCall::Start { .. } => CallOutcome::Lost,
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
    play.run(150, |_| CallOutcome::Lost);
    assert_eq!(play.started, 0);
    play.run(150, sound);
    assert_eq!(play.started, 2);
}
