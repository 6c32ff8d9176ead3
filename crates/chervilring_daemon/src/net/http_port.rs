//! HTTP/1.1 on the loop of a process, without threads.
//!
//! A connection whose peer has left is told at once, also while a request is open: what nobody
//! waits for need not be done. Requests of one connection are handed out one at a time.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use chervilring_wire::{Micros, Time};
use rustc_hash::FxHashMap;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};

use super::links::LINK_PRIORITY;
use super::listener::Listener;

/// The longest head of a request, in bytes.
const MAX_HEAD: usize = 16 << 10;

/// The most headers of a request.
const MAX_HEADERS: usize = 64;

/// How much one read takes from the system, in bytes.
const READ_CHUNK: usize = 16 << 10;

/// How long a connection may stand with half a request, or while its answer is not taken.
const HALF_TIME: Micros = Micros::from_secs(10);

/// How long a connection may stand without any request.
const IDLE_TIME: Micros = Micros::from_secs(120);

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
}

/// A request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HttpRequest {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The headers, their names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpAnswer {
    /// The status.
    pub status: u16,
    /// The media type of the body.
    pub media: &'static str,
    /// Seconds after which to come back.
    pub comeback: Option<u64>,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpAnswer {
    /// Creates an answer with a JSON body; an empty one is left out.
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            media: "application/json",
            comeback: None,
            body,
        }
    }
}

/// What has come in.
#[derive(Debug)]
pub enum HttpEvent {
    /// A whole request, to be answered.
    Request(ConnNo, HttpRequest),
    /// The peer has left before it was answered.
    Gone(ConnNo),
}

/// A connection.
struct Conn {
    tcp: TcpStreamBuf,
    /// Whether a request was handed out and is not answered.
    open: bool,
    /// Whether it is to be closed once all is sent.
    closing: bool,
    /// When something last came in or was answered.
    active: Time,
}

