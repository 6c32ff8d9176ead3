//! Frees connections that the thread pool of `tiny_http` has left in its queue.
//!
//! The pool queues a connection when it has seen an idle thread. Connections that come in at the
//! same time may all count on the same one; those left over wait until a thread ends its
//! connection, which a kept connection does not do for a long while. A connection that ends at
//! once frees its thread, or a new one, for the oldest in the queue.

use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use rustc_hash::FxHashSet;

/// Time between kicks when no connection was opened.
const CALM: Duration = Duration::from_millis(250);

/// Time between the kicks that follow a new connection.
const PACE: Duration = Duration::from_millis(2);

/// Kicks that follow a new connection.
const BURST: u32 = 8;

/// The most connections known to have been served.
const MAX_KNOWN: usize = 16_384;

/// How long a kick may take to be served.
const PATIENCE: Duration = Duration::from_millis(500);

/// Kicks that are not served, one after the other, before the server is taken for dead.
const MAX_FAILURES: u32 = 6;

/// Opens connections to a server and ends them at once, periodically and on demand.
///
/// Dropping it ends its thread.
#[derive(Debug)]
pub struct Kicker {
    kicks: SyncSender<()>,
    known: Mutex<FxHashSet<SocketAddr>>,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Kicks that were not served, one after the other.
    failures: AtomicU32,
    stopped: AtomicBool,
}

impl Kicker {
    /// Starts the thread for a server at an address.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no thread can be had.
    pub fn start(mut addr: SocketAddr) -> io::Result<Self> {
        if addr.ip().is_unspecified() {
            addr.set_ip(loopback(&addr));
        }
        let (kicks, demand) = sync_channel(1);
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        thread::Builder::new()
            .name("http-kick".into())
            .spawn(move || run(addr, &demand, &shared))?;
        Ok(Self {
            kicks,
            known: Mutex::default(),
            state,
        })
    }

    /// Takes in that a connection has sent a request. After the first one of a connection the next
    /// is freed at once: those that came in with it may still be in the queue.
    pub fn served(&self, addr: SocketAddr) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if known.len() >= MAX_KNOWN {
            known.clear();
        }
        if known.insert(addr) {
            self.kick();
        }
    }

    /// Takes in that a connection has sent its first request.
    pub(super) fn kick(&self) {
        // A kick that is on its way already, or a thread that has ended, needs no further one.
        let _ = self.kicks.try_send(());
    }

    /// Returns whether the server serves no connection any more, once for each time it is found.
    pub(super) fn take_dead(&self) -> bool {
        let failures = &self.state.failures;
        let dead = failures.load(Ordering::Acquire) >= MAX_FAILURES;
        dead && failures.swap(0, Ordering::AcqRel) >= MAX_FAILURES
    }

    /// Ends the thread: the server is about to close.
    pub(super) fn stop(&self) {
        self.state.stopped.store(true, Ordering::Release);
    }
}

/// Kicks until the [`Kicker`] is stopped or dropped.
fn run(addr: SocketAddr, demand: &Receiver<()>, state: &State) {
    let mut due = 0;
    loop {
        let span = if due > 0 { PACE } else { CALM };
        match demand.recv_timeout(span) {
            Ok(()) => due = BURST,
            Err(RecvTimeoutError::Timeout) => due = due.saturating_sub(1),
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let served = is_served(addr);
        if state.stopped.load(Ordering::Acquire) {
            return;
        }
        if served {
            state.failures.store(0, Ordering::Release);
        } else {
            state.failures.fetch_add(1, Ordering::AcqRel);
        }
    }
}

/// Opens and ends a connection and returns whether the server ended it in turn.
fn is_served(addr: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, PATIENCE) else {
        return false;
    };
    let prepared = stream
        .set_read_timeout(Some(PATIENCE))
        .and_then(|()| stream.shutdown(Shutdown::Write));
    if prepared.is_err() {
        return false;
    }
    // A reset is as good as an orderly end.
    let ended = [ErrorKind::UnexpectedEof, ErrorKind::ConnectionReset];
    let end = stream.read_exact(&mut [0]);
    end.is_err_and(|error| ended.contains(&error.kind()))
}

fn loopback(addr: &SocketAddr) -> std::net::IpAddr {
    match addr {
        SocketAddr::V4(_) => std::net::Ipv4Addr::LOCALHOST.into(),
        SocketAddr::V6(_) => std::net::Ipv6Addr::LOCALHOST.into(),
    }
}
