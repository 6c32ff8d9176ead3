//! Upstreams whose place another one takes: no run counts as over while it may go on, and the successor
//! gets work at once.

use std::net::SocketAddr;
use std::ops::Range;

use chervilring_core::runs::Runner;
use chervilring_core::runs::planner::LinkNo;
use chervilring_core::runs::runner::{CallOutcome, Report, RunnerStep, UpstreamCall};
use chervilring_wire::{
    Micros, PlannerMessage, Resources, RunEnd, RunKey, RunnerMessage, StartRuns, Time,
};

use super::down::{LINK, run};
use super::upstream::Upstream;

/// The link that is opened after the first one is lost.
const NEXT_LINK: LinkNo = LinkNo(2);

/// How long a run takes, in microseconds. It is longer than any lease.
const RUN_TIME: u64 = 1_500_000;

/// Within this time, in milliseconds, all runs of an upstream that is not called any more have ended.
const LEASE_TIME: u64 = 520;

/// The same if it may have been granted the longest lease.
const MAX_LEASE_TIME: u64 = 1_100;

/// How long an upstream is called, and its lease extended, although it does not answer, in milliseconds.
const SILENCE_TIME: u64 = 200;

/// A runner and the upstreams on its host. They tell what runs; the runner tells what it takes for over.
pub(crate) struct Host {
    pub(crate) runner: Runner,
    pub(crate) now: Time,
    pub(crate) upstreams: Vec<Upstream>,
    /// Until when each upstream leaves its calls unanswered. It does not carry them out.
    pub(crate) mute_until: Vec<Time>,
    /// Whether each upstream accepts connections.
    pub(crate) listening: Vec<bool>,
    link: LinkNo,
    acked: u64,
    hellos: usize,
    pub(crate) ends: Vec<RunEnd>,
    refused: usize,
    /// Runs that were told to be over while an upstream went on with them.
    pub(crate) early: Vec<String>,
}

impl Host {
    /// Returns a runner whose first upstream has one run.
    pub(crate) fn with_run() -> Self {
        let now = Time(10_000_000);
        let lease = Micros::from_secs(1);
        let mut host = Self {
            runner: Runner::new("r".into(), "d".into(), lease, 1, now),
            now,
            upstreams: Vec::new(),
            mute_until: Vec::new(),
            listening: Vec::new(),
            link: LINK,
            acked: 0,
            hellos: 0,
            ends: Vec::new(),
            refused: 0,
            early: Vec::new(),
        };
        host.add("u0", 1);
        host.report(0);
        host.play(20);
        host.open_link(LINK);
        host.play(200);
        host.start(0..1);
        host.play(300);
        assert_eq!(host.active(0), 1);
        host
    }

    /// Starts an upstream. Later ones have a later start time.
    pub(crate) fn add(&mut self, id: &str, port: u16) -> usize {
        let place = self.upstreams.len();
        let mut upstream = Upstream::new(0, 0.98, 1.0, 8_000);
        upstream.id = id.into();
        upstream.addr = SocketAddr::from(([127, 0, 0, 1], port));
        upstream.started_ms += place as u64;
        self.upstreams.push(upstream);
        self.mute_until.push(Time::default());
        self.listening.push(true);
        place
    }

    /// Starts the next upstream, which reports at once.
    pub(crate) fn start_successor(&mut self, id: &str, port: u16) {
        let place = self.add(id, port);
        self.report(place);
    }

    pub(crate) fn report(&mut self, place: usize) {
        let report = self.upstreams[place].report(self.now);
        self.runner.handle_report(self.now, report);
    }

    /// Returns a report of another program: nobody listens at its address.
    fn foreign_report(&mut self, id: &str) -> Report {
        let mut report = self.upstreams[0].report(self.now);
        report.incarnation.id = id.into();
        report.incarnation.addr = SocketAddr::from(([127, 0, 0, 1], 9));
        report.incarnation.started_ms += 1_000;
        report.service = "unnamed".into();
        report
    }

