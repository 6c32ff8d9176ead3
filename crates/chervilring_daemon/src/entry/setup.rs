//! Starts an entry: sockets, threads and the core.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use chervilring_core::dispatch::{DispatchSettings, Dispatcher};
use chervilring_core::entry::{Entry, Limits};
use chervilring_core::membership::{MemberSettings, Membership};
use chervilring_store::{ConfigStore, RingStore, StoreSettings};
use chervilring_wire::{EntryId, Incarnation, Member};
use eyre::{Result, WrapErr, eyre};
use slog::{Logger, info};
use stakker::{CX, StopCause, actor, fwd_to, ret_shutdown};
use stakker_mio::{MioPoll, Ready};

use super::daemon::{EntryDaemon, Parts};
use super::event::Event;
use super::report::Report;
use super::store::StoreThreads;
use crate::http::{CallerApi, CallerSettings, ServerSettings};
use crate::listening;
use crate::log;
use crate::metrics::Metrics;
use crate::net::{Clock, Datagrams, EventLoop, Inbox, LinkEvent, Links, Listener};
use crate::settings::EntrySettings;
use crate::signals;

/// How often a port is chosen by the system until it is free for both TCP and UDP.
const PORT_TRIES: u32 = 16;

/// Ends the actor of an entry that the ring has gone on without.
#[derive(Debug)]
pub(super) struct Evicted;

impl fmt::Display for Evicted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the ring has gone on without this entry")
    }
}

impl std::error::Error for Evicted {}

/// Runs an entry until it is asked to stop.
///
/// An entry that was evicted, as after a long pause of its host, starts over as a new one.
///
/// # Errors
///
/// Returns an error when a setting cannot be used, as when a port is taken.
pub fn run_entry(settings: &EntrySettings) -> Result<()> {
    let log = log::logger(
        settings.common.format,
        settings.common.level,
        "entry",
        &settings.common.name,
    );
    let mut settings = settings.clone();
    loop {
        let mut events = EventLoop::new().wrap_err("the event loop cannot be created")?;
        let addrs = Rc::new(Cell::new(None));
        let setup = Setup {
            settings: settings.clone(),
            log: log.clone(),
            addrs: Rc::clone(&addrs),
        };
        let stakker = &mut events.stakker;
        let actor = actor!(stakker, EntryDaemon::init(setup), ret_shutdown!(stakker));
        events.run().wrap_err("polling the sockets failed")?;
        // The addresses that the system chose are kept over a new start.
        if let Some(addrs) = addrs.get() {
            (settings.http, settings.peer) = addrs;
        }
        drop(actor);
        match events.stakker.shutdown_reason() {
            Some(StopCause::Failed(error)) if error.is::<Evicted>() => {
                info!(log, "joining anew");
            }
            Some(StopCause::Failed(error)) => return Err(eyre!("{error}")),
            _ => return Ok(()),
        }
    }
}

/// What an entry is started from.
pub(super) struct Setup {
    settings: EntrySettings,
    log: Logger,
    /// Takes the addresses for callers and for peers that are listened on.
    addrs: Rc<Cell<Option<(SocketAddr, SocketAddr)>>>,
}

impl Setup {
    /// Binds the sockets, starts the threads and creates the core.
    pub(super) fn build(self, cx: CX![EntryDaemon]) -> Result<EntryDaemon> {
        let settings = &self.settings;
        let metrics = Metrics::new()?;
        let poll = cx.anymap_get::<MioPoll>();
        let (listener, datagrams) = bind(cx, &poll, settings.peer)?;
        let peer = datagrams.local_addr();
        let deliver = fwd_to!([cx], events() as (Vec<Event>));
        let inbox = Inbox::new(cx, deliver);
        let api = self.start_api(&metrics, &inbox)?;
        let id = EntryId {
            name: settings.common.name.clone(),
            incarnation: new_incarnation(),
        };
        let clock = Clock::start();
        let member = Member {
            entry: id.clone(),
            domain: settings.common.domain.clone(),
            addr: advertised(settings.advertise, peer),
            draining: false,
        };
        let store = self.start_store(&id, clock, &inbox)?;
        signals::on_stop({
            let inbox = inbox.clone();
            move || inbox.push(Event::Stop)
        })?;
        let links = Links::new(poll, fwd_to!([cx], link_ready() as (LinkEvent)));
        let http = api.addr().unwrap_or(settings.http);
        self.addrs.set(Some((http, peer)));
        listening::announce(api.addr(), Some(peer));
        let parts = Parts {
            entry: create_core(settings, id, member, clock),
            clock,
            links,
            listener,
            datagrams,
            api,
            store,
            inbox,
            report: Report::new(&metrics),
            stop_span: settings.common.stop,
            log: self.log,
        };
        Ok(EntryDaemon::new(parts))
    }

