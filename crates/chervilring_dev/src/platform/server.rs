//! The HTTP side: a thread for each call, as `tiny_http` answers from any thread.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use chervilring_daemon::http::Kicker;
use serde_json::Value;
use tiny_http::{Header, Request, Response, Server};

use super::control::control;
use super::counts::{CallKind, Counts};
use super::faults::{Down, Fate, Faults};
use super::messages::parse;
use super::state::{Call, Refusal, State};
use super::stream::stream;
use crate::listener::bind;

/// The largest request, in bytes.
const MAX_REQUEST: u64 = 8 << 20;

/// How often a waiting watch looks for leases that have lapsed.
const WATCH_TICK: Duration = Duration::from_millis(200);

/// An answer that no client takes for one: it stands for an answer lost on its way.
const BROKEN: &[u8] = b"lost\r\n\r\n";

/// State that threads share and wait on.
#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<State>,
    pub(super) changed: Condvar,
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn wait<'a>(&self, guard: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
        let waited = self.changed.wait_timeout(guard, WATCH_TICK);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }
}

/// A running stand-in; it stops when dropped.
pub struct Platform {
    addr: SocketAddr,
    server: Arc<Server>,
    shared: Arc<Shared>,
    acceptor: Option<JoinHandle<()>>,
}

impl std::fmt::Debug for Platform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Platform")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

impl Platform {
    /// Starts a stand-in at an address; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot listen there.
    pub fn start(listen: SocketAddr, faults: Faults) -> io::Result<Self> {
        let listener = bind(listen)?;
        let addr = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new()),
            changed: Condvar::new(),
        });
        shared.lock().fates.set(faults);
        let server = Arc::new(server);
        let acceptor = {
            let (server, shared) = (Arc::clone(&server), Arc::clone(&shared));
            let kicker = Kicker::start(addr)?;
            thread::spawn(move || accept(&server, &shared, &kicker))
        };
        Ok(Self {
            addr,
            server,
            shared,
            acceptor: Some(acceptor),
        })
    }

    /// Returns the address it listens at.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns its URL, as the settings of a store take it.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Sets the faults, in place of all before.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().fates.set(faults);
        self.shared.changed.notify_all();
    }

    /// Returns the counts of calls so far.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts
    }

    /// Puts its clock forward, so that leases lapse.
    pub fn advance(&self, span: Duration) {
        self.shared.lock().advance(span);
        self.shared.changed.notify_all();
    }

    /// Forgets all changes so far, as a store does from time to time.
    pub fn compact(&self) {
        self.shared.lock().kv.compact();
        self.shared.changed.notify_all();
    }

    /// Waits until all writes that are to take effect late have done so.
    pub fn wait_late(&self) {
        let mut state = self.shared.lock();
        while state.late > 0 {
            state = self.shared.wait(state);
        }
    }

    /// Waits until the stand-in is stopped, which only a signal does.
    pub fn join(mut self) {
        if let Some(acceptor) = self.acceptor.take() {
            // The thread ends with the process.
            let _ = acceptor.join();
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.shared.lock().closed = true;
        self.shared.changed.notify_all();
        self.server.unblock();
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
    }
}

fn accept(server: &Server, shared: &Arc<Shared>, kicker: &Kicker) {
    while let Ok(request) = server.recv() {
        if let Some(addr) = request.remote_addr() {
            kicker.served(*addr);
        }
        let shared = Arc::clone(shared);
        thread::spawn(move || handle(request, &shared));
    }
}

/// Answers one request. That a client has gone away is its own affair.
fn handle(mut request: Request, shared: &Shared) {
    let mut body = Vec::new();
    let read = request.as_reader().take(MAX_REQUEST).read_to_end(&mut body);
    if read.is_err() {
        return;
    }
    let path = request.url().to_owned();
    if path.starts_with("/control/") {
        let answer = control(request.method(), &path, &body, shared);
        return respond(request, answer);
    }
    if path == "/v3/watch" {
        return match parse(&body) {
            Ok(watch) => stream(request, &watch, shared),
            Err(e) => respond(request, Err(Refusal::new(400, 3, &e))),
        };
    }
    match Call::read(&path, &body) {
        Ok(call) => answer(request, call, shared),
        Err(refusal) => respond(request, Err(refusal)),
    }
}

/// Carries out a call as the faults in force have it.
fn answer(request: Request, call: Call, shared: &Shared) {
    let fate = admit(call.kind(), shared);
    let carry_out = |call| {
        let answer = shared.lock().carry_out(call);
        shared.changed.notify_all();
        answer
    };
    match fate {
        Ok(Fate::Answer) => respond(request, carry_out(call)),
        Ok(Fate::Fail) => break_off(request),
        Ok(Fate::Lose) => {
            // Whether it succeeded is what the caller is not to know.
            let _ = carry_out(call);
            break_off(request);
        }
        Ok(Fate::Late(span)) => {
            break_off(request);
            thread::sleep(span);
            let _ = carry_out(call);
            shared.lock().late -= 1;
            shared.changed.notify_all();
        }
        Ok(Fate::Limit) => {
            let refusal = Refusal::new(429, 8, "etcdserver: too many requests");
            respond(request, Err(refusal));
        }
        Err(refusal) => respond(request, Err(refusal)),
    }
}

/// Counts a call, delays it, and decides what becomes of it.
pub(super) fn admit(kind: CallKind, shared: &Shared) -> Result<Fate, Refusal> {
    let slow = {
        let mut state = shared.lock();
        state.counts.add(kind);
        Duration::from_millis(state.fates.faults.slow_ms)
    };
    thread::sleep(slow);
    let mut state = shared.lock();
    let mut hung = false;
    while state.fates.faults.down == Down::Hang && !state.closed {
        hung = true;
        state = shared.wait(state);
    }
    if hung || state.closed || state.fates.faults.down == Down::Refuse {
        state.counts.failed += 1;
        return Err(Refusal::new(503, 14, "etcdserver: no leader"));
    }
    let now = state.clock.now();
    let fate = state.fates.decide(now, kind);
    match fate {
        Fate::Answer => {}
        Fate::Limit => state.counts.limited += 1,
        Fate::Fail | Fate::Lose => state.counts.failed += 1,
        Fate::Late(_) => {
            state.counts.failed += 1;
            state.late += 1;
        }
    }
    Ok(fate)
}

pub(super) fn respond(request: Request, answer: Result<Value, Refusal>) {
    let (status, body) = match answer {
        Ok(body) => (200, body),
        Err(refusal) => (refusal.status, refusal.body()),
    };
    let mut response = Response::from_string(body.to_string()).with_status_code(status);
    if let Ok(json) = Header::from_bytes("Content-Type", "application/json") {
        response.add_header(json);
    }
    let _ = request.respond(response);
}

/// Answers with what cannot be understood, so that the client gives up at once.
pub(super) fn break_off(request: Request) {
    let mut writer = request.into_writer();
    let _ = writer.write_all(BROKEN).and_then(|()| writer.flush());
}
