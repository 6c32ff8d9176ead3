//! One call over HTTP, and what its failure means.

use std::io;

use ureq::http::{Response, StatusCode};
use ureq::{Agent, Timeout};

use super::messages::ErrorResponse;
use crate::error::StoreError;

/// Posts a request and returns the answer, its body unread.
pub(super) fn post(
    agent: &Agent,
    url: &str,
    body: &[u8],
) -> Result<Response<ureq::Body>, StoreError> {
    let request = agent.post(url).content_type("application/json");
    let response = request.send(body).map_err(|e| classify(&e))?;
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    // The status tells that the call failed; a body that cannot be read only adds no message.
    let text = response.into_body().read_to_string().unwrap_or_default();
    let error: ErrorResponse = serde_json::from_str(&text).unwrap_or_default();
    let message = error.message;
    // A gateway that gave up on the store answers with a status from 500: no word on the effect.
    if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT {
        let status = status.as_u16();
        return Err(StoreError::Refused { status, message });
    }
    Err(StoreError::Lost(format!("status {status}: {message}")))
}

/// Tells a call that was never sent from one whose answer is missing.
pub(super) fn classify(error: &ureq::Error) -> StoreError {
    let sent = match error {
        ureq::Error::Io(e) => !unreachable(e.kind()),
        ureq::Error::Timeout(phase) => !matches!(phase, Timeout::Connect | Timeout::Resolve),
        ureq::Error::HostNotFound
        | ureq::Error::ConnectionFailed
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_) => false,
        _ => true,
    };
    if sent {
        return StoreError::Lost(error.to_string());
    }
    StoreError::NotSent(error.to_string())
}

/// Returns whether this kind of error comes of connecting only.
///
/// An unreachable host or network is not among them: an established connection may end so too.
fn unreachable(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::ConnectionRefused | io::ErrorKind::AddrNotAvailable
    )
}
