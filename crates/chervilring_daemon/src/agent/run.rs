//! The start of the agent daemon.

use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use chervilring_core::agent::{Agent, AgentSettings as Decisions};
use chervilring_wire::{AgentId, Incarnation, Micros};
use eyre::WrapErr;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slog::info;
use stakker::{ActorOwn, actor_new, call, fwd_to, ret_shutdown};

use super::actor::{AgentActor, Parts};
use super::calls::Calls;
use super::dialer::Dialer;
use super::exposition::Exposition;
use super::http;
use crate::listening;
use crate::log;
use crate::net::{Clock, Datagrams, EventLoop, Inbox, Links};
use crate::settings::AgentSettings;

/// The most calls of the upstream at once.
const MAX_CALLS: usize = 1024;

/// The largest answer of an upstream, in bytes; it fits into a frame.
const MAX_ANSWER: u64 = 48 << 20;

/// By how much the clocks of callers and entries may differ from each other, at most.
const MAX_SKEW: Micros = Micros::from_secs(60);

/// Runs an agent until it is told to stop and has finished what it had.
///
/// # Errors
///
/// Returns an error when it cannot start, as when its port is taken, or its loop fails.
pub fn run(settings: &AgentSettings) -> eyre::Result<()> {
    let name = &settings.common.name;
    let log = log::logger(settings.common.format, settings.common.level, "agent", name);
    let id = AgentId {
        name: name.clone(),
        incarnation: incarnation(),
    };
    let mut event_loop = EventLoop::new()?;
    let poll = event_loop.poll.clone();
    let stakker = &mut event_loop.stakker;
    let actor: ActorOwn<AgentActor> = actor_new!(stakker, AgentActor, ret_shutdown!(stakker));

    let requests = Inbox::new(stakker, fwd_to!([actor], requests() as (Vec<_>)));
    let ends = Inbox::new(stakker, fwd_to!([actor], calls_ended() as (Vec<_>)));
    let signals = Inbox::new(stakker, fwd_to!([actor], leave() as (Vec<i32>)));
    watch_signals(signals)?;
    let ready = fwd_to!([actor], datagrams_ready() as (stakker_mio::Ready));
    let datagrams = Datagrams::bind(&poll, settings.udp, ready)
        .wrap_err_with(|| format!("cannot bind UDP to {}", settings.udp))?;
    let links = Links::new(
        poll,
        fwd_to!([actor], link_ready() as (crate::net::LinkEvent)),
    );
    let exposition = Exposition::new()?;
    let http = http::serve(settings.http, &requests, exposition)?;

    let clock = Clock::start();
    let parts = Parts {
        agent: Agent::new(decisions(settings, &id), clock.time()),
        id,
        clock,
        dialer: Dialer::new(&settings.entries),
        links,
        datagrams,
        calls: Calls::new(clock, ends, MAX_CALLS, MAX_ANSWER),
        log: log.clone(),
    };
    call!([actor], AgentActor::init(parts));
    listening::announce(Some(http), None);
    info!(log, "started"; "http" => %http);
    event_loop.run()?;
    info!(log, "stopped"; "pid" => std::process::id());
    Ok(())
}

/// Returns the settings of the decisions.
fn decisions(settings: &AgentSettings, id: &AgentId) -> Decisions {
    let skew = Micros(MAX_SKEW.0 * 2);
    Decisions::new(id.clone(), settings.common.domain.clone())
        .labels(settings.labels.clone())
        .id_retention(settings.common.window + skew)
        .max_starts(usize::try_from(settings.common.ids).unwrap_or(usize::MAX))
        .stop_timeout(settings.common.stop)
}

/// Tells this life apart from earlier ones by the wall clock.
fn incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(now.map_or(0, |span| span.as_micros() as u64))
}

fn watch_signals(inbox: Inbox<i32>) -> eyre::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let thread = thread::Builder::new().name("signals".into());
    thread.spawn(move || signals.forever().for_each(|signal| inbox.push(signal)))?;
    Ok(())
}
