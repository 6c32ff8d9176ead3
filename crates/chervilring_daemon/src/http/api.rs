//! The callers' interface of an entry.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

use chervilring_wire::{CorrelationId, Micros, Name, Query, Reply, Submission, SubmissionId};
use rustc_hash::FxHashMap;
use slog::Logger;

use super::call::{Answer, Call};
use super::health::Health;
use super::json::write_json;
use super::problem::Problem;
use super::route::{self, Layout, Route};
use super::server::{Server, ServerSettings};
use super::{answer, job, request};
use crate::metrics::Metrics;

/// When a caller who was refused may come back.
const RETRY: Micros = Micros::from_secs(1);

/// A stop waits until no request has come in for this long.
const QUIET: Duration = Duration::from_millis(300);

/// A stop waits at most this long for that.
const LINGER: Duration = Duration::from_secs(3);

/// How often a stop looks whether all callers are answered.
const POLL: Duration = Duration::from_millis(10);

/// What callers ask of an entry. Each is answered once by its ticket.
#[derive(Debug)]
pub enum CallerEvent {
    /// Submits a request or job; answered by [`CallerApi::reply`].
    Submit {
        /// What the reply names.
        ticket: CorrelationId,
        /// The submission.
        submission: Box<Submission>,
    },
    /// Asks about an id; answered by [`CallerApi::reply`].
    Query {
        /// What the reply names.
        ticket: CorrelationId,
        /// The id.
        id: SubmissionId,
        /// What is asked.
        query: Query,
    },
    /// Asks for the status of the entry; answered by [`CallerApi::status`].
    Status {
        /// What the reply names.
        ticket: CorrelationId,
    },
    /// Clears the doubts about ids of lost homes; answered by [`CallerApi::status`].
    ClearDoubts {
        /// What the reply names.
        ticket: CorrelationId,
    },
    /// Declares another entry dead; answered by [`CallerApi::status`].
    DeclareDead {
        /// What the reply names.
        ticket: CorrelationId,
        /// The other entry.
        name: Name,
    },
}

/// Settings of the callers' interface.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// The server's settings.
    pub server: ServerSettings,
    /// Callers that may wait for an answer at once.
    pub callers: usize,
}

/// The callers' interface of an entry. Clones share it.
///
/// No method waits for a caller but [`CallerApi::close`].
#[derive(Clone)]
pub struct CallerApi {
    inner: Arc<Inner>,
}

struct Inner {
    events: Box<dyn Fn(CallerEvent) + Send + Sync>,
    health: Health,
    callers: usize,
    waiting: Mutex<FxHashMap<CorrelationId, Waiting>>,
    next: AtomicU64,
    refusing: AtomicBool,
    server: Mutex<Option<Server>>,
}

/// A caller who waits for an answer.
struct Waiting {
    call: Call,
    /// What was asked about; `None` for the status.
    asked: Option<(SubmissionId, Layout)>,
}

impl CallerApi {
    /// Starts to listen. What callers ask is handed to `events`, on threads of the server.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be listened on.
    pub fn start(
        settings: CallerSettings,
        metrics: &Metrics,
        log: Logger,
        events: impl Fn(CallerEvent) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            events: Box::new(events),
            health: Health::new(metrics.clone()),
            callers: settings.callers,
            waiting: Mutex::default(),
            next: AtomicU64::new(1),
            refusing: AtomicBool::new(false),
            server: Mutex::new(None),
        });
        let weak: Weak<Inner> = Arc::downgrade(&inner);
        let handler = move |call: Call| {
            if let Some(inner) = weak.upgrade() {
                inner.handle(call);
            }
        };
        let server = Server::start(settings.server, metrics, log, handler)?;
        *inner.server() = Some(server);
        Ok(Self { inner })
    }

    /// Returns the address that callers reach; `None` once it is closed.
    pub fn addr(&self) -> Option<SocketAddr> {
        self.inner.server().as_ref().map(Server::addr)
    }

    /// Sets whether the entry takes work, as `/readyz` tells it.
    pub fn set_ready(&self, ready: bool) {
        self.inner.health.set_ready(ready);
    }

    /// Answers the caller of a ticket. A ticket that was answered before is ignored.
    pub fn reply(&self, ticket: CorrelationId, reply: Reply) {
        let Some(waiting) = self.inner.waiting().remove(&ticket) else {
            return;
        };
        let Some((id, layout)) = waiting.asked else {
            return;
        };
        waiting
            .call
            .reply_later(move || answer::of_reply(reply, id, layout));
    }

    /// Answers the caller who asked for the status.
    pub fn status(&self, ticket: CorrelationId, status: serde_json::Value) {
        let Some(waiting) = self.inner.waiting().remove(&ticket) else {
            return;
        };
        let write = move || Answer::json(200, write_json(&status));
        waiting.call.reply_later(write);
    }

    /// Returns how many callers wait for an answer.
    pub fn waiting(&self) -> usize {
        self.inner.waiting().len()
    }

    /// Refuses new submissions from now on, with the verdict that they were not run, and asks
    /// clients to close their connections.
    pub fn refuse(&self) {
        self.inner.health.set_ready(false);
        self.inner.refusing.store(true, Ordering::Release);
        if let Some(server) = self.inner.server().as_ref() {
            server.set_closing();
        }
    }

    /// Refuses new submissions, waits until the callers are answered and no request comes in any
    /// more, but not past `until`, and closes the listener. Returns how many were left unanswered.
    ///
    /// The event loop must run on meanwhile: this is called from a thread of its own.
    pub fn close(&self, until: Instant) -> usize {
        self.refuse();
        let linger = Instant::now() + LINGER;
        loop {
            let mut server = self.inner.server();
            let left = server.as_ref().map_or(0, Server::open);
            let quiet = server.as_ref().is_none_or(|s| s.quiet() > QUIET);
            let quiet = quiet || Instant::now() > linger;
            if left == 0 && quiet || Instant::now() >= until {
                server.take();
                return left;
            }
            drop(server);
            thread::sleep(POLL);
        }
    }
}

