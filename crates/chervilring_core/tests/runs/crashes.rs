//! Tasks under which upstreams crash.

use std::sync::Arc;

use chervilring_core::runs::planner::{
    Caller, JobAnswer, LinkNo, NewJob, PlannerEvent, PlannerSettings, PlannerStep, Step,
};
use chervilring_core::runs::runner::{CallOutcome, UpstreamCall};
use chervilring_core::runs::{Planner, Route};
use chervilring_wire::{
    JobId, Micros, PlannerMessage, Resources, RunEnd, RunKey, RunnerLevel, RunnerMessage, Time,
    UpstreamState,
};

use super::down::{Harness, healthy};

/// The number of upstreams: more than may crash.
const UPSTREAMS: u64 = 8;

const SIZE: Resources = Resources {
    cpu: 8_000,
    memory: 8_000,
    gpu: 0,
};

/// A planner, the runs that it starts and the answers that it gives.
struct Fixture {
    planner: Planner,
    now: Time,
    starts: Vec<(LinkNo, RunKey)>,
    answers: Vec<JobAnswer>,
    /// Of each answer: failures and crashes of the task that did worst, and the attempts allowed.
    counts: Vec<(u32, u32, u32)>,
}

impl Fixture {
    fn new() -> Self {
        Self::with_links(RunnerLevel::CRASHES.mark_link(1))
    }

    /// Returns a planner whose links all have a sequence number.
    fn with_links(link_seq: u64) -> Self {
        let mut planner = Planner::new(PlannerSettings::default(), Time(0));
        for link in 1..=UPSTREAMS {
            let hello = RunnerMessage::Hello {
                name: format!("r{link}").into(),
                domain: "d".into(),
                incarnation: 1,
                link_seq,
                replica_version: 0,
            };
            planner.message(Time(0), LinkNo(link), hello);
            let state = UpstreamState {
                start_seq: 0,
                accepting: true,
                service: "s".into(),
                capacity: SIZE,
                free: SIZE,
                queued: Vec::new(),
                run_time: Micros::from_millis(100),
                speed: 1_000,
                labels: Vec::new(),
            };
            planner.message(Time(0), LinkNo(link), RunnerMessage::State(state));
        }
        Self {
            planner,
            now: Time(0),
            starts: Vec::new(),
            answers: Vec::new(),
            counts: Vec::new(),
        }
    }

    fn submit(&mut self, caller: u64) {
        let route = Route {
            name: "q".into(),
            host: "".into(),
            prefix: "/q/".into(),
            service: "s".into(),
            priority: 0,
            default_timeout: Micros::from_secs(60),
            slack_factor: 1.6,
            target_duration: Micros::from_millis(60),
            max_attempts: 4,
        };
        let step = Step {
            count: 1,
            demand: Resources {
                cpu: 1_000,
                memory: 64,
                gpu: 0,
            },
            declared_runtime: Micros::from_millis(60),
            ..Step::default()
        };
        let job = NewJob {
            id: JobId(1),
            route: Arc::new(route),
            config_version: 1,
            spec: "spec".into(),
            request: "".into(),
            steps: vec![step],
            deadline: self.now + Micros::from_secs(60),
        };
        self.planner.submit(self.now, Caller(caller), job);
        self.drain();
    }

    fn drain(&mut self) {
        for step in self.planner.drain() {
            match step {
                PlannerStep::Send {
                    link,
                    message: PlannerMessage::Start(start),
                } => self
                    .starts
                    .extend(start.runs.iter().map(|&run| (link, run))),
                PlannerStep::Answer { answer, .. } => self.answers.push(answer),
                PlannerStep::Log(PlannerEvent::Answered {
                    failures,
                    max_attempts,
                    crashes,
                    ..
                }) => self.counts.push((failures, crashes, max_attempts)),
                _ => {}
            }
        }
    }

    /// Has the latest run start, and end so a second later.
    fn end_latest(&mut self, end: RunEnd) {
        let (link, run) = *self.starts.last().expect("a run");
        self.planner
            .message(self.now, link, RunnerMessage::Started(run));
        self.lose_latest(end);
    }

    /// Has the latest run end so after a second, with all links kept up.
    fn lose_latest(&mut self, end: RunEnd) {
        let (link, run) = *self.starts.last().expect("a run");
        for _ in 0..10 {
            self.now = self.now + Micros::from_millis(100);
            for link in 1..=UPSTREAMS {
                let ack = RunnerMessage::HeartbeatAck(self.now.0);
                self.planner.message(self.now, LinkNo(link), ack);
            }
            self.planner.tick(self.now);
            self.drain();
        }
        self.planner
            .message(self.now, link, RunnerMessage::Ended { run, end });
        self.planner.tick(self.now);
        self.drain();
    }
}

/// Guards against jobs that are called failed although no upstream has listed a failed run.
#[test]
fn a_job_is_not_called_failed_because_upstreams_crashed() {
    let mut fixture = Fixture::new();
    fixture.submit(1);
    fixture.end_latest(RunEnd::Failed);
    for crashes in 1..=6 {
        if fixture.starts.len() < crashes + 1 {
            break;
        }
        fixture.end_latest(RunEnd::Lapsed);
    }
    fixture.submit(2);
    assert_eq!(fixture.answers, [JobAnswer::GaveUp; 2]);
}

