//! The connections and whether they have an unanswered call.
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

/// The table is swept of closed connections when it has grown to this many at least.
const MIN_SWEEP: usize = 256;

/// The connections that have sent a request lately.
pub(super) struct Connections {
    table: Mutex<Table>,
    idle: Duration,
}

#[derive(Default)]
struct Table {
    rows: FxHashMap<SocketAddr, Connection>,
    /// The number of rows at which to sweep.
    sweep: usize,
}

struct Connection {
    state: State,
    /// Requests that came in before the one in hand was answered.
    parked: VecDeque<Request>,
    /// When the last request came in or was answered.
    active: Instant,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    /// No request is in hand.
    Idle,
    /// A request is in hand.
    Busy,
    /// An answer was cut off or a body left unread: nothing more may be written.
    Broken,
}

/// What to do with a request that has come in.
pub(super) enum Entered {
    /// It is its connection's turn.
    Now {
        /// The request.
        request: Request,
        /// Whether it is the first of its connection.
        first: bool,
    },
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
            return Entered::Now {
                request,
                first: false,
            };
        };
        let now = Instant::now();
        let mut table = self.lock();
        let Some(connection) = table.rows.get_mut(&addr) else {
            table.sweep(now, self.idle);
            table.rows.insert(addr, Connection::new(State::Busy, now));
            return Entered::Now {
                request,
                first: true,
            };
        };
        // After this long without a request it is another connection from the same port.
        let renewed = now.duration_since(connection.active) > self.idle;
        connection.active = now;
        match connection.state {
            State::Broken if !renewed => {
                drop(table);
                discard(request);
                Entered::Later
            }
            State::Busy => {
                connection.parked.push_back(request);
                Entered::Later
            }
            State::Idle | State::Broken => {
                connection.state = State::Busy;
                Entered::Now {
                    request,
                    first: renewed,
                }
            }
        }
    }

    /// Returns whether the connection has sent more before it was answered.
    pub(super) fn pipelines(&self, addr: SocketAddr) -> bool {
        let table = self.lock();
        table.rows.get(&addr).is_some_and(|c| !c.parked.is_empty())
    }

    /// Notes that a call was answered and returns the next one of its connection.
    pub(super) fn leave(&self, addr: SocketAddr) -> Option<Request> {
        let mut table = self.lock();
        let connection = table.rows.get_mut(&addr)?;
        connection.active = Instant::now();
        let next = connection.parked.pop_front();
        if next.is_none() && connection.state == State::Busy {
            connection.state = State::Idle;
        }
        next
    }

    /// Notes that nothing more may be written on a connection.
    pub(super) fn break_off(&self, addr: SocketAddr) {
        let now = Instant::now();
        let mut table = self.lock();
        let row = table.rows.entry(addr);
        let connection = row.or_insert_with(|| Connection::new(State::Broken, now));
        connection.state = State::Broken;
        let parked = std::mem::take(&mut connection.parked);
        drop(table);
        parked.into_iter().for_each(discard);
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    fn new(state: State, now: Instant) -> Self {
        Self {
            state,
            parked: VecDeque::new(),
            active: now,
        }
    }
}

impl Table {
    /// Drops the rows of connections that are surely closed, once there are many rows.
    fn sweep(&mut self, now: Instant, idle: Duration) {
        if self.rows.len() < self.sweep.max(MIN_SWEEP) {
            return;
        }
        let open = |c: &Connection| now.duration_since(c.active) <= idle;
        self.rows.retain(|_, c| c.state == State::Busy || open(c));
        self.sweep = self.rows.len() * 2;
    }
}

/// Drops a request without the answer that `tiny_http` would write.
pub(super) fn discard(request: Request) {
    drop(request.into_writer());
}
