//! The agent's HTTP interface for its upstream and for operators.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{self, SyncSender};
use std::thread;
use std::time::Duration;

use chervilring_core::agent::{AgentStatus, UpstreamEvent};
use eyre::{WrapErr, eyre};
use serde_json::{Value, json};
use tiny_http::{Header, Method, Request, Response, Server};

use super::announcement;
use super::exposition::Exposition;
use crate::http::Kicker;
use crate::net::Inbox;

/// The largest announcement, in bytes.
const MAX_BODY: u64 = 64 << 10;

/// How long the loop may take to answer.
const LOOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Threads that serve requests.
const THREADS: usize = 2;

/// What came in over HTTP; the loop answers with its status after it has taken it in.
#[derive(Debug)]
pub(super) struct HttpEvent {
    /// What the upstream told, if it was the upstream.
    pub(super) upstream: Option<UpstreamEvent>,
    /// Takes the answer.
    pub(super) reply: SyncSender<AgentStatus>,
}

/// An answer: status, media type and body.
type Answer = (u16, &'static str, String);

/// Starts to serve requests and returns the address with the port that the system chose.
///
/// # Errors
///
/// Returns an error when the address cannot be listened on, as when the port is taken.
pub(super) fn serve(
    addr: SocketAddr,
    inbox: &Inbox<HttpEvent>,
    metrics: Exposition,
) -> eyre::Result<SocketAddr> {
    let server = Server::http(addr)
        .map_err(|e| eyre!("{e}"))
        .wrap_err_with(|| format!("cannot listen for HTTP on {addr}: choose another address"))?;
    let bound = server.server_addr().to_ip().unwrap_or(addr);
    let server = Arc::new(server);
    let metrics = Arc::new(metrics);
    let kicker = Arc::new(Kicker::start(bound)?);
    for _ in 0..THREADS {
        let (server, inbox) = (Arc::clone(&server), inbox.clone());
        let (metrics, kicker) = (Arc::clone(&metrics), Arc::clone(&kicker));
        let thread = thread::Builder::new().name("http".into());
        thread.spawn(move || {
            for request in server.incoming_requests() {
                if let Some(addr) = request.remote_addr() {
                    kicker.served(*addr);
                }
                answer(request, &inbox, &metrics);
            }
        })?;
    }
    Ok(bound)
}

fn answer(mut request: Request, inbox: &Inbox<HttpEvent>, metrics: &Exposition) {
    let (status, media, body) = route(&mut request, inbox, metrics);
    let mut response = Response::from_string(body).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", media) {
        response.add_header(header);
    }
    // A client that has gone away needs no answer.
    let _ = request.respond(response);
}

fn route(request: &mut Request, inbox: &Inbox<HttpEvent>, metrics: &Exposition) -> Answer {
    let path = request
        .url()
        .split('?')
        .next()
        .unwrap_or_default()
        .to_owned();
    match (request.method(), path.as_str()) {
        (Method::Put, "/v1/upstream") => announce(request, inbox),
        (Method::Delete, "/v1/upstream") => tell(inbox, UpstreamEvent::Leave),
        (Method::Get, "/v1/status") => with_status(inbox, None, |s| json_answer(200, &json!(s))),
        (Method::Get, "/metrics") => with_status(inbox, None, |s| {
            (200, "text/plain; version=0.0.4", metrics.text(s))
        }),
        (Method::Get, "/healthz") => with_status(inbox, None, |_| text(200, "ok")),
        (Method::Get, "/readyz") => with_status(inbox, None, readiness),
        (_, "/v1/upstream" | "/v1/status" | "/metrics" | "/healthz" | "/readyz") => {
            problem(405, "this path does not take this method")
        }
        _ => problem(404, &format!("no such path: {path}")),
    }
}

fn announce(request: &mut Request, inbox: &Inbox<HttpEvent>) -> Answer {
    let mut body = Vec::new();
    let read = request
        .as_reader()
        .take(MAX_BODY + 1)
        .read_to_end(&mut body);
    if read.is_err() {
        return problem(400, "the body ended early");
    }
    if body.len() as u64 > MAX_BODY {
        return problem(
            413,
            &format!("an announcement has at most {MAX_BODY} bytes"),
        );
    }
    match announcement::parse(&body) {
        Ok(event) => tell(inbox, event),
        Err(e) => problem(400, &e.to_string()),
    }
}

/// Passes on what the upstream told.
fn tell(inbox: &Inbox<HttpEvent>, event: UpstreamEvent) -> Answer {
    with_status(inbox, Some(event), |status| {
        json_answer(200, &json!({"agent": status.name, "state": status.state}))
    })
}

fn readiness(status: &AgentStatus) -> Answer {
    if status.state != "ready" {
        return text(503, &format!("the upstream is {}", status.state));
    }
    if status.entries.is_empty() {
        return text(503, "no entry is linked");
    }
    text(200, "ok")
}

/// Asks the loop, and answers with what `show` makes of its status.
fn with_status(
    inbox: &Inbox<HttpEvent>,
    upstream: Option<UpstreamEvent>,
    show: impl FnOnce(&AgentStatus) -> Answer,
) -> Answer {
    let (reply, status) = mpsc::sync_channel(1);
    inbox.push(HttpEvent { upstream, reply });
    match status.recv_timeout(LOOP_TIMEOUT) {
        Ok(status) => show(&status),
        Err(_) => problem(503, "the agent does not respond in time"),
    }
}

fn text(status: u16, body: &str) -> Answer {
    (status, "text/plain", format!("{body}\n"))
}

fn json_answer(status: u16, body: &Value) -> Answer {
    (status, "application/json", body.to_string())
}

fn problem(status: u16, detail: &str) -> Answer {
    let body = json!({"status": status, "detail": detail});
    (status, "application/problem+json", body.to_string())
}
