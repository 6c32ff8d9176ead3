//! Accepts connections and hands out calls.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use opentelemetry::metrics::{Counter, Histogram};
use slog::{Logger, warn};
use socket2::SockRef;
use tiny_http::Request;

use super::call::Call;
use super::connections::{Connections, Entered};
use super::kicker::Kicker;
use super::pool::Pool;
use super::problem::Problem;
use crate::metrics::Metrics;

/// Threads that take requests from `tiny_http`.
const ACCEPTORS: usize = 3;

/// Threads that write answers while none of them blocks.
const WRITERS: usize = 3;

/// Most threads that write answers at once.
const MAX_WRITERS: usize = 256;

/// Most bodies that are read at once.
const MAX_READERS: usize = 256;

/// Connections that may wait to be accepted; the standard library asks for 128.
const BACKLOG: i32 = 4096;

/// How long a write may stand still before the connection is given up.
const WRITE_TIME: Duration = Duration::from_secs(10);

/// How often an acceptor without requests looks whether it shall end.
const POLL: Duration = Duration::from_millis(500);

/// How long to wait before listening again after the host refused a connection.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The settings of a server.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// The address to listen on.
    pub addr: SocketAddr,
    /// The longest body, in bytes.
    pub body: usize,
    /// How long a connection may be idle.
    pub idle: Duration,
}

impl ServerSettings {
    /// Creates settings for an address, with bodies up to `body` bytes.
    pub fn new(addr: SocketAddr, body: usize) -> Self {
        Self {
            addr,
            body,
            idle: Duration::from_secs(75),
        }
    }

    /// Sets how long a connection may be idle.
    pub fn idle(mut self, idle: Duration) -> Self {
        self.idle = idle;
        self
    }
}

type Handler = Box<dyn Fn(Call) + Send + Sync>;

/// What the threads of a server share.
pub(super) struct Shared {
    pub(super) settings: ServerSettings,
    pub(super) connections: Connections,
    pub(super) writers: Pool,
    pub(super) abandoned: Counter<u64>,
    /// Calls whose answer is not written yet.
    pub(super) open: AtomicUsize,
    /// Whether each answer is the last one of its connection.
    pub(super) closing: AtomicBool,
    kicker: Kicker,
    readers: Pool,
    handler: Handler,
    log: Logger,
    stopping: AtomicBool,
    last: Mutex<Instant>,
    requests: Counter<u64>,
    problems: Counter<u64>,
    durations: Histogram<f64>,
}

/// One run of `tiny_http` on the listener; another one follows when its accept loop fails.
struct Generation {
    server: tiny_http::Server,
    /// Held while a request is taken and entered, so that both happen in the order of arrival.
    turn: Mutex<()>,
    retired: AtomicBool,
}

/// A listening HTTP server.
///
/// Dropping it closes the listener. What still comes in on open connections is refused.
pub struct Server {
    shared: Arc<Shared>,
    addr: SocketAddr,
    listener: TcpListener,
}

impl Server {
    /// Starts to listen and hands each request to `handler`, on a thread of the server.
    ///
    /// The handler must not wait for anything but the request's own body.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be listened on.
    pub fn start(
        settings: ServerSettings,
        metrics: &Metrics,
        log: Logger,
        handler: impl Fn(Call) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = bind(&settings)?;
        let addr = listener.local_addr()?;
        let shared = Shared {
            connections: Connections::new(settings.idle),
            writers: Pool::new("http-write", WRITERS, MAX_WRITERS),
            readers: Pool::new("http-read", 0, MAX_READERS),
            handler: Box::new(handler),
            log,
            kicker: Kicker::start(addr)?,
            open: AtomicUsize::new(0),
            closing: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            last: Mutex::new(Instant::now()),
            requests: metrics.counter("http_requests", "HTTP requests taken in"),
            problems: metrics.counter("http_problems", "HTTP answers with status 400 or above"),
            abandoned: metrics.counter(
                "http_abandoned",
                "Connections left behind because of an absurd Content-Length",
            ),
            durations: metrics.durations("http_duration", "Time from request to answer"),
            settings,
        };
        let shared = Arc::new(shared);
        listen(&shared, &listener)?;
        Ok(Self {
            shared,
            addr,
            listener,
        })
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns how many calls have no written answer yet.
    pub fn open(&self) -> usize {
        self.shared.open.load(Ordering::Acquire)
    }

    /// Asks clients with each answer from now on to close their connection.
    pub fn set_closing(&self) {
        self.shared.closing.store(true, Ordering::Release);
    }

    /// Returns how long ago the last request came in.
    pub fn quiet(&self) -> Duration {
        let last = self.shared.last.lock();
        last.unwrap_or_else(PoisonError::into_inner).elapsed()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Release);
        self.shared.closing.store(true, Ordering::Release);
        self.shared.kicker.stop();
        // Ends the accept loop of `tiny_http` as well. An error means that it has ended already.
        let _ = SockRef::from(&self.listener).shutdown(Shutdown::Both);
    }
}

