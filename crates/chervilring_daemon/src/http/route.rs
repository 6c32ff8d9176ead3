//! Paths of the callers' interface.

use tiny_http::Method;

use super::call::Answer;
use super::health::method_not_allowed;
use super::problem::Problem;

/// The longest id or service name in a path, in bytes.
const MAX_SEGMENT: usize = 255;

/// How an answer is laid out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Layout {
    /// The upstream's own answer.
    Request,
    /// A JSON document with the outputs of all tasks.
    Job,
}

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Route {
    /// Submits a request to a service.
    SubmitRequest(String),
    /// Submits a job under an id.
    SubmitJob(String),
    /// Asks about an id.
    Show(Layout, String),
    /// Cancels an id.
    Cancel(Layout, String),
    /// Asks for the status of the entry.
    Status,
    /// Declares another entry dead.
    DeclareDead(String),
    /// Clears the doubts about ids of lost homes.
    ClearDoubts,
}

/// Finds the route of a method and path.
///
/// # Errors
///
/// Returns the answer when there is none.
pub(super) fn find(method: &Method, path: &str) -> Result<Route, Answer> {
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match segments.as_slice() {
        ["v1", "services", service, "requests"] => match method {
            Method::Post => Ok(Route::SubmitRequest(decode(service)?)),
            _ => Err(method_not_allowed("POST")),
        },
        ["v1", "jobs", id] => match method {
            Method::Put => Ok(Route::SubmitJob(decode(id)?)),
            Method::Get | Method::Head => Ok(Route::Show(Layout::Job, decode(id)?)),
            Method::Delete => Ok(Route::Cancel(Layout::Job, decode(id)?)),
            _ => Err(method_not_allowed("PUT, GET, HEAD, DELETE")),
        },
        ["v1", "requests", id] => match method {
            Method::Get | Method::Head => Ok(Route::Show(Layout::Request, decode(id)?)),
            Method::Delete => Ok(Route::Cancel(Layout::Request, decode(id)?)),
            _ => Err(method_not_allowed("GET, HEAD, DELETE")),
        },
        ["v1", "status"] => match method {
            Method::Get | Method::Head => Ok(Route::Status),
            _ => Err(method_not_allowed("GET, HEAD")),
        },
        ["v1", "doubts"] => match method {
            Method::Delete => Ok(Route::ClearDoubts),
            _ => Err(method_not_allowed("DELETE")),
        },
        ["v1", "members", name, "dead"] => match method {
            Method::Post => Ok(Route::DeclareDead(decode(name)?)),
            _ => Err(method_not_allowed("POST")),
        },
        _ => Err(unknown_path()),
    }
}

fn unknown_path() -> Answer {
    let detail = "Paths: /v1/services/{service}/requests, /v1/requests/{id}, /v1/jobs/{id}, \
                  /v1/status, /v1/members/{name}/dead, /v1/doubts, /healthz, /readyz, /metrics";
    Problem::new(404, "unknown-path", "There is nothing at this path")
        .detail(detail)
        .answer()
}

/// Decodes the percent-encoding of a path segment.
fn decode(segment: &str) -> Result<String, Answer> {
    let bad = || {
        let detail = format!(
            "The path segment {segment:?} must be 1 to {MAX_SEGMENT} bytes of printable ASCII, \
             percent-encoded where needed"
        );
        Problem::bad_input(detail).answer()
    };
    let mut text = String::with_capacity(segment.len());
    let mut bytes = segment.bytes();
    while let Some(byte) = bytes.next() {
        let byte = if byte == b'%' {
            let high = bytes.next().and_then(hex_digit).ok_or_else(bad)?;
            let low = bytes.next().and_then(hex_digit).ok_or_else(bad)?;
            high << 4 | low
        } else {
            byte
        };
        if !byte.is_ascii_graphic() {
            return Err(bad());
        }
        text.push(char::from(byte));
    }
    if text.is_empty() || text.len() > MAX_SEGMENT {
        return Err(bad());
    }
    Ok(text)
}

fn hex_digit(byte: u8) -> Option<u8> {
    char::from(byte).to_digit(16).map(|digit| digit as u8)
}
