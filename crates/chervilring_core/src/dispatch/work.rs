//! What goes into the dispatcher and what comes out of it.

use bytes::Bytes;
use chervilring_wire::{
    AgentId, Failure, Kind, Name, Origin, ServiceName, SubmissionId, TaskKey, TaskOutput,
    TaskStart, TeamName, Time,
};

/// An accepted submission, at its home.
#[derive(Debug, Clone)]
pub struct Work {
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
    /// Whether a request may run again after it may have run.
    pub idempotent: bool,
    /// When the caller gives up.
    pub deadline: Time,
    /// The media type of the bodies.
    pub media: Name,
    /// The bodies of the tasks, in order.
    pub bodies: Vec<Bytes>,
}

impl Work {
    /// Returns the bytes of all bodies.
    pub(crate) fn bytes(&self) -> u64 {
        self.bodies.iter().map(|b| b.len() as u64).sum()
    }
}

/// What the dispatcher wants carried out.
#[derive(Debug, Clone)]
pub enum Step {
    /// Asks an agent to start tasks; one frame carries them all.
    Start {
        /// The agent.
        agent: AgentId,
        /// The tasks.
        tasks: Vec<TaskStart>,
    },
    /// Asks an agent to drop tasks, queued or running.
    Cancel {
        /// The agent.
        agent: AgentId,
        /// The attempts.
        keys: Vec<TaskKey>,
    },
    /// A submission has ended; comes exactly once for each accepted one.
    Ended {
        /// The submission.
        id: SubmissionId,
        /// The outputs of all tasks in order, or why there are none.
        result: Result<Vec<TaskOutput>, Failure>,
    },
}
