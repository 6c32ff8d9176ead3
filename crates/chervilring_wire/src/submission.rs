//! Submissions of callers, and the replies to them.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{Name, ServiceName, SubmissionId, TeamName};
use crate::time::Micros;
use crate::verdict::Verdict;

/// Whether a submission is a single request or a job of parallel tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// One task. The caller gets the answer of the upstream unchanged.
    Request,
    /// Many parallel tasks. The caller gets the answers of all of them or a failure.
    Job,
}

/// Where the id of a submission comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// The caller chose it and may resubmit it at any entry, so only the home of the id may start
    /// the submission.
    #[serde(rename = "Keyed")]
    ClientKey,
    /// The entry that accepted the submission generated it. No other entry ever receives it.
    #[serde(rename = "Local")]
    Generated,
}

/// A request or a job, as an entry forwards it to the home of its id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The id.
    pub id: SubmissionId,
    /// Where the id comes from.
    pub origin: Origin,
    /// Whether it is a request or a job.
    pub kind: Kind,
    /// The service that is to do the work.
    pub service: ServiceName,
    /// The team whose quota the work counts against.
    pub team: TeamName,
    /// Whether the caller rules out that a task runs twice, even if the service is idempotent.
    pub strict: bool,
    /// The time left until the caller's deadline. When absent, the service's default applies.
    pub remaining: Option<Micros>,
    /// How long to wait for the end before the reply is `Pending`. When absent, the reply is sent
    /// at the end only.
    pub wait: Option<Micros>,
    /// The media type of the task bodies.
    pub media: Name,
    /// A hash of the content of the submission without its deadline. A resubmission with another
    /// fingerprint is refused.
    pub fingerprint: u128,
    /// The bodies of the tasks, in order. A request has exactly one.
    pub bodies: Vec<Bytes>,
}

/// The output of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOutput {
    /// The HTTP status of the answer of the upstream.
    pub status: u16,
    /// The media type of the body.
    pub media: Name,
    /// The complete body.
    pub body: Bytes,
}

/// Why a submission or task failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The configuration in force has no service of this name.
    UnknownService,
    /// The id was used before for a submission with another fingerprint.
    IdReused,
    /// The timestamp of the id is older than the period for which ids are remembered.
    IdExpired,
    /// No upstream can do this work.
    NoUpstream,
    /// There are more tasks, or larger bodies, than the service accepts.
    TooLarge,
    /// The deadline cannot be met.
    Deadline,
    /// The queue is full.
    Overload,
    /// The team's quota is used up.
    Quota,
    /// A table is full whose rows must not be evicted.
    TableFull,
    /// This process is stopping, or the id's home is changing.
    Unavailable,
    /// The process has no authority to start work now, because neither the store nor its peers have
    /// answered it lately.
    NoAuthority,
    /// The sender is not the home of the id in the newest ring.
    NotHome,
    /// The upstream has no free slot.
    Busy,
    /// The upstream is shutting down.
    Leaving,
    /// The upstream was lost while the task may have been running.
    UpstreamLost,
    /// The upstream reported that the task failed.
    UpstreamFailed,
    /// The home was lost while the work may have been running.
    HomeLost,
    /// The caller cancelled the submission.
    Cancelled,
    /// The submission ended, and its answer is no longer stored.
    AnswerGone,
    /// The id is unknown.
    UnknownId,
}

/// A failure of a submission or task, with what is known about whether it ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Whether the submission or task may have run.
    pub verdict: Verdict,
    /// Why it failed.
    pub reason: Reason,
    /// How long to wait before a retry. Absent when a retry cannot succeed.
    #[serde(rename = "retry")]
    pub retry_after: Option<Micros>,
}

/// How one attempt at a task ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The upstream sent a complete answer.
    Done(TaskOutput),
    /// The attempt failed.
    Failed(Failure),
}

/// The progress of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The number of tasks that have ended.
    pub done: u32,
    /// The number of all tasks.
    pub total: u32,
}

/// The reply to a submission or a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// All tasks are done. Holds their outputs, in order.
    Complete(Vec<TaskOutput>),
    /// The submission has failed for good.
    Failed(Failure),
    /// The submission has not ended yet.
    Pending(Progress),
}

/// A query about the submission of an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Replies at once with the current state.
    #[serde(rename = "Show")]
    Status,
    /// Replies when the submission has ended, or with `Pending` after this duration.
    Wait(Micros),
    /// Cancels the submission and replies with its outcome.
    Cancel,
}
