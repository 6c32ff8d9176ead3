//! Problem details, as RFC 9457 defines them.

use chervilring_wire::{Failure, Micros, Reason, SubmissionId, Verdict};
use serde::Serialize;

use super::call::Answer;
use super::json::write_json;

/// The media type of problem details.
pub(super) const MEDIA: &str = "application/problem+json";

/// An error as a caller gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    status: u16,
    reason: &'static str,
    title: &'static str,
    detail: Option<String>,
    verdict: Verdict,
    id: Option<SubmissionId>,
    retry: Option<Micros>,
}

/// A problem as it stands in the answer.
#[derive(Debug, Serialize)]
struct Document<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
    reason: &'static str,
    verdict: Verdict,
    #[serde(skip_serializing_if = "Option::is_none")]
    id: Option<String>,
    /// Milliseconds after which to come back.
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates a problem with a request that was not run.
    pub fn new(status: u16, reason: &'static str, title: &'static str) -> Self {
        Self {
            status,
            reason,
            title,
            detail: None,
            verdict: Verdict::NotRun,
            id: None,
            retry: None,
        }
    }

    /// Creates the problem of a failed submission or query.
    pub fn of_failure(failure: &Failure, id: SubmissionId) -> Self {
        let (status, reason, title) = describe(failure.reason);
        let mut problem = Self::new(status, reason, title);
        problem.verdict = failure.verdict;
        problem.retry = failure.retry_after;
        problem.id = Some(id);
        problem
    }

    /// Creates the problem of input that is not understood.
    pub fn bad_input(detail: impl Into<String>) -> Self {
        Self::new(400, "bad-input", "The request is not understood").detail(detail)
    }

    /// Creates the problem of a body longer than `limit` bytes.
    pub fn body_too_long(limit: usize) -> Self {
        Self::new(413, "too-large", "The body is too large")
            .detail(format!("Bodies of up to {limit} bytes are taken"))
    }

    /// Adds what exactly is wrong and how to mend it.
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Adds when to come back.
    pub fn retry(mut self, span: Micros) -> Self {
        self.retry = Some(span);
        self
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns the answer that carries the problem.
    pub fn answer(&self) -> Answer {
        let document = Document {
            kind: format!("urn:chervilring:problem:{}", self.reason),
            title: self.title,
            status: self.status,
            detail: self.detail.as_deref(),
            reason: self.reason,
            verdict: self.verdict,
            id: self.id.map(|id| id.to_string()),
            retry_after_ms: self.retry.map(Micros::as_millis),
        };
        let body = write_json(&document);
        let mut answer = Answer::new(self.status, MEDIA, body)
            .header("Chervilring-Verdict", self.verdict.as_str());
        if let Some(span) = self.retry {
            answer = answer.header("Retry-After", &span.secs_ceil().to_string());
        }
        answer
    }
}

/// Returns the HTTP status, the name and the title of a reason.
fn describe(reason: Reason) -> (u16, &'static str, &'static str) {
    match reason {
        Reason::UnknownService => (
            404,
            "unknown-service",
            "No service of this name is in force",
        ),
        Reason::IdReused => (
            409,
            "id-reused",
            "The id was used before for something else",
        ),
        Reason::IdExpired => (410, "id-expired", "The id is older than ids are remembered"),
        Reason::NoUpstream => (503, "no-upstream", "No upstream can do this work"),
        Reason::TooLarge => (413, "too-large", "More than the service takes"),
        Reason::Deadline => (504, "deadline", "The deadline cannot be met"),
        Reason::Overload => (503, "overload", "The queue is full"),
        Reason::Quota => (429, "quota", "The team's quota is used up"),
        Reason::TableFull => (503, "table-full", "No more ids can be remembered"),
        Reason::Unavailable => (503, "unavailable", "Work is not taken at this moment"),
        Reason::NoAuthority => (503, "no-authority", "Work may not be started here now"),
        Reason::NotHome => (503, "not-home", "The id belongs to another entry"),
        Reason::Busy => (503, "busy", "The upstream has no free slot"),
        Reason::Leaving => (503, "leaving", "The upstream is leaving"),
        Reason::UpstreamLost => (502, "upstream-lost", "The upstream was lost"),
        Reason::UpstreamFailed => (502, "upstream-failed", "The upstream failed"),
        Reason::HomeLost => (502, "home-lost", "The entry that ran this was lost"),
        Reason::Cancelled => (409, "cancelled", "The caller cancelled"),
        Reason::AnswerGone => (410, "answer-gone", "The answer is no longer kept"),
        Reason::UnknownId => (404, "unknown-id", "Nothing is known of this id"),
    }
}