/// A listening port with its connections.
pub struct HttpPort {
    poll: MioPoll,
    listener: Listener,
    ready: Fwd<HttpReady>,
    conns: FxHashMap<ConnNo, Conn>,
    last: u64,
    /// The longest body, in bytes.
    body: usize,
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
        body: usize,
        ready: Fwd<HttpReady>,
    ) -> io::Result<Self> {
        let accept = ready.clone();
        let accept = Fwd::new(move |_: Ready| accept.fwd(HttpReady::Accept));
        Ok(Self {
            poll: poll.clone(),
            listener: Listener::bind(poll, addr, accept)?,
            ready,
            conns: FxHashMap::default(),
            last: 0,
            body,
            closing: false,
        })
    }

    /// Sets the longest body, in bytes.
    pub fn set_body(&mut self, body: usize) {
        self.body = body;
    }

    /// Has each connection closed after its next answer.
    pub fn set_closing(&mut self) {
        self.closing = true;
    }

    /// Reads and writes what is ready and returns what has come in.
    pub fn handle(&mut self, now: Time, ready: HttpReady) -> Vec<HttpEvent> {
        let mut events = Vec::new();
        match ready {
            HttpReady::Accept => {
                while let Some(stream) = self.listener.accept() {
                    // A connection that cannot be polled is dropped, which its peer sees.
                    if let Ok(conn) = self.accept(now, stream) {
                        self.read(now, conn, &mut events);
                    }
                }
            }
            HttpReady::Conn { conn, readable } => {
                self.flush(conn, &mut events);
                if readable {
                    self.read(now, conn, &mut events);
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
        let mut events = self.handle(now, ready);
        while let Some(event) = events.pop() {
            if let HttpEvent::Request(conn, request) = event {
                events.extend(self.answer(now, conn, &answer(&request)));
            }
        }
    }

    /// Answers the open request of a connection and returns what came in behind it.
    pub fn answer(&mut self, now: Time, conn: ConnNo, answer: &HttpAnswer) -> Vec<HttpEvent> {
        let mut events = Vec::new();
        let Some(row) = self.conns.get_mut(&conn).filter(|c| c.open) else {
            return events;
        };
        row.open = false;
        row.active = now;
        row.closing = row.closing || self.closing;
        write_answer(&mut row.tcp.out, answer, row.closing);
        self.flush(conn, &mut events);
        self.parse(now, conn, &mut events);
        events
    }

    /// Closes connections that have stood for too long.
    pub fn sweep(&mut self, now: Time) {
        let stale = |c: &Conn| {
            let half = c.tcp.wr > c.tcp.rd || !c.tcp.out.is_empty();
            let limit = if half { HALF_TIME } else { IDLE_TIME };
            !c.open && now.duration_since(c.active) > limit
        };
        self.conns.retain(|_, c| !stale(c));
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
        let mut tcp = TcpStreamBuf::new();
        tcp.set_nodelay(true);
        tcp.init(source);
        let row = Conn {
            tcp,
            open: false,
            closing: false,
            active: now,
        };
        self.conns.insert(conn, row);
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
        loop {
            let limit = MAX_HEAD + self.body;
            let Some(row) = self.conns.get_mut(&conn) else {
                return;
            };
            // What comes beyond one whole request waits in the system.
            if row.tcp.wr - row.tcp.rd > limit {
                break;
            }
            match row.tcp.read(READ_CHUNK) {
                ReadStatus::NewData => row.active = now,
                ReadStatus::WouldBlock => break,
                ReadStatus::EndOfStream | ReadStatus::Error(_) => {
                    self.drop_conn(conn, events);
                    return;
                }
            }
        }
        self.parse(now, conn, events);
    }

    /// Hands out the next request of a connection, if it is whole and none is open.
    fn parse(&mut self, now: Time, conn: ConnNo, events: &mut Vec<HttpEvent>) {
        let Some(row) = self.conns.get_mut(&conn) else {
            return;
        };
        if row.open || row.closing {
            return;
        }
        let input = &row.tcp.inp[row.tcp.rd..row.tcp.wr];
        match read_request(input, self.body) {
            Ok(None) => {}
            Ok(Some((request, used))) => {
                row.tcp.rd += used;
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
                events.extend(self.answer(now, conn, &answer));
            }
        }
    }

    fn drop_conn(&mut self, conn: ConnNo, events: &mut Vec<HttpEvent>) {
        let Some(row) = self.conns.remove(&conn) else {
            return;
        };
        if row.open {
            events.push(HttpEvent::Gone(conn));
        }
    }
}

/// Reads the request at the start of `input`: it and the bytes it took, or the status by which it
/// is refused.
fn read_request(input: &[u8], limit: usize) -> Result<Option<(HttpRequest, usize)>, u16> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let len = match head.parse(input) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) if input.len() > MAX_HEAD => return Err(431),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(431),
        Err(_) => return Err(400),
    };
    let mut request = HttpRequest {
        method: head.method.unwrap_or("").to_owned(),
        path: head.path.unwrap_or("").to_owned(),
        ..HttpRequest::default()
    };
    for header in head.headers.iter() {
        let name = header.name.to_ascii_lowercase();
        let value = String::from_utf8_lossy(header.value).trim().to_owned();
        request.headers.push((name, value));
    }
    if request.header("transfer-encoding").is_some() {
        return Err(411);
    }
    let size = match request.header("content-length") {
        None => 0,
        Some(text) => text.parse::<usize>().map_err(|_| 400_u16)?,
    };
    if size > limit {
        return Err(413);
    }
    let Some(body) = input.get(len..len + size) else {
        return Ok(None);
    };
    request.body = Bytes::copy_from_slice(body);
    Ok(Some((request, len + size)))
}

fn write_answer(out: &mut Vec<u8>, answer: &HttpAnswer, close: bool) {
    let HttpAnswer {
        status,
        media,
        comeback,
        body,
    } = answer;
    let mut head = vec![format!("HTTP/1.1 {status} {}", reason(*status))];
    if !body.is_empty() {
        head.push(format!("Content-Type: {media}"));
    }
    if let Some(seconds) = comeback {
        head.push(format!("Retry-After: {seconds}"));
    }
    if close {
        head.push("Connection: close".to_owned());
    }
    head.push(format!("Content-Length: {}\r\n\r\n", body.len()));
    out.extend_from_slice(head.join("\r\n").as_bytes());
    out.extend_from_slice(body);
}

/// Returns the usual phrase for a status.
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        410 => "Gone",
        411 => "Length Required",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}
