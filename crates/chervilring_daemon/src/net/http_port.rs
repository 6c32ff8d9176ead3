//! HTTP/1.1 on the loop of a process, without threads.
//!
//! A connection whose peer has left is told at once, also while a request is open: what nobody
//! waits for need not be done. Requests of one connection are handed out one at a time.
//!
//! A port holds a limited number of connections and of bytes. Past that it closes connections of which
//! no request is open before others; among those that hold bytes the ones that have held them
//! for longest, as whoever sends a request without delay has held its bytes for a short time only.

use std::io;
use std::net::SocketAddr;

use chervilring_wire::Time;
use rustc_hash::FxHashMap;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready};

use super::http_conn::{Conn, SOCKET_BUFFER};
use super::http_message::{HttpAnswer, HttpRequest, MAX_HEAD, write_answer};
use super::links::LINK_PRIORITY;
use super::listener::Listener;

/// How many connections are accepted before others are looked at.
const ACCEPT_BATCH: usize = 64;

/// Names a connection of a port; never used again after it is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnNo(pub u64);

/// Says that something of a port is ready.
#[derive(Debug, Clone, Copy)]
pub enum HttpReady {
    /// Connections wait to be accepted.
    Accept,
    /// A connection can be read or written.
    Conn {
        /// The connection.
        conn: ConnNo,
        /// Whether there may be something to read.
        readable: bool,
    },
    /// Connections wait to be accepted behind others, or requests that came in behind others.
    Pending,
}

/// What has come in.
#[derive(Debug)]
pub enum HttpEvent {
    /// A whole request, to be answered.
    Request(ConnNo, HttpRequest),
    /// The peer has left before it was answered.
    Gone(ConnNo),
}

/// What a port may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PortLimits {
    /// The longest body of a request, in bytes.
    pub body: usize,
    /// The number of connections.
    pub conns: usize,
    /// The size of the buffers of all connections, in bytes: requests that are not whole or that wait
    /// behind another one, and answers that are not taken.
    pub buffers: usize,
}

/// A listening port with its connections.
pub struct HttpPort {
    poll: MioPoll,
    listener: Listener,
    ready: Fwd<HttpReady>,
    conns: FxHashMap<ConnNo, Conn>,
    last: u64,
    limits: PortLimits,
    /// The size of the buffers of all connections, in bytes.
    held: usize,
    /// The number of connections that were closed because of a limit.
    shed: u64,
    /// Connections on which something came in behind a request that is answered now.
    pending: Vec<ConnNo>,
    /// Whether connections may wait behind those that were accepted last.
    unaccepted: bool,
    /// Whether the owner was told that something waits.
    told: bool,
    closing: bool,
}

impl HttpPort {
    /// Listens on an address; `ready` is called for what [`HttpPort::handle`] is to look at.
    ///
    /// # Errors
    ///
    /// Returns the system's error, as when the port is taken.
    pub fn bind(
        poll: &MioPoll,
        addr: SocketAddr,
        limits: PortLimits,
        ready: Fwd<HttpReady>,
    ) -> io::Result<Self> {
        let accept = ready.clone();
        let accept = Fwd::new(move |_: Ready| accept.fwd(HttpReady::Accept));
        let listener = Listener::bind(poll, addr, accept)?;
        listener.set_buffers(SOCKET_BUFFER);
        Ok(Self {
            poll: poll.clone(),
            listener,
            ready,
            conns: FxHashMap::default(),
            last: 0,
            limits,
            held: 0,
            shed: 0,
            pending: Vec::new(),
            unaccepted: false,
            told: false,
            closing: false,
        })
    }

    /// Sets the longest body, in bytes.
    pub fn set_body(&mut self, body: usize) {
        self.limits.body = body;
    }

    /// Has each connection closed after its next answer.
    pub fn set_closing(&mut self) {
        self.closing = true;
    }

