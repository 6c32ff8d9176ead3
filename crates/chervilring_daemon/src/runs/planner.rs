//! The planner daemon: carries the decisions of a planner to sockets.

mod explaining;
mod links;
mod serving;
mod source;

use std::net::SocketAddr;

use chervilring_core::runs::planner::{PlannerSettings, PlannerStep};
use chervilring_core::runs::{Planner, RouteTable};
use chervilring_wire::{ConfigReplica, Micros, Time};
use eyre::WrapErr;
use slog::{Logger, info, warn};
use stakker::{ActorOwn, CX, FixedTimerKey, StopCause, actor_new, at, call, fwd_to, ret_shutdown};
use stakker_mio::Ready;

use self::source::ConfigSource;
use super::dialect::CallerDialect;
use super::operator;
use super::pause::PauseWatch;
use super::planner_log;
use super::planner_report::PlannerReport;
use super::ports;
use super::registry::{self, EvacuationReading, Registry, StoreEvent};
use super::settings::{PlannerConfig, Reload};
use super::times::{EXIT_TIME, SWEEP, TICK};
use super::told::{self, EvacuationFaults, Told};
use crate::log;
use crate::net::{
    Clock, ConnNo, EventLoop, HttpEvent, HttpPort, HttpReady, Inbox, LinkEvent, LinkId, Links,
    Listener,
};
use crate::signals::Asked;

/// The largest body before the configuration says otherwise, in bytes.
const FIRST_BODY: usize = 256 << 10;

/// The largest body of a request for readiness, in bytes.
const SMALL_BODY: usize = 1 << 10;

/// How long callers may still come in after a stop was asked for: the balancer looks once a
/// second and takes two misses to notice.
const LINGER: Micros = Micros::from_millis(3_200);

/// What the actor works with.
struct Parts {
    planner: Planner,
    dialect: CallerDialect,
    clock: Clock,
    pause: PauseWatch,
    callers: HttpPort,
    ready: HttpPort,
    metrics: HttpPort,
    listener: Listener,
    links: Links,
    report: PlannerReport,
    config: PlannerConfig,
    log: Logger,
}

/// The planner daemon's only actor.
struct PlannerActor {
    parts: Parts,
    routes: Option<RouteTable>,
    timer: Option<FixedTimerKey>,
    /// Whether what is due is about to be done.
    pending: bool,
    /// When a stop was asked for.
    stopping: Option<Time>,
    sweep: Time,
    faults: EvacuationFaults,
    source: ConfigSource,
}

/// Runs a planner until it is told to stop and has answered its callers.
///
/// # Errors
///
/// Returns an error when it cannot start, as when a port is taken, or its loop fails.
pub fn run_planner(
    config: PlannerConfig,
    dialect: CallerDialect,
    registry: Registry,
    reload: Reload<PlannerConfig>,
) -> eyre::Result<()> {
    let log = log::logger(
        log::LogFormat::Json,
        slog::Level::Info,
        "planner",
        &config.name,
    );
    let mut event_loop = EventLoop::new()?;
    let poll = event_loop.poll.clone();
    let stakker = &mut event_loop.stakker;
    let actor: ActorOwn<PlannerActor> = actor_new!(stakker, PlannerActor, ret_shutdown!(stakker));
    let inbox = Inbox::new(
        stakker,
        fwd_to!([actor], events() as (Vec<Told<PlannerConfig>>)),
    );
    let clock = Clock::start();
    let callers = ports::listen(
        &poll,
        config.callers,
        config.limits.callers(FIRST_BODY),
        fwd_to!([actor], callers() as (HttpReady)),
    )?;
    let ready = ports::listen(
        &poll,
        config.ready,
        config.limits.internal(SMALL_BODY),
        fwd_to!([actor], ready() as (HttpReady)),
    )?;
    let metrics = ports::listen(
        &poll,
        config.metrics,
        config.limits.internal(FIRST_BODY),
        fwd_to!([actor], metrics() as (HttpReady)),
    )?;
    let listener = Listener::bind(&poll, config.runners, fwd_to!([actor], accept() as (Ready)))
        .wrap_err_with(|| format!("cannot listen on {}", config.runners))?;
    let runners = listener.local_addr()?;
    let mut links = Links::new(poll.clone(), fwd_to!([actor], link_ready() as (LinkEvent)));
    links.set_limit(config.limits.links());
    let usual = PlannerSettings::default();
    let settings = PlannerSettings {
        seed: clock.since_boot().0 ^ u64::from(runners.port()),
        resubmit_delay: config.resend.unwrap_or(usual.resubmit_delay),
        remote_factor: config.far.unwrap_or(usual.remote_factor),
        job_memory: config.limits.jobs(),
        ..usual
    };
    info!(log, "started"; "version" => env!("CARGO_PKG_VERSION"), "callers" => %config.callers,
        "runners" => %runners, "domain" => %config.domain);
    follow_store(&inbox, registry, runners);
    told::watch(&inbox, reload)?;
    let parts = Parts {
        planner: Planner::new(settings, clock.time()),
        dialect,
        clock,
        pause: PauseWatch::new(&clock),
        callers,
        ready,
        metrics,
        listener,
        links,
        report: PlannerReport::new()?,
        config,
        log: log.clone(),
    };
    call!([actor], PlannerActor::init(parts));
    event_loop.run()?;
    info!(log, "stopped");
    Ok(())
}