impl Shared {
    /// Notes that a call was answered and takes up the next one of its connection.
    pub(super) fn leave(shared: &Arc<Self>, addr: SocketAddr) {
        let Some(request) = shared.connections.leave(addr) else {
            return;
        };
        let call = Call::new(request, Arc::clone(shared));
        shared.writers.run(move || Self::handle(call));
    }

    /// Counts an answer.
    pub(super) fn count(&self, status: u16, started: Instant) {
        if status >= 400 {
            self.problems.add(1, &[]);
        }
        self.durations.record(started.elapsed().as_secs_f64(), &[]);
    }

    fn handle(call: Call) {
        let shared = Arc::clone(call.shared());
        shared.requests.add(1, &[]);
        if shared.stopping.load(Ordering::Acquire) {
            let problem = Problem::new(503, "unavailable", "This process is stopping");
            shared
                .readers
                .run_slow(move || call.answer(problem.answer()));
            return;
        }
        if !call.may_block() {
            (shared.handler)(call);
            return;
        }
        let readers = shared.readers.clone();
        readers.run_slow(move || (shared.handler)(call));
    }
}

/// Listens with the options that connections inherit.
fn bind(settings: &ServerSettings) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(settings.addr)?;
    let socket = SockRef::from(&listener);
    socket.listen(BACKLOG)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE_TIME))?;
    socket.set_read_timeout(Some(settings.idle))?;
    Ok(listener)
}

/// Starts a generation on the listener.
fn listen(shared: &Arc<Shared>, listener: &TcpListener) -> io::Result<()> {
    let server =
        tiny_http::Server::from_listener(listener.try_clone()?, None).map_err(io::Error::other)?;
    let generation = Arc::new(Generation {
        server,
        turn: Mutex::new(()),
        retired: AtomicBool::new(false),
    });
    for _ in 0..ACCEPTORS {
        let acceptor = Acceptor {
            shared: Arc::clone(shared),
            generation: Arc::clone(&generation),
            listener: listener.try_clone()?,
        };
        let name = "http-accept".to_owned();
        thread::Builder::new()
            .name(name)
            .spawn(move || acceptor.run())?;
    }
    Ok(())
}

/// One thread that takes requests.
struct Acceptor {
    shared: Arc<Shared>,
    generation: Arc<Generation>,
    listener: TcpListener,
}

impl Acceptor {
    fn run(self) {
        // Of a retired generation, the acceptor that saw it fail serves the connections left.
        let mut last_one = false;
        let mut active = Instant::now();
        loop {
            match self.take() {
                Ok(Some(request)) => {
                    active = Instant::now();
                    Shared::handle(Call::new(request, Arc::clone(&self.shared)));
                }
                Ok(None) => {
                    if !last_one && self.shared.kicker.take_dead() {
                        last_one = true;
                        self.listen_again(&io::Error::other("connections are not taken up"));
                    }
                    // Connections are closed when idle: none is left after twice that time.
                    let over = !last_one || active.elapsed() > self.shared.settings.idle * 2;
                    if over && self.generation.retired.load(Ordering::Acquire) {
                        return;
                    }
                }
                Err(error) => {
                    last_one = true;
                    self.listen_again(&error);
                }
            }
        }
    }

    /// Takes the next request; `None` when it is not that one's turn or none came for a while.
    fn take(&self) -> io::Result<Option<Request>> {
        let turn = self.generation.turn.lock();
        let _turn = turn.unwrap_or_else(PoisonError::into_inner);
        let Some(request) = self.generation.server.recv_timeout(POLL)? else {
            return Ok(None);
        };
        let last = self.shared.last.lock();
        *last.unwrap_or_else(PoisonError::into_inner) = Instant::now();
        match self.shared.connections.enter(request) {
            Entered::Now { request, first } => {
                if first {
                    self.shared.kicker.kick();
                }
                Ok(Some(request))
            }
            Entered::Later => Ok(None),
        }
    }

    /// Starts the next generation after the accept loop of this one has ended.
    fn listen_again(&self, error: &io::Error) {
        self.generation.retired.store(true, Ordering::Release);
        if self.shared.stopping.load(Ordering::Acquire) {
            return;
        }
        if error.kind() != io::ErrorKind::WouldBlock {
            warn!(self.shared.log, "accepting connections failed"; "error" => %error);
            thread::sleep(RETRY_PAUSE);
        }
        while let Err(error) = listen(&self.shared, &self.listener) {
            warn!(self.shared.log, "listening again failed"; "error" => %error);
            if self.shared.stopping.load(Ordering::Acquire) {
                return;
            }
            thread::sleep(RETRY_PAUSE);
        }
    }
}