    /// Returns how many connections were closed because of a limit since the last call.
    pub fn take_shed(&mut self) -> u64 {
        std::mem::take(&mut self.shed)
    }

    /// Reads and writes what is ready and returns what has come in.
    pub fn handle(&mut self, now: Time, ready: HttpReady) -> Vec<HttpEvent> {
        let mut events = Vec::new();
        match ready {
            HttpReady::Accept => self.accept_some(now, &mut events),
            HttpReady::Conn { conn, readable } => {
                self.flush(conn, &mut events);
                if readable {
                    self.read(now, conn, &mut events);
                } else {
                    self.advance(now, conn, &mut events);
                }
            }
            HttpReady::Pending => {
                self.told = false;
                if std::mem::take(&mut self.unaccepted) {
                    self.accept_some(now, &mut events);
                }
                for conn in std::mem::take(&mut self.pending) {
                    self.advance(now, conn, &mut events);
                }
            }
        }
        events
    }

    /// Reads and writes what is ready, and answers each request at once.
    pub fn serve(
        &mut self,
        now: Time,
        ready: HttpReady,
        mut answer: impl FnMut(&HttpRequest) -> HttpAnswer,
    ) {
        for event in self.handle(now, ready) {
            if let HttpEvent::Request(conn, request) = event {
                // Nobody waits at a connection that is closed to make room: all are answered at once.
                drop(self.answer(now, conn, &answer(&request)));
            }
        }
    }

    /// Answers the open request of a connection and returns which peers have left. What came in behind
    /// the request is handed out later, so that one connection does not keep the others waiting.
    pub fn answer(&mut self, now: Time, conn: ConnNo, answer: &HttpAnswer) -> Vec<HttpEvent> {
        let mut events = Vec::new();
        self.write(now, conn, answer, &mut events);
        if self.conns.get(&conn).is_some_and(Conn::has_more) {
            self.pending.push(conn);
        }
        self.count(now, conn, &mut events);
        events
    }

    /// Returns whether [`HttpReady::Pending`] is to be handled in the next turn of the loop. Says so
    /// once for each time.
    pub fn take_pending(&mut self) -> bool {
        let waits = self.unaccepted || !self.pending.is_empty();
        waits && !std::mem::replace(&mut self.told, true)
    }

    /// Closes connections that have stood for too long.
    pub fn sweep(&mut self, now: Time) {
        self.conns.retain(|_, c| !c.is_stale(now));
        self.held = self.conns.values().map(|c| c.held).sum();
        self.unaccepted |= self.listener.take_failed();
    }

    fn accept_some(&mut self, now: Time, events: &mut Vec<HttpEvent>) {
        for _ in 0..ACCEPT_BATCH {
            let Some(stream) = self.listener.accept() else {
                return;
            };
            self.make_room(events);
            // A connection that cannot be polled is dropped, which its peer sees.
            if let Ok(conn) = self.accept(now, stream) {
                self.read(now, conn, events);
            }
        }
        // Further ones are accepted in the next turn of the loop, so that they do not hold it up.
        self.unaccepted = true;
    }

    /// Makes room for a connection.
    fn make_room(&mut self, events: &mut Vec<HttpEvent>) {
        if self.conns.len() < self.limits.conns {
            return;
        }
        self.shed += 1;
        let oldest = |(conn, c): &(&ConnNo, &Conn)| {
            let served = c.served.filter(|_| !c.open);
            (c.open, served, c.active, **conn)
        };
        if let Some((&conn, _)) = self.conns.iter().min_by_key(oldest) {
            self.drop_conn(conn, events);
        }
    }

    fn accept(&mut self, now: Time, stream: TcpStream) -> io::Result<ConnNo> {
        self.last += 1;
        let conn = ConnNo(self.last);
        let ready = self.ready.clone();
        let forward = Fwd::new(move |state: Ready| {
            let readable = state.is_readable() || state.is_read_closed() || state.is_error();
            ready.fwd(HttpReady::Conn { conn, readable });
        });
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = self.poll.add(stream, interest, LINK_PRIORITY, forward)?;
        self.conns.insert(conn, Conn::new(now, source));
        Ok(conn)
    }

