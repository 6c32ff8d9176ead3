//! Input and output of the dispatcher.

use bytes::Bytes;
use chervilring_wire::{
    AgentId, Failure, Kind, Name, Origin, ServiceName, SubmissionId, TaskKey, TaskOutput,
    TaskStart, TeamName, Time,
};

/// A submission with the settings of its service applied, at its home.
#[derive(Debug, Clone)]
pub struct Work {
    /// Id of the submission.
    pub id: SubmissionId,
    /// Where the id comes from.
    pub origin: Origin,
    /// Whether it is a request or a job.
    pub kind: Kind,
    /// Service that runs the tasks.
    pub service: ServiceName,
    /// Team whose quota and fair share are charged.
    pub team: TeamName,
    /// Whether a request may run again after an attempt that may have run.
    pub idempotent: bool,
    /// Time after which the caller no longer waits.
    pub deadline: Time,
    /// Media type of the bodies.
    pub media: Name,
    /// Bodies of the tasks, in order.
    pub bodies: Vec<Bytes>,
}

impl Work {
    /// Returns the size of all bodies, in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.bodies.iter().map(|b| b.len() as u64).sum()
    }
}

/// A step for the caller of the dispatcher to carry out.
#[derive(Debug, Clone)]
pub enum Step {
    /// Asks an agent to start tasks, all in one frame.
    Start {
        /// The agent.
        agent: AgentId,
        /// The tasks.
        tasks: Vec<TaskStart>,
    },
    /// Asks an agent to cancel attempts, queued or running.
    Cancel {
        /// The agent.
        agent: AgentId,
        /// The attempts.
        keys: Vec<TaskKey>,
    },
    /// Reports the end of a submission, exactly once for each accepted one.
    Ended {
        /// The submission.
        id: SubmissionId,
        /// Outputs of all tasks in order, or the failure.
        result: Result<Vec<TaskOutput>, Failure>,
    },
}
