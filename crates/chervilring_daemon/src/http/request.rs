//! Reads requests of callers into submissions.

use bytes::Bytes;
use chervilring_wire::{
    Kind, Micros, Name, Origin, ServiceName, Submission, SubmissionId, TeamName,
};
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use super::call::Call;
use super::problem::Problem;

/// The team that work without a team is counted against.
pub(super) const DEFAULT_TEAM: &str = "default";

/// The media type of a body that names none.
const DEFAULT_MEDIA: &str = "application/octet-stream";

/// The longest media type, team or key, in bytes.
const MAX_HEADER: usize = 255;

/// The longest span a caller may ask for.
pub(super) const MAX_SPAN: Micros = Micros::from_secs(24 * 3_600);

/// Reads the headers and body of a request.
pub(super) fn read(call: &Call, service: &str, body: Bytes) -> Result<Submission, Problem> {
    let key = key(call)?;
    let media = header(call, "Content-Type")?.unwrap_or(DEFAULT_MEDIA);
    let team = header(call, "Chervilring-Team")?.unwrap_or(DEFAULT_TEAM);
    let mut submission = Submission {
        id: key.map_or_else(SubmissionId::generate, SubmissionId::from_key),
        origin: key.map_or(Origin::Generated, |_| Origin::ClientKey),
        kind: Kind::Request,
        service: ServiceName::from(service),
        team: TeamName::from(team),
        strict: strict(call)?,
        remaining: timeout(call)?,
        wait: None,
        media: Name::from(media),
        fingerprint: 0,
        bodies: vec![body],
    };
    submission.fingerprint = fingerprint(&submission);
    Ok(submission)
}

/// Returns the fingerprint of all that makes a submission what it is, but for the deadline.
pub(super) fn fingerprint(submission: &Submission) -> u128 {
    #[derive(Serialize)]
    struct Head<'a>(Kind, &'a str, &'a str, bool, &'a str, usize);
    let head = Head(
        submission.kind,
        submission.service.as_str(),
        submission.team.as_str(),
        submission.strict,
        &submission.media,
        submission.bodies.len(),
    );
    let mut hasher = Xxh3::new();
    // Flags, numbers and text are always written.
    hasher.update(&postcard::to_allocvec(&head).unwrap_or_default());
    for body in &submission.bodies {
        hasher.update(&(body.len() as u64).to_be_bytes());
        hasher.update(body);
    }
    hasher.digest128()
}

/// Reads how long the caller prefers to wait, from `Prefer: wait=SECONDS`.
pub(super) fn prefer_wait(call: &Call) -> Result<Option<Micros>, Problem> {
    for preference in call.headers("Prefer").flat_map(|v| v.split([',', ';'])) {
        let Some((name, value)) = preference.split_once('=') else {
            continue;
        };
        if !name.trim().eq_ignore_ascii_case("wait") {
            continue;
        }
        let value = value.trim().trim_matches('"');
        let secs = value.parse::<u64>().ok();
        let Some(secs) = secs.filter(|s| *s <= MAX_SPAN.secs_ceil()) else {
            let detail = format!(
                "Prefer: wait={value} is not a number of seconds from 0 to {}",
                MAX_SPAN.secs_ceil()
            );
            return Err(Problem::bad_input(detail));
        };
        return Ok(Some(Micros::from_secs(secs)));
    }
    Ok(None)
}

/// Reads the caller's key, a quoted string or a bare one.
fn key(call: &Call) -> Result<Option<&str>, Problem> {
    let Some(value) = header(call, "Idempotency-Key")? else {
        return Ok(None);
    };
    let quoted = value.strip_prefix('"').and_then(|v| v.strip_suffix('"'));
    let key = quoted.unwrap_or(value);
    if key.is_empty() || !key.bytes().all(|b| b.is_ascii_graphic()) {
        let detail = format!(
            "Idempotency-Key {value:?} must be 1 to {MAX_HEADER} printable ASCII characters \
             without a space, best a UUIDv7"
        );
        return Err(Problem::bad_input(detail));
    }
    Ok(Some(key))
}

fn strict(call: &Call) -> Result<bool, Problem> {
    match header(call, "Chervilring-Idempotent")? {
        None => Ok(false),
        Some("no") => Ok(true),
        Some(value) => Err(Problem::bad_input(format!(
            "Chervilring-Idempotent: {value} is not allowed; `no` rules out a second run, and \
             without the header the service's rule holds"
        ))),
    }
}

fn timeout(call: &Call) -> Result<Option<Micros>, Problem> {
    let Some(value) = header(call, "Chervilring-Timeout-Ms")? else {
        return Ok(None);
    };
    match value.parse() {
        Ok(millis) => timeout_span(millis).map(Some),
        Err(_) => Err(bad_timeout(value)),
    }
}

/// Checks a caller's timeout in milliseconds.
pub(super) fn timeout_span(millis: u64) -> Result<Micros, Problem> {
    if (1..=MAX_SPAN.as_millis()).contains(&millis) {
        return Ok(Micros::from_millis(millis));
    }
    Err(bad_timeout(&millis.to_string()))
}

fn bad_timeout(value: &str) -> Problem {
    let most = MAX_SPAN.as_millis();
    Problem::bad_input(format!(
        "The timeout {value:?} must be a whole number of milliseconds from 1 to {most}"
    ))
}

/// Returns a header that must not be longer than allowed nor empty.
fn header<'a>(call: &'a Call, name: &'static str) -> Result<Option<&'a str>, Problem> {
    match call.header(name) {
        Some(value) if value.is_empty() || value.len() > MAX_HEADER => {
            let detail = format!("{name} must be 1 to {MAX_HEADER} bytes long");
            Err(Problem::bad_input(detail))
        }
        value => Ok(value),
    }
}
