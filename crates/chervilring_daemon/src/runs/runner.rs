//! The runner daemon: carries the decisions of a runner to sockets and threads.

mod links;

use std::net::SocketAddr;
use std::sync::mpsc::{self, Sender};
use std::thread;
use std::time::Duration;

use chervilring_core::runs::Runner;
use chervilring_core::runs::planner::LinkNo;
use chervilring_core::runs::runner::{Dialer, RunnerStep, UpstreamRecord};
use chervilring_wire::Time;
use slog::{Logger, info, warn};
use stakker::{
    ActorOwn, CX, FixedTimerKey, StopCause, actor_new, after, at, call, fwd_to, ret_shutdown,
};

use super::calls::{Called, Calls};
use super::dialect::{WorkerDialect, WorkerNotice};
use super::keeper;
use super::pause::PauseWatch;
use super::ports;
use super::registry::{self, Registry, StoreEvent};
use super::runner_log;
use super::runner_report::RunnerReport;
use super::settings::{Reload, RunnerConfig};
use super::times::{EXIT_TIME, SWEEP, TICK};
use super::told::{self, EvacuationFaults, Told};
use crate::log;
use crate::net::{Clock, EventLoop, HttpPort, HttpReady, Inbox, LinkEvent, LinkId, Links};
use crate::signals::Asked;

/// The largest report of an upstream, in bytes.
const MAX_REPORT: usize = 64 << 10;

/// What the actor works with.
struct Parts {
    runner: Runner,
    dialect: WorkerDialect,
    clock: Clock,
    pause: PauseWatch,
    reports: HttpPort,
    metrics: HttpPort,
    links: Links,
    dial: Dialer,
    calls: Calls,
    keep: Sender<UpstreamRecord>,
    report: RunnerReport,
    config: RunnerConfig,
    log: Logger,
}

/// The runner daemon's only actor.
struct RunnerActor {
    parts: Parts,
    timer: Option<FixedTimerKey>,
    /// Whether what is due is about to be done.
    pending: bool,
    sweep: Time,
    faults: EvacuationFaults,
}

/// Runs a runner until it is told to stop and what it had is done.
///
/// # Errors
///
/// Returns an error when it cannot start, as when a port is taken, or its loop fails.
pub fn run_runner(
    config: RunnerConfig,
    dialect: WorkerDialect,
    registry: Registry,
    reload: Reload<RunnerConfig>,
) -> eyre::Result<()> {
    let log = log::logger(
        log::LogFormat::Json,
        slog::Level::Info,
        "runner",
        &config.name,
    );
    let mut event_loop = EventLoop::new()?;
    let poll = event_loop.poll.clone();
    let stakker = &mut event_loop.stakker;
    let actor: ActorOwn<RunnerActor> = actor_new!(stakker, RunnerActor, ret_shutdown!(stakker));
    let inbox = Inbox::new(
        stakker,
        fwd_to!([actor], events() as (Vec<Told<RunnerConfig>>)),
    );
    let ends = Inbox::new(stakker, fwd_to!([actor], called() as (Vec<Called>)));
    let clock = Clock::start();
    let reports = ports::listen(
        &poll,
        config.reports,
        config.limits.internal(MAX_REPORT),
        fwd_to!([actor], reports() as (HttpReady)),
    )?;
    let metrics = ports::listen(
        &poll,
        config.metrics,
        config.limits.internal(MAX_REPORT),
        fwd_to!([actor], metrics() as (HttpReady)),
    )?;
    let links = Links::new(poll.clone(), fwd_to!([actor], link_ready() as (LinkEvent)));
    info!(log, "started"; "version" => env!("CARGO_PKG_VERSION"), "reports" => %config.reports,
        "domain" => %config.domain);
    let (keep, kept) = mpsc::channel();
    keeper::keep_records(registry.clone(), &config.name, kept, log.clone());
    recall(&inbox, &registry, &dialect, &config, &log)?;
    let tell = inbox.clone();
    registry::follow_members(registry.clone(), move |event| tell.push(Told::Store(event)));
    let tell = inbox.clone();
    registry::follow_evacuations(registry, move |event| tell.push(Told::Store(event)));
    told::watch(&inbox, reload)?;
    // Rises with each life, as long as the wall clock does; the upstream says when it has not.
    let fence = clock.now().wall.0;
    let time = clock.time();
    let name = config.name.clone();
    let mut dial = Dialer::new(name.clone(), time);
    let runner = Runner::new(name, config.domain.clone(), config.lease, fence, time);
    dial.set_seeds(time, &seeds(&config));
    let parts = Parts {
        runner,
        calls: Calls::new(dialect.clone(), clock, ends),
        dialect,
        keep,
        clock,
        pause: PauseWatch::new(&clock),
        reports,
        metrics,
        links,
        dial,
        report: RunnerReport::new()?,
        config,
        log: log.clone(),
    };
    call!([actor], RunnerActor::init(parts));
    event_loop.run()?;
    info!(log, "stopped");
    Ok(())
}