impl Inner {
    fn handle(&self, call: Call) {
        let Some(call) = self.health.handle(call) else {
            return;
        };
        let route = match route::find(call.method(), call.path()) {
            Ok(route) => route,
            Err(answer) => return call.answer(answer),
        };
        match route {
            Route::SubmitRequest(service) => self.submit_request(call, &service),
            Route::SubmitJob(key) => self.submit_job(call, &key),
            Route::Show(layout, key) => self.show(call, layout, &key),
            Route::Cancel(layout, key) => {
                let id = SubmissionId::from_key(&key);
                self.query(call, layout, id, Query::Cancel);
            }
            Route::Status => self.ask(call, None, |ticket| CallerEvent::Status { ticket }),
            Route::ClearDoubts => {
                self.ask(call, None, |ticket| CallerEvent::ClearDoubts { ticket });
            }
            Route::DeclareDead(name) => self.ask(call, None, |ticket| CallerEvent::DeclareDead {
                ticket,
                name: name.as_str().into(),
            }),
        }
    }

    fn submit_request(&self, call: Call, service: &str) {
        let Some((call, body)) = self.admit(call) else {
            return;
        };
        match request::read(&call, service, body) {
            Ok(submission) => self.submit(call, Layout::Request, submission),
            Err(problem) => call.answer(problem.answer()),
        }
    }

    fn submit_job(&self, call: Call, key: &str) {
        let wait = match request::prefer_wait(&call) {
            Ok(wait) => wait.unwrap_or_default(),
            Err(problem) => return call.answer(problem.answer()),
        };
        let Some((call, body)) = self.admit(call) else {
            return;
        };
        match job::read(key, wait, &body) {
            Ok(submission) => self.submit(call, Layout::Job, submission),
            Err(problem) => call.answer(problem.answer()),
        }
    }

    fn show(&self, call: Call, layout: Layout, key: &str) {
        let query = match request::prefer_wait(&call) {
            Ok(Some(span)) => Query::Wait(span),
            Ok(None) => Query::Status,
            Err(problem) => return call.answer(problem.answer()),
        };
        self.query(call, layout, SubmissionId::from_key(key), query);
    }

    /// Reads the body of a submission unless new ones are refused.
    fn admit(&self, call: Call) -> Option<(Call, bytes::Bytes)> {
        if self.refusing.load(Ordering::Acquire) {
            let problem = Problem::new(503, "unavailable", "This entry is stopping").retry(RETRY);
            call.answer(problem.answer());
            return None;
        }
        call.read_body()
    }

    fn submit(&self, call: Call, layout: Layout, submission: Submission) {
        let asked = Some((submission.id, layout));
        let submission = Box::new(submission);
        self.ask(call, asked, |ticket| CallerEvent::Submit {
            ticket,
            submission,
        });
    }

    fn query(&self, call: Call, layout: Layout, id: SubmissionId, query: Query) {
        self.ask(call, Some((id, layout)), |ticket| CallerEvent::Query {
            ticket,
            id,
            query,
        });
    }

    /// Notes the caller and hands over what it asks.
    fn ask(
        &self,
        call: Call,
        asked: Option<(SubmissionId, Layout)>,
        event: impl FnOnce(CorrelationId) -> CallerEvent,
    ) {
        let ticket = CorrelationId(self.next.fetch_add(1, Ordering::Relaxed));
        let mut waiting = self.waiting();
        if waiting.len() >= self.callers {
            drop(waiting);
            let problem = Problem::new(503, "overload", "Too many callers wait").retry(RETRY);
            call.answer(problem.answer());
            return;
        }
        waiting.insert(ticket, Waiting { call, asked });
        drop(waiting);
        (self.events)(event(ticket));
    }

    fn waiting(&self) -> MutexGuard<'_, FxHashMap<CorrelationId, Waiting>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn server(&self) -> MutexGuard<'_, Option<Server>> {
        self.server.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
