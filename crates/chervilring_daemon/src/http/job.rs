//! Jobs as JSON documents.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use chervilring_wire::{
    Kind, Micros, Name, Origin, Progress, ServiceName, Submission, SubmissionId, TaskOutput,
    TeamName, Verdict,
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::json::write_json;
use super::problem::Problem;
use super::request::{self, DEFAULT_TEAM};

const JSON: &str = "application/json";
const BINARY: &str = "application/octet-stream";

/// How the bodies of tasks stand in the document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Encoding {
    /// As JSON values, passed on as they are written.
    #[default]
    Json,
    /// As strings in base64.
    Base64,
}

/// A job as its caller writes it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobDocument<'a> {
    service: String,
    #[serde(default)]
    team: Option<String>,
    #[serde(default)]
    timeout_ms: Option<u64>,
    #[serde(default)]
    strict: bool,
    #[serde(default)]
    media: Option<String>,
    #[serde(default)]
    encoding: Encoding,
    #[serde(borrow)]
    tasks: Vec<&'a RawValue>,
}

/// Reads a job. The bodies of its tasks are slices of the document where they stand there whole.
pub(super) fn read(key: &str, wait: Micros, body: &Bytes) -> Result<Submission, Problem> {
    let document: JobDocument<'_> = serde_json::from_slice(body)
        .map_err(|error| Problem::bad_input(format!("The job document: {error}")))?;
    if document.tasks.is_empty() {
        return Err(Problem::bad_input("`tasks` must hold at least one task"));
    }
    let media = match (document.media.as_deref(), document.encoding) {
        (Some(media), _) if is_header_text(media) => media,
        (Some(_), _) => return Err(Problem::bad_input("`media` must be a media type in ASCII")),
        (None, Encoding::Json) => JSON,
        (None, Encoding::Base64) => BINARY,
    };
    let team = document.team.as_deref().unwrap_or(DEFAULT_TEAM);
    let bodies = document.tasks.iter().enumerate();
    let bodies = bodies.map(|(index, task)| match document.encoding {
        Encoding::Json => Ok(body.slice_ref(task.get().as_bytes())),
        Encoding::Base64 => decode(index, task),
    });
    let bodies = bodies.collect::<Result<Vec<_>, _>>()?;
    let remaining = document.timeout_ms.map(request::timeout_span).transpose()?;
    let mut submission = Submission {
        id: SubmissionId::from_key(key),
        origin: Origin::ClientKey,
        kind: Kind::Job,
        service: ServiceName::from(&*document.service),
        team: TeamName::from(team),
        strict: document.strict,
        remaining,
        wait: Some(wait),
        media: Name::from(media),
        fingerprint: 0,
        bodies,
    };
    submission.fingerprint = request::fingerprint(&submission);
    Ok(submission)
}

fn decode(index: usize, task: &RawValue) -> Result<Bytes, Problem> {
    let bad = || Problem::bad_input(format!("`tasks[{index}]` is not a string in base64"));
    let text: String = serde_json::from_str(task.get()).map_err(|_| bad())?;
    let body = BASE64_STANDARD.decode(text).map_err(|_| bad())?;
    Ok(body.into())
}

fn is_header_text(text: &str) -> bool {
    (1..=255).contains(&text.len()) && text.bytes().all(|b| (b' '..=b'~').contains(&b))
}

/// How far a submission has come, or all its outputs.
#[derive(Debug, Serialize)]
struct StateDocument<'a> {
    id: String,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    verdict: Option<Verdict>,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    total: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    tasks: Option<Vec<OutputDocument<'a>>>,
}

/// The output of one task.
#[derive(Debug, Serialize)]
struct OutputDocument<'a> {
    status: u16,
    media: &'a str,
    #[serde(flatten)]
    body: BodyDocument<'a>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
enum BodyDocument<'a> {
    Json(&'a RawValue),
    Text(&'a str),
    Base64(String),
}

/// Writes the outputs of a complete job.
pub(super) fn write_complete(id: SubmissionId, outputs: &[TaskOutput]) -> Vec<u8> {
    let document = StateDocument {
        id: id.to_string(),
        state: "complete",
        verdict: Some(Verdict::Ran),
        done: None,
        total: None,
        tasks: Some(outputs.iter().map(output).collect()),
    };
    write_json(&document)
}

/// Writes how far a submission has come.
pub(super) fn write_progress(id: SubmissionId, progress: Progress) -> Vec<u8> {
    let document = StateDocument {
        id: id.to_string(),
        state: "running",
        verdict: None,
        done: Some(progress.done),
        total: Some(progress.total),
        tasks: None,
    };
    write_json(&document)
}

fn output(output: &TaskOutput) -> OutputDocument<'_> {
    let is_json = output.media.starts_with(JSON);
    let is_text = output.media.starts_with("text/");
    let json = || serde_json::from_slice(&output.body).ok();
    let text = || str::from_utf8(&output.body).ok();
    let body = if is_json && let Some(value) = json() {
        BodyDocument::Json(value)
    } else if is_text && let Some(text) = text() {
        BodyDocument::Text(text)
    } else {
        BodyDocument::Base64(BASE64_STANDARD.encode(&output.body))
    };
    OutputDocument {
        status: output.status,
        media: &output.media,
        body,
    }
}