    fn open_link(&mut self, link: LinkNo) {
        self.link = link;
        self.runner.link_up(self.now, link);
    }

    pub(crate) fn start(&mut self, indexes: Range<u32>) {
        let start = StartRuns {
            seq: 1,
            service: "work".into(),
            spec: "spec".into(),
            demand: Resources {
                cpu: 5_000,
                memory: 10,
                gpu: 0,
            },
            declared_runtime: Micros(RUN_TIME),
            queue_timeout: Micros::from_secs(5),
            runs: indexes.map(run).collect(),
        };
        let message = PlannerMessage::Start(start);
        self.runner.message(self.now, self.link, message);
    }

    /// Leaves the calls of an upstream unanswered for a time.
    pub(crate) fn mute(&mut self, place: usize, millis: u64) {
        self.mute_until[place] = self.now + Micros::from_millis(millis);
    }

    pub(crate) fn active(&self, place: usize) -> usize {
        self.upstreams[place].active.len()
    }

    /// Plays so many milliseconds.
    pub(crate) fn play(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now = self.now + Micros::from_millis(1);
            for upstream in &mut self.upstreams {
                upstream.advance(self.now);
            }
            self.runner.tick(self.now);
            for step in self.runner.drain() {
                self.carry_out(step);
            }
            let heartbeat = PlannerMessage::Heartbeat(self.acked);
            self.runner.message(self.now, self.link, heartbeat);
        }
    }

    fn carry_out(&mut self, step: RunnerStep) {
        match step {
            RunnerStep::Call(call) => {
                let outcome = self.call(&call);
                let now = self.now;
                self.runner.call_finished(now, now, &call, outcome);
            }
            RunnerStep::Send { message, .. } => match message {
                RunnerMessage::Hello { .. } => self.hellos += 1,
                RunnerMessage::HeartbeatAck(seq) => self.acked = seq,
                RunnerMessage::Refused { run, .. } => {
                    self.refused += 1;
                    self.check_over(&run);
                }
                RunnerMessage::Ended { run, end } => {
                    self.ends.push(end);
                    self.check_over(&run);
                }
                _ => {}
            },
            _ => {}
        }
    }

    fn call(&mut self, call: &UpstreamCall) -> CallOutcome {
        let addr = call.incarnation().addr;
        let listens = |place: &usize| {
            let up = &self.upstreams[*place];
            up.up && self.listening[*place] && up.addr == addr
        };
        let Some(place) = (0..self.upstreams.len()).find(listens) else {
            return CallOutcome::NotListening;
        };
        if self.now < self.mute_until[place] {
            return CallOutcome::NoAnswer;
        }
        self.upstreams[place].handle_call(self.now, call, |_| (RUN_TIME, false, false))
    }

    fn check_over(&mut self, run: &RunKey) {
        let goes_on = |up: &Upstream| up.up && up.active.contains_key(run);
        if self.upstreams.iter().any(goes_on) {
            self.early.push(format!("{run} at {:?}", self.now));
        }
    }

    /// Asserts that the run is told to be over once, and not before it is.
    fn assert_ends_in_time(&mut self) {
        self.play(LEASE_TIME);
        assert_eq!(self.early, Vec::<String>::new());
        assert_eq!(self.ends.len(), 1);
    }
}

/// Guards against a report of another program, or a late one, that ends the runs of an upstream which
/// left a single call unanswered.
#[test]
fn a_report_while_a_call_is_unanswered_ends_no_run() {
    for id in ["i-0000ffff", "u0"] {
        for unanswered in [2, 60, 250] {
            let mut host = Host::with_run();
            host.mute(0, unanswered);
            host.play(1);
            let foreign = host.foreign_report(id);
            host.runner.handle_report(host.now, foreign);
            host.play(300);
            assert_eq!(host.early, Vec::<String>::new(), "{id}, {unanswered} ms");
            host.play(1_500);
            assert_eq!(host.ends, [RunEnd::Done], "{id}, {unanswered} ms");
        }
    }
}