#[test]
fn a_job_is_called_failed_once_a_task_has_failed_as_often_as_its_route_allows() {
    let mut fixture = Fixture::new();
    fixture.submit(1);
    for end in [RunEnd::Failed, RunEnd::Stopped, RunEnd::Lapsed] {
        fixture.end_latest(end);
    }
    for _ in 0..2 {
        fixture.end_latest(RunEnd::Failed);
        assert_eq!(fixture.answers, []);
    }
    fixture.end_latest(RunEnd::Failed);
    assert_eq!(fixture.answers, [JobAnswer::Failed]);
    assert_eq!(fixture.counts, [(4, 1, 4)]);
}

#[test]
fn a_failed_run_that_is_told_twice_is_one_failure() {
    let mut fixture = Fixture::new();
    fixture.submit(1);
    for _ in 0..3 {
        let (link, run) = *fixture.starts.last().expect("a run");
        fixture.end_latest(RunEnd::Failed);
        let again = RunnerMessage::Ended {
            run,
            end: RunEnd::Failed,
        };
        fixture.planner.message(fixture.now, link, again);
        fixture.drain();
    }
    assert_eq!(fixture.answers, []);
    assert_eq!(fixture.starts.len(), 4);
}

#[test]
fn a_task_under_which_two_upstreams_have_crashed_is_not_started_again() {
    let mut fixture = Fixture::new();
    fixture.submit(1);
    for crashes in 1..=6 {
        if fixture.starts.len() < crashes {
            break;
        }
        fixture.end_latest(RunEnd::Lapsed);
    }
    assert_eq!(fixture.starts.len(), 2);
    assert_eq!(fixture.answers, [JobAnswer::GaveUp]);
    // Its caller has lost the answer and submits it again.
    fixture.submit(2);
    assert_eq!(fixture.starts.len(), 2);
    assert_eq!(fixture.answers, [JobAnswer::GaveUp; 2]);
}

#[test]
fn a_crash_counts_when_the_caller_submits_the_job_again() {
    let mut fixture = Fixture::new();
    fixture.submit(1);
    fixture.end_latest(RunEnd::Lapsed);
    assert_eq!(fixture.starts.len(), 2);
    fixture.planner.caller_left(fixture.now, Caller(1));
    fixture.submit(2);
    assert_eq!(fixture.starts.len(), 3);
    fixture.end_latest(RunEnd::Lapsed);
    assert_eq!(fixture.starts.len(), 3);
    assert_eq!(fixture.answers, [JobAnswer::GaveUp]);
}

#[test]
fn a_task_whose_starts_end_with_a_crash_is_given_up_and_not_called_failed() {
    let mut fixture = Fixture::new();
    fixture.submit(1);
    for crashes in 1..=6 {
        if fixture.starts.len() < crashes {
            break;
        }
        fixture.lose_latest(RunEnd::Lapsed);
    }
    assert_eq!(fixture.starts.len(), 3);
    assert_eq!(fixture.answers, [JobAnswer::GaveUp]);
}

#[test]
fn an_answer_is_logged_with_the_failures_and_crashes_of_a_task() {
    let mut fixture = Fixture::new();
    fixture.submit(1);
    fixture.end_latest(RunEnd::Failed);
    fixture.end_latest(RunEnd::Lapsed);
    fixture.end_latest(RunEnd::Done);
    assert_eq!(fixture.counts, [(1, 1, 4)]);
}

#[test]
fn a_run_that_lapsed_at_a_runner_of_an_older_build_is_no_crash() {
    let mut fixture = Fixture::with_links(1);
    fixture.submit(1);
    for lapses in 1..=4 {
        fixture.end_latest(RunEnd::Lapsed);
        assert_eq!(fixture.starts.len(), lapses + 1);
    }
    assert_eq!(fixture.answers, []);
}

#[test]
fn a_run_that_was_stopped_is_no_crash() {
    let mut fixture = Fixture::new();
    fixture.submit(1);
    for stops in 1..=4 {
        fixture.end_latest(RunEnd::Stopped);
        assert_eq!(fixture.starts.len(), stops + 1);
    }
    assert_eq!(fixture.answers, []);
}

/// Has an upstream with a run answer so until its lease is over; returns what planners are told.
fn ends_after(answer: fn(&UpstreamCall) -> CallOutcome) -> Vec<RunEnd> {
    let mut harness = Harness::new();
    harness.start(1);
    harness.run(10, |call| match call {
        UpstreamCall::Poll { .. } => CallOutcome::NoAnswer,
        _ => healthy(call),
    });
    harness.run(2_000, answer);
    harness.ends.clone()
}

#[test]
fn a_crash_is_told_from_silence() {
    assert_eq!(ends_after(|_| CallOutcome::NotListening), [RunEnd::Lapsed]);
    assert_eq!(ends_after(|_| CallOutcome::NoAnswer), [RunEnd::Stopped]);
}
