//! `chervilring request`: submits a request and prints its answer.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use chervilring_wire::{SubmissionId, Verdict};
use serde::Serialize;
use serde_json::value::RawValue;

use super::input;
use crate::client::{Client, Response};
use crate::exit::{ExitStatus, Failed};
use crate::output::{self, Output};

/// How much longer than the request's own timeout to wait for the answer.
const GRACE: Duration = Duration::from_secs(5);

/// Submits a request and prints the upstream's answer.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "request",
    example = "{command_name} --entry 127.0.0.1:8080 --service parts --body 'front wheel'",
    example = "{command_name} --entry 10.1.2.3:8080,10.1.2.4:8080 --service measure \\\n    \
               --body-file recording.bin --media application/octet-stream --timeout-ms 2000",
    note = "The request has an id, so that it is tried at the next entry when one is not reached, \
            and runs once all the same.",
    error_code(3, "refused: it was not run"),
    error_code(4, "failed, but it may have run"),
    error_code(5, "no entry was reached")
)]
pub struct RequestCommand {
    /// HTTP addresses of entries, comma-separated (`CHERVILRING_ENTRY`)
    #[argh(option)]
    entry: Option<String>,
    /// service to ask
    #[argh(option)]
    service: String,
    /// body of the request
    #[argh(option)]
    body: Option<String>,
    /// file with the body; - is standard input
    #[argh(option)]
    body_file: Option<PathBuf>,
    /// media type of the body [application/octet-stream]
    #[argh(option)]
    media: Option<String>,
    /// team that the request is counted against [default]
    #[argh(option)]
    team: Option<String>,
    /// id of the request, by which it may be sent again [a new one]
    #[argh(option)]
    id: Option<String>,
    /// deadline in milliseconds from now [the service's rule]
    #[argh(option)]
    timeout_ms: Option<u64>,
    /// rule out a second run, whatever the service's rule says
    #[argh(switch)]
    strict: bool,
    /// text or json [text]
    #[argh(option, default = "Output::Text")]
    output: Output,
}

/// An answer as printed for scripts.
#[derive(Debug, Serialize)]
struct Document<'a> {
    id: Option<&'a str>,
    status: u16,
    verdict: Option<Verdict>,
    media: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    json: Option<&'a RawValue>,
    #[serde(skip_serializing_if = "Option::is_none")]
    base64: Option<String>,
}

/// Runs the command.
pub(crate) fn run(command: RequestCommand) -> eyre::Result<ExitStatus> {
    let body = input::body(command.body, command.body_file.as_deref())?;
    let timeout = command
        .timeout_ms
        .map(|ms| Duration::from_millis(ms) + GRACE);
    let client = Client::new(command.entry.as_deref(), timeout)?;
    let id = command
        .id
        .unwrap_or_else(|| SubmissionId::generate().to_string());
    let mut headers = vec![("Idempotency-Key", id)];
    if let Some(media) = command.media {
        headers.push(("Content-Type", media));
    }
    if let Some(team) = command.team {
        headers.push(("Chervilring-Team", team));
    }
    if let Some(millis) = command.timeout_ms {
        headers.push(("Chervilring-Timeout-Ms", millis.to_string()));
    }
    if command.strict {
        headers.push(("Chervilring-Idempotent", "no".to_owned()));
    }
    let path = format!("/v1/services/{}/requests", input::encode(&command.service));
    let response = client
        .send("POST", &path, &headers, Some(&body))
        .map_err(Failed::from)?;
    Ok(print(&response, command.output))
}

/// Prints an answer and returns the exit status that goes with it.
fn print(response: &Response, output: Output) -> ExitStatus {
    match output {
        Output::Json => output::print_json(&document(response)),
        Output::Text if response.is_failure() => {
            eprintln!("error: {}", String::from_utf8_lossy(&response.body).trim());
        }
        Output::Text => output::print_bytes(&response.body),
    }
    response.exit_status()
}

fn document(response: &Response) -> Document<'_> {
    let is_json = response.media.contains("json");
    let json = serde_json::from_slice(&response.body)
        .ok()
        .filter(|_| is_json);
    let base64 = json
        .is_none()
        .then(|| BASE64_STANDARD.encode(&response.body));
    Document {
        id: response.id.as_deref(),
        status: response.status,
        verdict: response.verdict,
        media: &response.media,
        json,
        base64,
    }
}