    fn start_api(&self, metrics: &Metrics, inbox: &Inbox<Event>) -> Result<CallerApi> {
        let settings = &self.settings;
        let caller = CallerSettings {
            server: ServerSettings::new(settings.http, settings.body as usize),
            callers: settings.callers as usize,
        };
        let inbox = inbox.clone();
        let events = move |event| inbox.push(Event::Caller(event));
        CallerApi::start(caller, metrics, self.log.clone(), events)
            .wrap_err_with(|| format!("setting `http`: cannot listen on {}", settings.http))
    }

    fn start_store(
        &self,
        id: &EntryId,
        clock: Clock,
        inbox: &Inbox<Event>,
    ) -> Result<StoreThreads> {
        let urls = self.settings.store.join(",");
        let store = StoreSettings::builder(&urls)
            .map_err(|error| eyre!("setting `store`: {error}"))?
            .prefix(&self.settings.prefix)
            .build();
        let secs = self.settings.lease.secs_ceil();
        let ring = RingStore::new(&store, id.clone(), secs);
        let config = ConfigStore::new(&store);
        let threads = StoreThreads::start(ring, config, clock, inbox, &self.log);
        threads.wrap_err("the threads of the store cannot be started")
    }
}

fn create_core(settings: &EntrySettings, id: EntryId, member: Member, clock: Clock) -> Entry {
    let seed = id.incarnation.0;
    let membership = MemberSettings::builder(member)
        .lease(settings.lease)
        .authority(settings.authority)
        .skew(settings.skew)
        .window(settings.common.window)
        .build();
    let membership = Membership::new(membership, clock.now());
    let dispatch = DispatchSettings::new(settings.common.domain.clone()).seed(seed);
    let unstamped = settings.common.ids as usize;
    let limits = Limits::builder()
        .window(settings.common.window)
        .skew(settings.skew)
        .unstamped(unstamped)
        .answer_bytes(settings.answers as usize)
        .build();
    Entry::new(id, membership, Dispatcher::new(dispatch), limits)
}

/// Binds TCP and UDP to the same port.
fn bind(cx: CX![EntryDaemon], poll: &MioPoll, addr: SocketAddr) -> Result<(Listener, Datagrams)> {
    let mut tries = 0;
    loop {
        tries += 1;
        let ready = fwd_to!([cx], accept() as (Ready));
        let listener = Listener::bind(poll, addr, ready)
            .wrap_err_with(|| format!("setting `peer`: cannot listen on {addr} over TCP"))?;
        let chosen = listener.local_addr()?;
        let ready = fwd_to!([cx], datagrams_ready() as (Ready));
        match Datagrams::bind(poll, chosen, ready) {
            Ok(datagrams) => return Ok((listener, datagrams)),
            Err(_) if addr.port() == 0 && tries < PORT_TRIES => {}
            Err(error) => {
                let what = format!("setting `peer`: cannot listen on {chosen} over UDP");
                return Err(error).wrap_err(what);
            }
        }
    }
}

/// Returns the address that others reach; a port that the system chose is filled in.
fn advertised(advertise: Option<SocketAddr>, bound: SocketAddr) -> SocketAddr {
    let Some(mut addr) = advertise else {
        return bound;
    };
    if addr.port() == 0 {
        addr.set_port(bound.port());
    }
    addr
}

/// Returns an incarnation later than those of earlier lives: the wall-clock time in microseconds.
fn new_incarnation() -> Incarnation {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(wall.map_or(0, |span| span.as_micros() as u64))
}