/// Guards against a report under an upstream's id that takes its place while it answers.
#[test]
fn a_report_under_the_id_of_an_upstream_that_answers_ends_no_run() {
    let mut host = Host::with_run();
    let foreign = host.foreign_report("u0");
    host.runner.handle_report(host.now, foreign);
    host.play(1_500);
    assert_eq!(host.early, Vec::<String>::new());
    assert_eq!(host.ends, [RunEnd::Done]);
}

/// Guards against runs that count as over when their upstream drains, does not answer for a moment, and
/// its successor reports.
#[test]
fn a_successor_beside_an_upstream_that_drains_ends_no_run() {
    let mut host = Host::with_run();
    host.upstreams[0].draining = true;
    host.report(0);
    host.mute(0, 60);
    host.play(1);
    host.start_successor("u1", 2);
    host.play(1_500);
    assert_eq!(host.early, Vec::<String>::new());
    assert_eq!(host.ends, [RunEnd::Done]);
}

/// Guards against runs that count as over when their upstream announces its exit, although it goes on with
/// them for a while.
#[test]
fn a_successor_of_an_upstream_that_announced_its_exit_ends_no_run() {
    let mut host = Host::with_run();
    host.runner.upstream_left(host.now, "u0");
    host.play(1);
    host.start_successor("u1", 2);
    host.play(2);
    assert!(host.runner.is_accepting(), "the successor gets no work");
    host.assert_ends_in_time();
}

/// Guards against runs that count as over when their upstream closes its port before it ends them.
#[test]
fn a_successor_of_an_upstream_that_refuses_connections_ends_no_run() {
    let mut host = Host::with_run();
    host.listening[0] = false;
    host.play(5);
    host.start_successor("u1", 2);
    host.play(2);
    assert!(host.runner.is_accepting(), "the successor gets no work");
    host.assert_ends_in_time();
}

/// Guards against a refused connection that counts against an upstream which has answered since.
#[test]
fn an_upstream_that_answers_after_a_refused_connection_keeps_its_place() {
    let mut host = Host::with_run();
    host.listening[0] = false;
    host.play(1);
    host.listening[0] = true;
    let stop = PlannerMessage::Stop(vec![run(0)]);
    host.runner.message(host.now, LINK, stop);
    host.play(1);
    let foreign = host.foreign_report("i-0000ffff");
    host.runner.handle_report(host.now, foreign);
    host.play(30);
    assert_eq!(host.ends, [RunEnd::Stopped]);
    assert!(host.runner.is_accepting());
}

/// Guards against runs that count as over when an upstream that has started again, as it seems, loses its
/// place before it has answered.
#[test]
fn a_report_after_one_of_a_restart_ends_no_run() {
    let mut host = Host::with_run();
    host.listening[0] = false;
    host.play(5);
    for id in ["u0", "i-0000ffff"] {
        let foreign = host.foreign_report(id);
        host.runner.handle_report(host.now, foreign);
    }
    host.assert_ends_in_time();
}

/// Guards against planners that are told by a new link that the runs of the earlier one have ended.
#[test]
fn no_new_link_opens_while_a_run_of_a_lost_one_may_go_on() {
    let mut host = Host::with_run();
    host.listening[0] = false;
    host.play(5);
    host.runner.link_down(host.now, LINK);
    host.start_successor("u1", 2);
    host.open_link(NEXT_LINK);
    let before = host.hellos;
    while host.hellos == before {
        host.play(1);
        let opened = host.hellos > before;
        assert!(!opened || host.active(0) == 0, "opened at {:?}", host.now);
        assert!(host.now < Time(12_000_000), "no link was opened");
    }
}

/// Guards against a run that goes on unnoticed, or is lost, when its upstream has its place back.
#[test]
fn a_run_goes_on_when_its_upstream_has_its_place_back() {
    let mut host = Host::with_run();
    // This is late: an earlier incarnation under its id announced it.
    host.runner.upstream_left(host.now, "u0");
    host.play(1);
    let foreign = host.foreign_report("i-0000ffff");
    host.runner.handle_report(host.now, foreign);
    host.play(200);
    host.report(0);
    host.play(1_500);
    assert_eq!(host.early, Vec::<String>::new());
    assert_eq!(host.ends, [RunEnd::Done]);
}