    fn flush(&mut self, conn: ConnNo, events: &mut Vec<HttpEvent>) {
        let Some(row) = self.conns.get_mut(&conn) else {
            return;
        };
        let failed = row.tcp.flush().is_err();
        let over = row.closing && !row.open && row.tcp.out.is_empty();
        if failed || over {
            self.drop_conn(conn, events);
        }
    }

    fn read(&mut self, now: Time, conn: ConnNo, events: &mut Vec<HttpEvent>) {
        let limit = self.read_limit();
        while let Some(row) = self.conns.get_mut(&conn) {
            match row.read(now, limit) {
                Some(ReadStatus::NewData) => self.count(now, conn, events),
                Some(ReadStatus::WouldBlock) | None => break,
                Some(ReadStatus::EndOfStream | ReadStatus::Error(_)) => {
                    self.drop_conn(conn, events);
                    return;
                }
            }
        }
        self.advance(now, conn, events);
    }

    /// Hands out the next request of a connection, if it is whole and none is open.
    fn advance(&mut self, now: Time, conn: ConnNo, events: &mut Vec<HttpEvent>) {
        let Some(row) = self.conns.get_mut(&conn) else {
            return;
        };
        match row.take_request(self.limits.body) {
            Ok(None) => {}
            Ok(Some(request)) => {
                row.open = true;
                row.active = now;
                let close = request.header("connection");
                row.closing = close.is_some_and(|v| v.eq_ignore_ascii_case("close"));
                events.push(HttpEvent::Request(conn, request));
            }
            Err(status) => {
                row.open = true;
                row.closing = true;
                let answer = HttpAnswer::json(status, Vec::new());
                self.write(now, conn, &answer, events);
            }
        }
        let limit = self.read_limit();
        if self.conns.get(&conn).is_some_and(|c| c.may_resume(limit)) {
            self.read(now, conn, events);
        }
        self.count(now, conn, events);
    }

    /// Writes the answer to the open request of a connection.
    fn write(&mut self, now: Time, conn: ConnNo, answer: &HttpAnswer, events: &mut Vec<HttpEvent>) {
        let Some(row) = self.conns.get_mut(&conn).filter(|c| c.open) else {
            return;
        };
        row.open = false;
        row.served = Some(now);
        row.active = now;
        row.since = None;
        row.closing = row.closing || self.closing;
        write_answer(&mut row.tcp.out, answer, row.closing);
        self.flush(conn, events);
    }

    /// Returns how much of a connection is read before a request of it is handed out, in bytes. What
    /// comes beyond waits in the system.
    fn read_limit(&self) -> usize {
        MAX_HEAD + self.limits.body
    }

    /// Counts what a connection holds, and closes connections while all of them hold too much.
    fn count(&mut self, now: Time, conn: ConnNo, events: &mut Vec<HttpEvent>) {
        if let Some(row) = self.conns.get_mut(&conn) {
            self.held -= row.held;
            self.held += row.count(now);
        }
        while self.held > self.limits.buffers {
            let holding = self.conns.iter().filter(|(_, c)| c.held > 0);
            let oldest = holding.min_by_key(|(conn, c)| (c.open, c.since, **conn));
            let Some((&conn, _)) = oldest else {
                return;
            };
            self.shed += 1;
            self.drop_conn(conn, events);
        }
    }

    fn drop_conn(&mut self, conn: ConnNo, events: &mut Vec<HttpEvent>) {
        if self.remove(conn) {
            events.push(HttpEvent::Gone(conn));
        }
    }

    /// Removes a connection. Returns whether a request of it was open.
    fn remove(&mut self, conn: ConnNo) -> bool {
        let Some(row) = self.conns.remove(&conn) else {
            return false;
        };
        self.held -= row.held;
        row.open
    }
}
