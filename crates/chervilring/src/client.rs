//! HTTP towards entries.

use std::fmt;
use std::io;
use std::time::Duration;

use chervilring_wire::{Name, Verdict};
use ureq::Agent;
use ureq::http::{Request, Response as HttpResponse};

use crate::exit::{ExitStatus, Failed};

/// How long to wait for a connection.
const CONNECT_TIME: Duration = Duration::from_secs(3);

/// The environment variable that names the entries.
const ENTRY_VARIABLE: &str = "CHERVILRING_ENTRY";

/// The longest answer that is read, in bytes.
const MAX_ANSWER: u64 = 1 << 30;

/// A client of one or more entries. Each call goes to the first that takes it.
#[derive(Debug)]
pub struct Client {
    entries: Vec<Name>,
    agent: Agent,
}

/// An answer of an entry.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub media: String,
    /// The verdict, where the answer has one.
    pub verdict: Option<Verdict>,
    /// The submission id, where the answer has one.
    pub id: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// Why there is no answer.
#[derive(Debug)]
pub struct ClientError {
    /// Whether the entry may have received the call.
    pub sent: bool,
    /// What happened, by entry.
    pub message: String,
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for ClientError {}

impl From<ClientError> for Failed {
    fn from(error: ClientError) -> Self {
        let status = if error.sent {
            ExitStatus::MayHaveRun
        } else {
            ExitStatus::Unreachable
        };
        Self::new(status, error.message)
    }
}

impl Client {
    /// Creates a client of the entries in a comma-separated list of HTTP addresses, or in
    /// `CHERVILRING_ENTRY` when there is none.
    ///
    /// # Errors
    ///
    /// Returns an error when no entry is named or an address is malformed.
    pub fn new(list: Option<&str>, timeout: Option<Duration>) -> Result<Self, Failed> {
        let list = match list {
            Some(list) => list.to_owned(),
            None => std::env::var(ENTRY_VARIABLE).unwrap_or_default(),
        };
        let parts = list.split(',').map(str::trim).filter(|p| !p.is_empty());
        let entries = parts.map(base_url).collect::<Result<Vec<_>, _>>()?;
        if entries.is_empty() {
            return Err(Failed::usage(format!(
                "no entry is named; give --entry or {ENTRY_VARIABLE}, such as 127.0.0.1:8080"
            )));
        }
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            .timeout_connect(Some(CONNECT_TIME))
            .timeout_global(timeout)
            .build();
        Ok(Self {
            entries,
            agent: config.into(),
        })
    }

    /// Returns the base URLs of the entries.
    pub fn entries(&self) -> &[Name] {
        &self.entries
    }

    /// Sends a call to the first entry that answers it.
    ///
    /// The next one is tried when an entry is not reached, does not answer in full or refuses
    /// with "not run" because it is not available. The call must therefore be safe to repeat: one
    /// with an id, or one that only asks.
    ///
    /// # Errors
    ///
    /// Returns an error when no entry answered.
    pub fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: Option<&[u8]>,
    ) -> Result<Response, ClientError> {
        let mut error = ClientError {
            sent: false,
            message: String::new(),
        };
        let mut refusal = None;
        for entry in &self.entries {
            match self.send_to(entry, method, path, headers, body) {
                Ok(response) if !response.is_unavailable() => return Ok(response),
                Ok(response) => refusal = Some(response),
                Err(next) => {
                    error.sent |= next.sent;
                    if !error.message.is_empty() {
                        error.message.push_str("; ");
                    }
                    error.message.push_str(&next.message);
                }
            }
        }
        match refusal {
            Some(refusal) if !error.sent => Ok(refusal),
            _ => Err(error),
        }
    }

    /// Sends a call to one entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry did not answer in full.
    pub fn send_to(
        &self,
        entry: &str,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: Option<&[u8]>,
    ) -> Result<Response, ClientError> {
        let uri = format!("{entry}{path}");
        let failed = |sent: bool, cause: &dyn fmt::Display| ClientError {
            sent,
            message: format!("{entry} did not answer: {cause}"),
        };
        let mut request = Request::builder().method(method).uri(&uri);
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let result = if let Some(body) = body {
            let request = request.body(body).map_err(|e| failed(false, &e))?;
            self.agent.run(request)
        } else {
            let request = request.body(()).map_err(|e| failed(false, &e))?;
            self.agent.run(request)
        };
        let response = result.map_err(|error| failed(may_be_sent(&error), &error))?;
        read(response).map_err(|error| failed(true, &error))
    }
}

impl Response {
    /// Returns whether the answer is a success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether an entry refused because it is not available itself.
    fn is_unavailable(&self) -> bool {
        self.status == 503 && self.verdict == Some(Verdict::NotRun)
    }

    /// Returns whether the answer is the dispatcher's own report of a failure. An error status
    /// that the upstream itself answered with is none.
    pub fn is_failure(&self) -> bool {
        !self.is_success() && self.media.starts_with("application/problem+json")
    }

    /// Returns the exit status that goes with the answer.
    pub fn exit_status(&self) -> ExitStatus {
        if !self.is_failure() {
            return ExitStatus::Ok;
        }
        self.verdict.map_or(ExitStatus::Internal, ExitStatus::from)
    }

    /// Turns an answer that is no success into the error it stands for.
    ///
    /// # Errors
    ///
    /// Returns the error, with the exit status that the verdict asks for.
    pub fn check(self) -> Result<Self, Failed> {
        if self.is_success() {
            return Ok(self);
        }
        let status = self.exit_status();
        let text = String::from_utf8_lossy(&self.body);
        Err(Failed::new(status, text.trim()))
    }
}

fn read(mut response: HttpResponse<ureq::Body>) -> Result<Response, ureq::Error> {
    let header = |name: &str| {
        let value = response.headers().get(name);
        value.and_then(|v| v.to_str().ok()).map(str::to_owned)
    };
    let media = header("Content-Type").unwrap_or_default();
    let verdict = header("Chervilring-Verdict").and_then(|text| match &*text {
        "not-run" => Some(Verdict::NotRun),
        "may-have-run" => Some(Verdict::MayHaveRun),
        "ran" => Some(Verdict::Ran),
        _ => None,
    });
    let id = header("Chervilring-Id");
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(MAX_ANSWER);
    Ok(Response {
        status,
        media,
        verdict,
        id,
        body: body.read_to_vec()?,
    })
}

/// Returns whether a call that failed so may have reached the entry.
fn may_be_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => error.kind() != io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(at) => !matches!(at, ureq::Timeout::Connect | ureq::Timeout::Resolve),
        ureq::Error::HostNotFound
        | ureq::Error::ConnectionFailed
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_) => false,
        _ => true,
    }
}

/// Turns `host:port` or a URL into a base URL.
fn base_url(entry: &str) -> Result<Name, Failed> {
    let host = entry.strip_prefix("http://").unwrap_or(entry);
    let host = host.trim_end_matches('/');
    let fits = !host.is_empty() && !host.contains(|c: char| c == '/' || c.is_whitespace());
    if !fits {
        return Err(Failed::usage(format!(
            "entry {entry:?} is not an address; give host:port, such as 127.0.0.1:8080"
        )));
    }
    Ok(format!("http://{host}").into())
}