/// Guards against runs that are never told to be over, because the clock of the next incarnation was not read
/// before it fell silent.
#[test]
fn a_run_ends_when_its_upstream_starts_again_and_falls_silent() {
    let mut host = Host::with_run();
    host.upstreams[0].crash();
    host.upstreams[0].restart(host.now);
    host.play(1);
    host.mute(0, 60_000);
    host.play(MAX_LEASE_TIME);
    assert_eq!(host.early, Vec::<String>::new());
    assert_eq!(host.ends.len(), 1);
}

/// Guards against queued runs that count as lost with the upstream that they waited for.
#[test]
fn queued_runs_are_refused_when_another_upstream_takes_the_place() {
    let mut host = Host::with_run();
    host.start(1..2);
    host.play(5);
    assert_eq!((host.refused, host.active(0)), (0, 1));
    host.upstreams[0].crash();
    host.play(5);
    host.start_successor("u1", 2);
    host.play(2);
    assert_eq!(host.refused, 1);
    host.assert_ends_in_time();
}

/// Guards against work that waits after a crash: the successor has the upstream's address.
#[test]
fn after_a_crash_tasks_start_again_as_soon_as_another_has_the_address() {
    let mut host = Host::with_run();
    host.upstreams[0].crash();
    host.play(50);
    host.start_successor("u1", 1);
    host.play(30);
    assert!(host.runner.is_accepting());
    assert_eq!(host.ends, [RunEnd::Lapsed]);
}

/// Guards against a successor that waits for the lease of an upstream that has crashed.
#[test]
fn after_a_crash_the_successor_gets_work_at_its_first_report() {
    for (id, port) in [("u1", 2), ("u1", 1), ("u0", 2), ("u0", 1)] {
        let mut host = Host::with_run();
        host.upstreams[0].crash();
        host.play(15);
        host.start_successor(id, port);
        host.play(2);
        assert!(host.runner.is_accepting(), "{id} at port {port}");
        host.assert_ends_in_time();
    }
}

/// Guards against a successor that is used although it drains, because an earlier report of it arrives late.
#[test]
fn a_late_report_of_a_successor_does_not_undo_a_newer_one() {
    let mut host = Host::with_run();
    let next = host.add("u1", 2);
    let late = host.upstreams[next].report(host.now);
    host.upstreams[next].draining = true;
    host.report(next);
    host.runner.handle_report(host.now, late);
    host.runner.upstream_left(host.now, "u0");
    host.play(5);
    assert!(!host.runner.is_accepting());
}

/// Guards against a successor that waits, after its report, for an upstream that has gone.
#[test]
fn after_a_release_the_successor_gets_work_when_the_exit_is_announced() {
    let mut host = Host::with_run();
    host.upstreams[0].draining = true;
    host.report(0);
    host.start_successor("u1", 2);
    host.play(1_500);
    assert!(!host.runner.is_accepting(), "the first one still answers");
    host.runner.upstream_left(host.now, "u0");
    host.play(2);
    assert!(host.runner.is_accepting());
    assert_eq!(host.early, Vec::<String>::new());
    assert_eq!(host.ends, [RunEnd::Done]);
}

/// Guards against a successor that waits for an upstream which does not answer longer than its lease.
#[test]
fn the_successor_of_a_silent_upstream_gets_work_when_the_lease_is_over() {
    let mut host = Host::with_run();
    host.mute(0, 60_000);
    host.play(5);
    host.start_successor("u1", 2);
    host.play(SILENCE_TIME + LEASE_TIME);
    assert!(host.runner.is_accepting());
    assert_eq!(host.early, Vec::<String>::new());
    assert_eq!(host.ends.len(), 1);
}
