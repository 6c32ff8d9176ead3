//! A task as the stand-in reads it out of a request.

use std::io;
use std::time::Duration;

use serde_json::{Value, json};
use tiny_http::{Header, Request, Response};

/// What an opaque body starts with when it says how much work it is.
const WORK: &[u8] = b"work_ms=";

/// A task to run.
#[derive(Debug)]
pub(super) struct Task {
    /// The submission and index, as `submission/index`.
    pub(super) key: String,
    /// The attempt.
    attempt: String,
    /// Whether its deadline had passed when it came in.
    pub(super) late: bool,
    /// How long it runs at speed one.
    pub(super) work: Duration,
    media: String,
    body: Vec<u8>,
}

impl Task {
    /// Reads a task.
    pub(super) fn read(request: &mut Request) -> io::Result<Self> {
        let mut body = Vec::with_capacity(request.body_length().unwrap_or(0));
        request.as_reader().read_to_end(&mut body)?;
        let header = |name: &'static str| {
            let mut headers = request.headers().iter();
            let found = headers.find(|h| h.field.equiv(name));
            found
                .map(|h| h.value.as_str().to_owned())
                .unwrap_or_default()
        };
        let media = header("Content-Type");
        Ok(Self {
            key: header("Idempotency-Key"),
            attempt: header("Chervilring-Attempt"),
            late: header("Chervilring-Deadline-Ms") == "0",
            work: work(&media, &body),
            media,
            body,
        })
    }

    /// Returns the answer: an opaque body as it came, JSON with the task and who ran it.
    pub(super) fn answer(self, name: &str) -> Response<io::Cursor<Vec<u8>>> {
        if !is_json(&self.media) {
            return respond(200, &self.media, self.body);
        }
        let echo = serde_json::from_slice::<Value>(&self.body).unwrap_or_default();
        let answer = json!({
            "task": self.key,
            "attempt": self.attempt,
            "upstream": name,
            "echo": echo,
        });
        respond(200, "application/json", answer.to_string().into_bytes())
    }
}

/// Returns a response with a media type.
pub(super) fn respond(status: u16, media: &str, body: Vec<u8>) -> Response<io::Cursor<Vec<u8>>> {
    // Answers carry their length, never chunks, so that a cut one is seen as such.
    let response = Response::from_data(body).with_status_code(status);
    let response = response.with_chunked_threshold(usize::MAX);
    match Header::from_bytes("Content-Type", media) {
        Ok(header) => response.with_header(header),
        Err(()) => response,
    }
}

/// Returns how long a task runs: `work_ms` of a JSON object, or an opaque body's `work_ms=`.
fn work(media: &str, body: &[u8]) -> Duration {
    let millis = if is_json(media) {
        let body = serde_json::from_slice::<Value>(body).unwrap_or_default();
        body.get("work_ms").and_then(Value::as_f64).unwrap_or(0.0)
    } else {
        let digits = body.strip_prefix(WORK).unwrap_or_default();
        let digits = digits.iter().take_while(|b| b.is_ascii_digit());
        digits
            .take(9)
            .fold(0.0, |n, b| n * 10.0 + f64::from(b - b'0'))
    };
    Duration::from_secs_f64(millis.clamp(0.0, 3_600_000.0) / 1_000.0)
}

fn is_json(media: &str) -> bool {
    media.starts_with("application/json")
}
