//! Which connections have an unanswered call.
//!
//! Answers of one connection must leave in the order of its requests. Calls that a client sends
//! before the previous one was answered are therefore parked, so that no thread ever blocks on
//! the answer of another call.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use tiny_http::Request;

/// The connections that have an unanswered call or are of no more use.
pub(super) struct Connections {
    table: Mutex<FxHashMap<SocketAddr, Connection>>,
    idle: Duration,
}

#[derive(Default)]
struct Connection {
    /// Requests that came in before the one in hand was answered.
    parked: VecDeque<Request>,
    /// Whether an answer was cut off or a body left unread: nothing more may be written. Holds
    /// the time after which the connection is surely closed.
    broken: Option<Instant>,
}

/// What to do with a request that has come in.
pub(super) enum Entered {
    /// It is its connection's turn.
    Now(Request),
    /// It waits for the previous answer, or is ignored on a broken connection.
    Later,
}

impl Connections {
    /// Creates an empty table for connections that are closed after `idle`.
    pub(super) fn new(idle: Duration) -> Self {
        Self {
            table: Mutex::default(),
            idle,
        }
    }

    /// Enters a request, in the order in which they were read.
    pub(super) fn enter(&self, request: Request) -> Entered {
        let Some(addr) = request.remote_addr().copied() else {
            return Entered::Now(request);
        };
        let mut table = self.lock();
        let Some(connection) = table.get_mut(&addr) else {
            table.insert(addr, Connection::default());
            return Entered::Now(request);
        };
        match &mut connection.broken {
            None => {
                connection.parked.push_back(request);
                Entered::Later
            }
            Some(until) if Instant::now() < *until => {
                *until = self.close_time();
                drop(table);
                discard(request);
                Entered::Later
            }
            Some(_) => {
                *connection = Connection::default();
                Entered::Now(request)
            }
        }
    }

    /// Returns whether the connection has sent more before it was answered.
    pub(super) fn pipelines(&self, addr: SocketAddr) -> bool {
        let table = self.lock();
        table.get(&addr).is_some_and(|c| !c.parked.is_empty())
    }

    /// Notes that a call was answered and returns the next one of its connection.
    pub(super) fn leave(&self, addr: SocketAddr) -> Option<Request> {
        let mut table = self.lock();
        let connection = table.get_mut(&addr)?;
        if connection.broken.is_some() {
            return None;
        }
        let next = connection.parked.pop_front();
        if next.is_none() {
            table.remove(&addr);
        }
        next
    }

    /// Notes that nothing more may be written on a connection.
    pub(super) fn break_off(&self, addr: SocketAddr) {
        let mut table = self.lock();
        let now = Instant::now();
        table.retain(|_, c| c.broken.is_none_or(|until| now < until));
        let connection = table.entry(addr).or_default();
        connection.broken = Some(self.close_time());
        let parked = std::mem::take(&mut connection.parked);
        drop(table);
        parked.into_iter().for_each(discard);
    }

    fn close_time(&self) -> Instant {
        Instant::now() + self.idle
    }

    fn lock(&self) -> MutexGuard<'_, FxHashMap<SocketAddr, Connection>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Drops a request without the answer that `tiny_http` would write.
pub(super) fn discard(request: Request) {
    drop(request.into_writer());
}