/// Starts the threads that follow the store.
fn follow_store(inbox: &Inbox<Told<PlannerConfig>>, registry: Registry, runners: SocketAddr) {
    let tell = inbox.clone();
    operator::follow_operator(registry.clone(), move |event| tell.push(Told::Store(event)));
    let tell = inbox.clone();
    registry::keep_listed(registry, runners, move |event| {
        tell.push(Told::Store(event));
    });
}

impl PlannerActor {
    #[expect(
        clippy::unnecessary_wraps,
        reason = "actors are made by functions of this form"
    )]
    fn init(cx: CX![], parts: Parts) -> Option<Self> {
        let mut this = Self {
            sweep: parts.clock.time() + SWEEP,
            parts,
            routes: None,
            timer: None,
            pending: false,
            stopping: None,
            faults: EvacuationFaults::default(),
            source: ConfigSource::default(),
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
    fn events(&mut self, cx: CX![], events: Vec<Told<PlannerConfig>>) {
        for event in events {
            match event {
                Told::Store(StoreEvent::Config(copy)) => self.take_config(copy, "store"),
                Told::Store(StoreEvent::Evacuations(reading)) => self.take_evacuations(&reading),
                Told::Store(StoreEvent::Read(report)) => {
                    let now = self.parts.clock.time();
                    self.source.record_read(now, report);
                }
                Told::Store(StoreEvent::Members(_) | StoreEvent::Recalled(..)) => {}
                Told::Store(StoreEvent::Reached(error)) => told::log_store(&self.parts.log, error),
                Told::Asked(Asked::Stop) => self.stop(),
                Told::Asked(Asked::Reload) => {
                    info!(self.parts.log, "reload asked for");
                }
                Told::Settings(config) => self.take_settings(config),
                Told::BadSettings(error) => told::log_bad_settings(&self.parts.log, &error),
            }
        }
        self.carry_soon(cx);
    }

    /// Puts a configuration in force, if it is newer than the one that is.
    fn take_config(&mut self, copy: ConfigReplica, from: &'static str) {
        let last = self.routes.as_ref().map_or(0, |r| r.version);
        if self.routes.is_some() && copy.version <= last {
            return;
        }
        match (self.parts.dialect.config)(&copy.document) {
            Ok(routes) => {
                info!(self.parts.log, "configuration in force"; "config" => routes.version,
                    "before" => last, "from" => from, "routes" => routes.routes().len());
                let now = self.parts.clock.time();
                self.source.set_version(now, routes.version, from);
                self.parts.callers.set_body(routes.max_body);
                self.parts.planner.set_routes(&routes);
                self.parts.metrics.set_body(routes.max_body);
                self.routes = Some(routes);
                self.parts.planner.set_config(copy);
            }
            Err(error) => {
                warn!(self.parts.log, "configuration not usable, the last one stays";
                    "config" => copy.version, "before" => last, "error" => format!("{error:#}"));
            }
        }
    }

    /// Takes in the evacuated failure domains.
    fn take_evacuations(&mut self, reading: &EvacuationReading) {
        self.faults.log_new(&self.parts.log, reading);
        let now = self.parts.clock.time();
        self.parts
            .planner
            .set_evacuations(now, &reading.evacuations);
    }

    fn take_settings(&mut self, config: PlannerConfig) {
        let old = &self.parts.config;
        let moved =
            (old.callers, old.ready, old.runners) != (config.callers, config.ready, config.runners);
        info!(self.parts.log, "settings reloaded"; "grace_us" => config.grace.0,
            "needs_restart" => moved);
        if let Some(resubmit_delay) = config.resend {
            self.parts.planner.set_resubmit_delay(resubmit_delay);
        }
        if let Some(remote_factor) = config.far {
            self.parts.planner.set_remote_factor(remote_factor);
        }
        self.parts.config = config;
    }

    /// Begins a planned stop.
    fn stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        info!(self.parts.log, "stopping"; "jobs" => self.parts.planner.job_count());
        self.stopping = Some(self.parts.clock.time());
        self.parts.callers.set_closing();
    }

    fn check_pause(&mut self) {
        if let Some(span) = self.parts.pause.look(&self.parts.clock) {
            let now = self.parts.clock.time();
            self.parts.planner.paused(now, span);
        }
    }

    /// Runs what is due and carries out all steps.
    fn carry(&mut self, cx: CX![]) {
        self.check_pause();
        let now = self.parts.clock.time();
        self.parts.planner.tick(now);
        let events = self.steps(now);
        if !events.is_empty() {
            self.caller_events(now, events);
        }
        for link in self.parts.links.flush() {
            self.close(link);
        }
        if now >= self.sweep {
            self.sweep = now + SWEEP;
            ports::sweep(&mut self.parts.callers, now, "callers", &self.parts.log);
            ports::sweep(&mut self.parts.ready, now, "ready", &self.parts.log);
            ports::sweep(&mut self.parts.metrics, now, "metrics", &self.parts.log);
            if self.parts.listener.take_failed() {
                self.accept_links(cx);
            }
        }
        self.check_stop(cx, now);
        self.look_again(cx);
        self.set_timer(cx);
    }

    /// Carries out the planner's steps; returns which callers have left because of them.
    fn steps(&mut self, now: Time) -> Vec<HttpEvent> {
        let mut events = Vec::new();
        for step in self.parts.planner.drain() {
            match step {
                PlannerStep::Send { link, message } => {
                    if let Err(error) = self.parts.links.send(LinkId(link.0), &message) {
                        warn!(self.parts.log, "message not sent"; "error" => %error);
                    }
                }
                PlannerStep::Close(link) => self.parts.links.close(LinkId(link.0)),
                PlannerStep::Answer {
                    caller,
                    answer,
                    retry_after,
                    ..
                } => {
                    let answer = (self.parts.dialect.answer)(answer, retry_after);
                    let more = self.parts.callers.answer(now, ConnNo(caller.0), &answer);
                    events.extend(more);
                }
                PlannerStep::Replica(replica) => self.take_config(replica, "runner"),
                PlannerStep::Log(event) => {
                    self.parts.report.count(&event);
                    planner_log::log(&self.parts.log, &event);
                }
            }
        }
        events
    }

    /// Ends the process once a stop was asked for and nobody waits any more.
    fn check_stop(&mut self, cx: CX![], now: Time) {
        let Some(since) = self.stopping else {
            return;
        };
        let last = since + self.parts.config.grace - EXIT_TIME;
        let idle = self.parts.planner.job_count() == 0 && now >= since + LINGER;
        if now >= last {
            self.parts.planner.give_up_all(now);
            self.steps(now);
            self.parts.links.flush();
        }
        if idle || now >= last {
            cx.shutdown(StopCause::Stopped);
        }
    }

    fn set_timer(&mut self, cx: CX![]) {
        let wake = self.parts.planner.wake_at();
        let due = self.parts.clock.instant(wake).min(cx.now() + TICK);
        if let Some(timer) = self.timer.take() {
            cx.timer_del(timer);
        }
        self.timer = Some(at!(due, [cx], tick()));
    }
}
