//! Reading bodies within a limit.

use std::time::{Duration, Instant};

use bytes::Bytes;
use tiny_http::Request;

/// A body whose length is declared as at most this is read by `tiny_http` with the headers.
const SMALL: usize = 1024;

/// How long a body may take from its first to its last byte.
const READ_TIME: Duration = Duration::from_mins(1);

/// How much is read at once of a body of unknown length.
const CHUNK: usize = 64 << 10;

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyError {
    /// It is longer than allowed; the rest is unread.
    TooLong,
    /// It did not come in time.
    TooSlow,
    /// The connection ended within it.
    Cut,
}

/// Returns whether reading the body may wait for the client.
pub(super) fn may_block(request: &Request) -> bool {
    if request.body_length().is_some_and(|len| len > SMALL) {
        return true;
    }
    has_header(request, "Transfer-Encoding") || has_header(request, "Expect")
}

/// Reads the whole body into one buffer.
pub(super) fn read(request: &mut Request, limit: usize) -> Result<Bytes, BodyError> {
    let declared = request.body_length();
    if declared.is_some_and(|len| len > limit) {
        return Err(BodyError::TooLong);
    }
    let started = Instant::now();
    let reader = request.as_reader();
    let mut body = vec![0; declared.unwrap_or(CHUNK)];
    let mut filled = 0;
    loop {
        if filled == body.len() {
            if declared.is_some() {
                return Ok(body.into());
            }
            body.resize(filled + CHUNK, 0);
        }
        match reader.read(&mut body[filled..]) {
            Ok(0) if declared.is_none() => {
                body.truncate(filled);
                return Ok(body.into());
            }
            Ok(0) | Err(_) => return Err(BodyError::Cut),
            Ok(count) => filled += count,
        }
        if filled > limit {
            return Err(BodyError::TooLong);
        }
        if started.elapsed() > READ_TIME {
            return Err(BodyError::TooSlow);
        }
    }
}

fn has_header(request: &Request, name: &'static str) -> bool {
    request.headers().iter().any(|h| h.field.equiv(name))
}