/// Has what the upstream had said to an earlier life of this runner read, and checks that the
/// upstream is there and takes work: its next report may be more than a second away.
fn recall(
    inbox: &Inbox<Told<RunnerConfig>>,
    registry: &Registry,
    dialect: &WorkerDialect,
    config: &RunnerConfig,
    log: &Logger,
) -> eyre::Result<()> {
    let tell = inbox.clone();
    let (registry, dialect) = (registry.clone(), dialect.clone());
    let (name, log) = (config.name.clone(), log.clone());
    let work = move || {
        let record = keeper::recall(&registry, &name, &log);
        if let Some(record) = record {
            let answers = (dialect.healthy)(&record.report.incarnation);
            tell.push(Told::Store(StoreEvent::Recalled(record, answers)));
        }
    };
    thread::Builder::new().name("recall".into()).spawn(work)?;
    Ok(())
}

/// Returns the addresses of the planners on seed hosts.
fn seeds(config: &RunnerConfig) -> Vec<SocketAddr> {
    let addr = |&ip| SocketAddr::new(ip, config.port);
    config.seeds.iter().map(addr).collect()
}

impl RunnerActor {
    #[expect(
        clippy::unnecessary_wraps,
        reason = "actors are made by functions of this form"
    )]
    fn init(cx: CX![], parts: Parts) -> Option<Self> {
        let mut this = Self {
            sweep: parts.clock.time() + SWEEP,
            parts,
            timer: None,
            pending: false,
            faults: EvacuationFaults::default(),
        };
        this.carry(cx);
        Some(this)
    }

    fn tick(&mut self, cx: CX![]) {
        self.pending = false;
        self.carry(cx);
    }

    /// Has what is due done once all that has come in by now is taken in.
    fn carry_soon(&mut self, cx: CX![]) {
        if !self.pending {
            self.pending = true;
            call!([cx], tick());
        }
    }

    /// Takes in what other threads tell.
    fn events(&mut self, cx: CX![], events: Vec<Told<RunnerConfig>>) {
        let now = self.parts.clock.time();
        for event in events {
            match event {
                Told::Store(StoreEvent::Config(_) | StoreEvent::Read(_)) => {}
                Told::Store(StoreEvent::Evacuations(reading)) => {
                    self.faults.log_new(&self.parts.log, &reading);
                    self.parts.runner.set_evacuations(now, &reading.evacuations);
                }
                Told::Store(StoreEvent::Members(addrs)) => self.parts.dial.set_listed(now, &addrs),
                Told::Store(StoreEvent::Reached(error)) => told::log_store(&self.parts.log, error),
                Told::Store(StoreEvent::Recalled(record, answers)) => {
                    let life = &record.report.incarnation;
                    info!(self.parts.log, "upstream recalled"; "upstream" => &*life.id,
                        "born_ms" => life.started_ms, "speed" => record.speed.value(),
                        "answers" => answers);
                    self.parts.runner.restore(now, record, answers);
                }
                Told::Asked(Asked::Stop) => {
                    info!(self.parts.log, "stopping"; "runs" => self.parts.runner.run_count());
                    let until = now + self.parts.config.grace - EXIT_TIME;
                    self.parts.runner.start_shutdown(now, until);
                }
                Told::Asked(Asked::Reload) => {
                    info!(self.parts.log, "reload asked for");
                }
                Told::Settings(config) => {
                    let moved = self.parts.config.reports != config.reports;
                    info!(self.parts.log, "settings reloaded"; "seeds" => config.seeds.len(),
                        "needs_restart" => moved);
                    self.parts.dial.set_seeds(now, &seeds(&config));
                    self.parts.config = config;
                }
                Told::BadSettings(error) => told::log_bad_settings(&self.parts.log, &error),
            }
        }
        self.carry_soon(cx);
    }

    /// Takes in what became of calls of the upstream.
    fn called(&mut self, cx: CX![], ends: Vec<Called>) {
        self.check_pause();
        let now = self.parts.clock.time();
        for Called {
            sent,
            call,
            outcome,
        } in ends
        {
            self.parts.runner.call_finished(now, sent, &call, outcome);
        }
        self.carry_soon(cx);
    }

    /// Takes in what the upstream reports.
    fn reports(&mut self, cx: CX![], ready: HttpReady) {
        self.check_pause();
        let now = self.parts.clock.time();
        let Parts {
            reports,
            runner,
            dialect,
            log,
            ..
        } = &mut self.parts;
        reports.serve(now, ready, |request| match (dialect.read)(request) {
            WorkerNotice::Report(report) => {
                let life = report.incarnation.clone();
                if !runner.handle_report(now, report) {
                    info!(log, "report of another life kept until it is confirmed";
                        "upstream" => &*life.id, "born_ms" => life.started_ms);
                }
                (dialect.accepted)()
            }
            WorkerNotice::Left(id) => {
                runner.upstream_left(now, &id);
                (dialect.accepted)()
            }
            WorkerNotice::Foreign(answer) => {
                warn!(log, "report not understood"; "path" => &request.path);
                answer
            }
        });
        self.carry_soon(cx);
    }

    /// Serves the metrics.
    fn metrics(&mut self, cx: CX![], ready: HttpReady) {
        let now = self.parts.clock.time();
        let report = &self.parts.report;
        report
            .runs
            .record(self.parts.runner.run_count() as u64, &[]);
        let planners = self.parts.runner.planner_count() as u64;
        report.planners.record(planners, &[]);
        let domains = self.parts.runner.evacuated_domains() as u64;
        report.evacuated.record(domains, &[]);
        ports::serve_metrics(&mut self.parts.metrics, now, ready, &report.metrics);
        self.carry_soon(cx);
    }

    fn check_pause(&mut self) {
        if let Some(span) = self.parts.pause.look(&self.parts.clock) {
            let now = self.parts.clock.time();
            self.parts.runner.paused(now, span);
        }
    }

    /// Runs what is due and carries out all steps.
    fn carry(&mut self, cx: CX![]) {
        self.check_pause();
        let now = self.parts.clock.time();
        self.dial(now);
        self.parts.runner.tick(now);
        for step in self.parts.runner.drain() {
            match step {
                RunnerStep::Send { link, message } => {
                    if let Err(error) = self.parts.links.send(LinkId(link.0), &message) {
                        warn!(self.parts.log, "message not sent"; "error" => %error);
                    }
                }
                RunnerStep::Close(link) => {
                    self.parts.links.close(LinkId(link.0));
                    self.parts.dial.link_closed(now, link);
                }
                RunnerStep::Call(call) => self.parts.calls.start(call),
                RunnerStep::StoreRecord(record) => {
                    if self.parts.keep.send(record).is_err() {
                        warn!(self.parts.log, "upstream not kept: its thread has ended");
                    }
                }
                RunnerStep::Log(event) => {
                    self.parts.report.count(&event);
                    let planner = |link| self.parts.dial.addr_of(LinkNo(link));
                    runner_log::log(&self.parts.log, &event, planner);
                }
                RunnerStep::Exit => cx.shutdown(StopCause::Stopped),
            }
        }
        for link in self.parts.links.flush() {
            self.close(link);
        }
        if now >= self.sweep {
            self.sweep = now + SWEEP;
            ports::sweep(&mut self.parts.reports, now, "reports", &self.parts.log);
            ports::sweep(&mut self.parts.metrics, now, "metrics", &self.parts.log);
        }
        if self.parts.reports.take_pending() {
            after!(Duration::ZERO, [cx], reports(HttpReady::Pending));
        }
        if self.parts.metrics.take_pending() {
            after!(Duration::ZERO, [cx], metrics(HttpReady::Pending));
        }
        self.set_timer(cx);
    }

    fn set_timer(&mut self, cx: CX![]) {
        let wake = self.parts.runner.wake_at().min(self.parts.dial.wake_at());
        let due = self.parts.clock.instant(wake).min(cx.now() + TICK);
        if let Some(timer) = self.timer.take() {
            cx.timer_del(timer);
        }
        self.timer = Some(at!(due, [cx], tick()));
    }
}
