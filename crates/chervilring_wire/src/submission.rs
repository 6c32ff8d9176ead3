//! What callers submit and what they get back.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{Name, ServiceName, SubmissionId, TeamName};
use crate::time::Micros;
use crate::verdict::Verdict;

/// Whether a submission is a single request or a job of parallel tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// One task, answered with the upstream's own answer.
    Request,
    /// Many tasks, answered together or not at all.
    Job,
}

/// Where the id of a submission comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// The caller chose it and may submit it again at any entry: only its home may start it.
    #[serde(rename = "Keyed")]
    ClientKey,
    /// The entry that took the submission made it up: no other entry will ever see it.
    #[serde(rename = "Local")]
    Generated,
}

/// A request or a job, as an entry passes it to the home of its id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The id.
    pub id: SubmissionId,
    /// Where the id comes from.
    pub origin: Origin,
    /// Request or job.
    pub kind: Kind,
    /// The service asked for.
    pub service: ServiceName,
    /// The team that the work is counted against.
    pub team: TeamName,
    /// Whether the caller itself rules out a second run, whatever the service's rule says.
    pub strict: bool,
    /// What is left until the caller's deadline; the service's rule when absent.
    pub remaining: Option<Micros>,
    /// After which span the caller takes `Pending` for an answer; never when absent.
    pub wait: Option<Micros>,
    /// The media type of the task bodies.
    pub media: Name,
    /// A fingerprint of all that makes the submission what it is, but for the deadline.
    pub fingerprint: u128,
    /// The bodies of the tasks, in order; a request has one.
    pub bodies: Vec<Bytes>,
}

/// The output of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOutput {
    /// The HTTP status that the upstream answered with.
    pub status: u16,
    /// The media type of the body.
    pub media: Name,
    /// The body, whole.
    pub body: Bytes,
}

/// Why a submission or task failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No service of this name is in force.
    UnknownService,
    /// The id was used before with another body.
    IdReused,
    /// The id's stamp is older than ids are remembered.
    IdExpired,
    /// No upstream can ever do this work.
    NoUpstream,
    /// More tasks or larger bodies than the service takes.
    TooLarge,
    /// The deadline cannot be met.
    Deadline,
    /// The queue is full.
    Overload,
    /// The team's quota is used up.
    Quota,
    /// A table that must not forget is full.
    TableFull,
    /// This process is stopping, or the id's home is changing.
    Unavailable,
    /// The process may not start work now: it has not heard from the store nor from its peers.
    NoAuthority,
    /// The sender is not the home of the id in the newest ring.
    NotHome,
    /// The upstream has no free slot.
    Busy,
    /// The upstream is leaving.
    Leaving,
    /// The upstream was lost while the task may have been running.
    UpstreamLost,
    /// The upstream answered that the task failed.
    UpstreamFailed,
    /// The home was lost while the work may have been running.
    HomeLost,
    /// The caller cancelled.
    Cancelled,
    /// The answer was given before and is no longer kept.
    AnswerGone,
    /// Nothing is known of this id.
    UnknownId,
}

/// An honest failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why it failed.
    pub reason: Reason,
    /// When to come back, from now; absent where coming back is of no use.
    #[serde(rename = "retry")]
    pub retry_after: Option<Micros>,
}

/// How one attempt at a task ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The upstream answered in full.
    Done(TaskOutput),
    /// It did not.
    Failed(Failure),
}

/// How far a submission has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Tasks that have ended.
    pub done: u32,
    /// All tasks of the submission.
    pub total: u32,
}

/// What a caller gets for a submission or a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The complete answer: the outputs of all tasks, in order.
    Complete(Vec<TaskOutput>),
    /// The final failure of the whole.
    Failed(Failure),
    /// Not ended yet.
    Pending(Progress),
}

/// What a caller asks about an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Answers at once with what is known.
    #[serde(rename = "Show")]
    Status,
    /// Answers when the submission has ended, or `Pending` when the span is over.
    Wait(Micros),
    /// Cancels the submission and answers with how it ended.
    Cancel,
}
