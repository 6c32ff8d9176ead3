//! One call of the upstream over HTTP.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use chervilring_core::agent::{CallEnd, UpstreamCall};
use chervilring_wire::{Micros, Time};
use ureq::http::header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER, TRANSFER_ENCODING};
use ureq::http::{HeaderMap, Response, StatusCode};
use ureq::{Agent, Body, Error, Timeout};

use crate::net::ip_client;

/// The header by which an upstream says whether a task ran.
const VERDICT: &str = "Chervilring-Verdict";

/// The media type of an answer that names none.
const OPAQUE: &str = "application/octet-stream";

/// How long a kept connection may be idle.
const MAX_IDLE: Duration = Duration::from_mins(1);

/// How long a connection may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Creates a client that keeps one connection.
pub(super) fn client() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .max_idle_connections(1)
        .max_idle_connections_per_host(1)
        .max_idle_age(MAX_IDLE)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .build();
    ip_client(config)
}

/// Has the upstream run a task and returns how that ended; an answer may have `limit` bytes.
pub(super) fn call(client: &Agent, call: &UpstreamCall, now: Time, limit: u64) -> CallEnd {
    let left = now.duration_until(call.deadline);
    // The loop may have been late: nothing was sent so far.
    if left == Micros::default() {
        return CallEnd::TimedOut;
    }
    let key = call.key;
    let request = client
        .post(format!("{}/{}", call.url, call.service))
        .header(CONTENT_TYPE, &*call.media)
        .header(
            "Idempotency-Key",
            format!("{}/{}", key.submission, key.index),
        )
        .header("Chervilring-Submission", key.submission.to_string())
        .header("Chervilring-Task", key.index.to_string())
        .header("Chervilring-Attempt", key.attempt.to_string())
        .header("Chervilring-Service", call.service.as_str())
        .header("Chervilring-Idempotent", call.idempotent.to_string())
        .header("Chervilring-Deadline-Ms", left.as_millis().to_string())
        .config()
        .timeout_global(Some(Duration::from_micros(left.0)))
        .build();
    let answer = request.send(&call.body[..]);
    answer.map_or_else(|e| failure(&e), |response| read(response, limit))
}

/// Reads the answer; it counts only when it is whole.
fn read(mut response: Response<Body>, limit: u64) -> CallEnd {
    let status = response.status();
    let headers = response.headers();
    if refuses(status, headers) {
        return CallEnd::Refused {
            retry_after: retry_after(headers),
        };
    }
    if !is_delimited(status, headers) {
        return CallEnd::Incomplete;
    }
    let media = text(headers, CONTENT_TYPE.as_str())
        .unwrap_or(OPAQUE)
        .into();
    // The limit itself must be readable, and the library's limit counts as reached at it.
    let body = response
        .body_mut()
        .with_config()
        .limit(limit + 1)
        .read_to_vec();
    match body {
        Ok(body) if body.len() as u64 > limit => CallEnd::TooLarge,
        Ok(body) => CallEnd::Answer {
            status: status.as_u16(),
            media,
            body: Bytes::from(body),
        },
        Err(Error::BodyExceedsLimit(_)) => CallEnd::TooLarge,
        Err(e) => after_send(&e),
    }
}

/// Returns whether the upstream says that it did not run the task.
fn refuses(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE && text(headers, VERDICT) == Some("not-run")
}

/// Returns whether the headers tell the end of the body: an answer that ends with the connection
/// cannot be told from one that was cut.
fn is_delimited(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::NO_CONTENT
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}

fn retry_after(headers: &HeaderMap) -> Option<Micros> {
    let seconds: u32 = text(headers, RETRY_AFTER.as_str())?.parse().ok()?;
    Some(Micros::from_secs(u64::from(seconds)))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns what an error says before an answer has begun.
fn failure(error: &Error) -> CallEnd {
    match error {
        Error::ConnectionFailed
        | Error::HostNotFound
        | Error::BadUri(_)
        | Error::Http(_)
        | Error::Timeout(Timeout::Connect | Timeout::Resolve) => CallEnd::NotSent,
        Error::Io(e) if is_connect_error(e.kind()) => CallEnd::NotSent,
        e => after_send(e),
    }
}

/// Returns whether only an attempt to connect can end like this.
fn is_connect_error(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionRefused | ErrorKind::AddrNotAvailable
    )
}

/// Returns what an error says once the task may have been sent.
fn after_send(error: &Error) -> CallEnd {
    match error {
        Error::Timeout(_) => CallEnd::TimedOut,
        Error::Io(e) if e.kind() == ErrorKind::TimedOut => CallEnd::TimedOut,
        _ => CallEnd::Incomplete,
    }
}
