//! Frees connections that the thread pool of `tiny_http` has left in its queue.
//!
//! The pool queues a connection when it has seen an idle thread. Connections that come in at the
//! same time may all count on the same one; those left over wait until a thread ends its
//! connection, which a kept connection does not do for a long while. A connection that ends at
//! once frees its thread, or a new one, for the oldest in the queue.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use rustc_hash::FxHashSet;

/// The longest time for which a connection is left in the queue, if it is the only one.
const PERIOD: Duration = Duration::from_millis(25);

/// The most connections known to have been served.
const MAX_KNOWN: usize = 16_384;

/// How long a connection to this host may take.
const CONNECT: Duration = Duration::from_millis(250);

/// Opens connections to a server and ends them at once, periodically and on demand.
///
/// Dropping it ends its thread.
#[derive(Debug)]
pub struct Kicker {
    kicks: SyncSender<()>,
    known: Mutex<FxHashSet<SocketAddr>>,
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
        thread::Builder::new()
            .name("http-kick".into())
            .spawn(move || {
                while demand.recv_timeout(PERIOD) != Err(RecvTimeoutError::Disconnected) {
                    // A server that cannot be reached has no connection in its queue either.
                    drop(TcpStream::connect_timeout(&addr, CONNECT));
                }
            })?;
        Ok(Self {
            kicks,
            known: Mutex::default(),
        })
    }

    /// Takes in that a connection has sent a request. After the first one of a connection the next
    /// is freed at once: those that came in with it may still be in the queue.
    pub fn served(&self, addr: SocketAddr) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if known.len() >= MAX_KNOWN {
            known.clear();
        }
        if !known.insert(addr) {
            return;
        }
        drop(known);
        match self.kicks.try_send(()) {
            // One that is on its way already does for both.
            Ok(()) | Err(TrySendError::Full(()) | TrySendError::Disconnected(())) => {}
        }
    }
}

fn loopback(addr: &SocketAddr) -> std::net::IpAddr {
    match addr {
        SocketAddr::V4(_) => std::net::Ipv4Addr::LOCALHOST.into(),
        SocketAddr::V6(_) => std::net::Ipv6Addr::LOCALHOST.into(),
    }
}
