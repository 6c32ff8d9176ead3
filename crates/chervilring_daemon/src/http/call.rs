//! One HTTP request and its answer.

use std::fmt::Write as _;
use std::io::{self, Cursor, Write};
use std::mem;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use tiny_http::{Header, HeaderField, Method, Request, Response, StatusCode};

use super::body::{self, BodyError};
use super::problem::Problem;
use super::server::Shared;

/// Answers up to this length fit into the send buffer of a connection.
const SMALL_ANSWER: usize = 8 << 10;

/// `tiny_http` allocates the length of an unread body when it drops the request; a body declared
/// longer than this is never dropped.
const DROPPABLE: usize = 256 << 20;

/// What is sent back. It always states its length.
#[derive(Debug, Clone)]
pub struct Answer {
    status: u16,
    headers: Vec<Header>,
    body: Bytes,
}

impl Answer {
    /// Creates an answer with a body of a media type.
    pub fn new(status: u16, media: &str, body: impl Into<Bytes>) -> Self {
        let answer = Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        };
        answer.header("Content-Type", media)
    }

    /// Creates an answer without a body.
    pub fn empty(status: u16) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Creates an answer with a JSON document.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Self {
        Self::new(status, "application/json", body)
    }

    /// Adds a header. One that cannot be written in ASCII is left out.
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        let printable = value.bytes().all(|b| (b' '..=b'~').contains(&b));
        if printable && let Ok(header) = Header::from_bytes(name, value) {
            self.headers.push(header);
        }
        self
    }

    /// Returns the status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns the body.
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    /// Writes the answer as the last one of its connection. `tiny_http` has no way to say so.
    fn write_last(self, request: Request) -> io::Result<()> {
        let has_body = *request.method() != Method::Head;
        let status = StatusCode(self.status);
        let phrase = status.default_reason_phrase();
        let mut head = format!("HTTP/1.1 {} {phrase}\r\n", self.status);
        for header in &self.headers {
            // Writing to a string cannot fail.
            let _ = write!(head, "{}: {}\r\n", header.field, header.value);
        }
        let length = self.body.len();
        let _ = write!(
            head,
            "Content-Length: {length}\r\nConnection: close\r\n\r\n"
        );
        let mut writer = request.into_writer();
        writer.write_all(head.as_bytes())?;
        if has_body {
            writer.write_all(&self.body)?;
        }
        writer.flush()
    }

    fn into_response(self) -> Response<Cursor<Bytes>> {
        let length = Some(self.body.len());
        let body = Cursor::new(self.body);
        Response::new(self.status.into(), self.headers, body, length, None)
            .with_chunked_threshold(usize::MAX)
    }
}

/// One HTTP request that has not been answered yet.
///
/// A call that is dropped unanswered is answered with status 500.
pub struct Call {
    request: Option<Request>,
    shared: Arc<Shared>,
    started: Instant,
}

impl Call {
    pub(super) fn new(request: Request, shared: Arc<Shared>) -> Self {
        shared.open.fetch_add(1, Ordering::AcqRel);
        Self {
            request: Some(request),
            shared,
            started: Instant::now(),
        }
    }

    pub(super) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns whether reading the body may wait for the client.
    pub(super) fn may_block(&self) -> bool {
        body::may_block(self.request())
    }

    /// Returns when the call came in.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Returns the method.
    pub fn method(&self) -> &Method {
        self.request().method()
    }

    /// Returns the path, without the query.
    pub fn path(&self) -> &str {
        let url = self.request().url();
        url.split_once('?').map_or(url, |(path, _)| path)
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &'static str) -> Option<&str> {
        let mut headers = self.request().headers().iter();
        let found = headers.find(|h| h.field.equiv(name))?;
        Some(found.value.as_str().trim())
    }

    /// Returns all values of a header.
    pub fn headers(&self, name: &'static str) -> impl Iterator<Item = &str> {
        let headers = self.request().headers().iter();
        let found = headers.filter(move |h| {
            let field: &HeaderField = &h.field;
            field.equiv(name)
        });
        found.map(|h| h.value.as_str().trim())
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Answers the call itself and returns nothing when the body is longer than the server's
    /// limit, too slow or cut off.
    pub fn read_body(mut self) -> Option<(Self, Bytes)> {
        let limit = self.shared.settings.body;
        let request = self.request.as_mut()?;
        match body::read(request, limit) {
            Ok(body) => Some((self, body)),
            Err(error) => {
                self.refuse_body(error);
                None
            }
        }
    }

    /// Answers the call, on a thread that may block when the answer is large.
    pub fn answer(self, answer: Answer) {
        let pipelines = self
            .addr()
            .is_some_and(|a| self.shared.connections.pipelines(a));
        if answer.body.len() <= SMALL_ANSWER && !pipelines {
            self.write(answer);
            return;
        }
        let writers = self.shared.writers.clone();
        writers.run_slow(move || self.write(answer));
    }

    /// Makes the answer and writes it on another thread: never blocks.
    pub fn reply_later(self, make: impl FnOnce() -> Answer + Send + 'static) {
        let writers = self.shared.writers.clone();
        writers.run(move || self.answer(make()));
    }

    fn write(mut self, answer: Answer) {
        let Some(request) = self.request.take() else {
            return;
        };
        self.shared.count(answer.status, self.started);
        let addr = request.remote_addr().copied();
        let written = if self.shared.closing.load(Ordering::Acquire) {
            answer.write_last(request)
        } else {
            request.respond(answer.into_response())
        };
        let Some(addr) = addr else {
            return;
        };
        if written.is_err() {
            self.shared.connections.break_off(addr);
        }
        Shared::leave(&self.shared, addr);
    }

    fn refuse_body(mut self, error: BodyError) {
        let limit = self.shared.settings.body;
        let problem = match error {
            BodyError::TooLong => Problem::body_too_long(limit),
            BodyError::TooSlow => {
                Problem::new(408, "body-too-slow", "The body did not come in time")
            }
            BodyError::Cut => Problem::new(400, "body-cut", "The body ended early"),
        };
        let declared = self.request.as_ref().and_then(Request::body_length);
        if declared.is_some_and(|len| len > DROPPABLE) {
            self.abandon(problem.answer());
            return;
        }
        if error == BodyError::TooLong && declared.is_some() {
            // The answer goes out before the rest of the body is read and thrown away.
            self.write(problem.answer());
            return;
        }
        // What follows on this connection is the rest of the body and not a request.
        let Some(request) = self.request.take() else {
            return;
        };
        self.shared.count(problem.status(), self.started);
        let addr = request.remote_addr().copied();
        if let Some(addr) = addr {
            self.shared.connections.break_off(addr);
        }
        // An error means that the client is gone.
        let _ = request.respond(problem.answer().into_response());
    }

    /// Answers a call whose request cannot be dropped, and leaves its connection behind.
    fn abandon(mut self, answer: Answer) {
        let Some(request) = self.request.take() else {
            return;
        };
        self.shared.count(answer.status, self.started);
        self.shared.abandoned.add(1, &[]);
        if let Some(addr) = request.remote_addr() {
            self.shared.connections.break_off(*addr);
        }
        let version = request.http_version().clone();
        // The only way to write without dropping the body's reader; the interim status is
        // skipped by clients.
        let mut stream = request.upgrade("none", Response::empty(100));
        let response = answer.into_response();
        // An error means that the client is gone.
        let _ = response.raw_print(&mut stream, version, &[], false, None);
        let _ = stream.flush();
        mem::forget(stream);
    }

    fn addr(&self) -> Option<SocketAddr> {
        self.request().remote_addr().copied()
    }

    fn request(&self) -> &Request {
        self.request
            .as_ref()
            .expect("a call holds its request until it is answered")
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            let unanswered = Self::new(request, Arc::clone(&self.shared));
            let problem = Problem::new(500, "internal", "The request was given up");
            unanswered.reply_later(move || problem.answer());
        }
        self.shared.open.fetch_sub(1, Ordering::AcqRel);
    }
}
