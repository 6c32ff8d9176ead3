//! Messages between entries and agents.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{
    AgentId, CorrelationId, DomainName, EntryId, Name, Revision, RingVersion, ServiceName,
    SubmissionId, TaskKey, TeamName,
};
use crate::ring::{InDoubt, Ring};
use crate::submission::{Origin, Query, Reply, Submission, TaskOutcome};
use crate::time::Micros;

/// The first message on each connection, from both sides.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hello {
    /// An entry speaks.
    Entry(EntryId),
    /// An agent speaks.
    Agent(AgentId),
}

/// Whether an agent takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentState {
    /// It takes work.
    Ready,
    /// Its upstream has not announced itself, or its heartbeats have stopped.
    Down,
    /// It finishes what it has and takes no more.
    Leaving,
}

/// What an agent has in hand, over all entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Slots of the upstream.
    pub slots: u32,
    /// Tasks running in slots.
    pub running: u32,
    /// Tasks waiting for a slot.
    pub waiting: u32,
}

/// An agent's periodic announcement, over UDP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// The agent.
    pub agent: AgentId,
    /// The failure domain that its worker stands in.
    pub domain: DomainName,
    /// Whether it takes work.
    pub state: AgentState,
    /// The services that its upstream does.
    pub services: Vec<ServiceName>,
    /// Labels of the worker, as `key=value`, for the selectors of services.
    pub labels: Vec<Name>,
    /// What it has in hand.
    pub load: Load,
    /// The newest ring it knows.
    pub ring: RingVersion,
    /// The newest configuration it has in force.
    pub revision: Revision,
}

/// An entry's answer to an announcement, over UDP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceAck {
    /// The entry.
    pub entry: EntryId,
    /// The newest ring it knows.
    pub ring: RingVersion,
    /// The newest configuration it has in force.
    pub revision: Revision,
}

/// A UDP datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// From an agent to an entry.
    Announce(Announce),
    /// From an entry to an agent.
    Ack(AnnounceAck),
}

/// A task to be started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The attempt.
    pub key: TaskKey,
    /// Where the id of the submission comes from.
    pub origin: Origin,
    /// The service.
    pub service: ServiceName,
    /// What is left until the deadline.
    pub remaining: Micros,
    /// Whether the task may run again after it may have run.
    pub idempotent: bool,
    /// The media type of the body.
    pub media: Name,
    /// The body.
    pub body: Bytes,
}

/// Tasks that an entry asks an agent to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartBatch {
    /// The ring under which the sender is the home.
    pub ring: RingVersion,
    /// The tasks.
    pub tasks: Vec<TaskStart>,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAnswer {
    /// The attempt.
    pub key: TaskKey,
    /// How it ended.
    pub outcome: TaskOutcome,
    /// How long the upstream took, from the call to the whole answer; zero when it did not run.
    #[serde(rename = "run")]
    pub run_time: Micros,
    /// How long the task waited at the agent for a slot.
    pub waited: Micros,
    /// What the agent has in hand after this.
    pub load: Load,
}

/// A whole configuration, as its JSON document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigBlob {
    /// The revision.
    pub revision: Revision,
    /// The document.
    pub document: Bytes,
}

/// What of a configuration concerns one agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentConfig {
    /// The revision.
    pub revision: Revision,
    /// Tasks at once, for those services of its upstream that have such a limit.
    #[serde(rename = "caps")]
    pub limits: Vec<(ServiceName, u32)>,
}

/// From an entry to an agent, over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryMessage {
    /// Starts tasks.
    Start(StartBatch),
    /// Cancels tasks, queued or running.
    Cancel(Vec<TaskKey>),
    /// Tells of a newer ring.
    Ring(Ring),
    /// Tells of a newer configuration, or of one that concerns more services of its upstream.
    Config(AgentConfig),
    /// Confirms that these answers have come in: the agent may drop them.
    #[serde(rename = "Received")]
    AckAnswers(Vec<TaskKey>),
}

/// From an agent to an entry, over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// How attempts ended; sent again after a reconnection until received.
    Answers(Vec<TaskAnswer>),
    /// The agent has adopted a ring, refuses starts under older ones, and has started these ids
    /// that are now at home at the receiving entry.
    #[serde(rename = "Adopted")]
    Installed {
        /// The ring.
        ring: RingVersion,
        /// The ids.
        started: Vec<SubmissionId>,
        /// Whether the agent's record reaches back to the start of its worker's work; false when
        /// it was restarted or had to forget.
        #[serde(rename = "whole")]
        complete: bool,
    },
    /// What the agent has in hand, when that changed without an answer.
    Load(Load),
}

/// A heartbeat between entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Counts the sender's heartbeats; the answer repeats it.
    #[serde(rename = "ticket")]
    pub correlation: CorrelationId,
    /// The ring the sender has in force.
    pub ring: Ring,
    /// The configuration the sender has in force.
    pub revision: Revision,
    /// Ids that the sender knows to be started and whose home, or next home after the sender, is
    /// the receiver, as far as the receiver has not confirmed them.
    pub started: Vec<SubmissionId>,
    /// Agents to which the sender may start work once the receiver has confirmed this, as far as
    /// the receiver has not confirmed them.
    pub agents: Vec<AgentId>,
    /// Agents that the sender uses no more; all it started there for the receiver has been told.
    #[serde(rename = "gone")]
    pub removed_agents: Vec<AgentId>,
    /// Ids in doubt that the sender knows of and the receiver has not confirmed.
    #[serde(rename = "doubts")]
    pub in_doubt: Vec<InDoubt>,
    /// Whether the receiver has been told, with this heartbeat, all that was started under the
    /// sender's ring, but for what the agents have to report.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// What each team asked of the sender lately, in tasks a second, for sharing out quotas.
    pub demand: Vec<(TeamName, u32)>,
}

/// Ids that move with a planned stop or join.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The ring under which they move.
    pub ring: RingVersion,
    /// Submissions that ended, with their answers.
    pub ended: Vec<(SubmissionId, u128, Reply)>,
    /// Whether more of them follow.
    pub more: bool,
}

/// Between entries, over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Periodic.
    Heartbeat(Heartbeat),
    /// The answer to a heartbeat, with the newest ring that the receiver knows.
    #[serde(rename = "Confirm")]
    HeartbeatAck {
        /// The heartbeat's ticket.
        #[serde(rename = "ticket")]
        correlation: CorrelationId,
        /// The newest ring that the confirming entry knows.
        ring: Ring,
        /// The configuration the confirming entry has in force.
        revision: Revision,
    },
    /// Passes a submission to its home.
    Submit {
        /// Matches the reply.
        #[serde(rename = "ticket")]
        correlation: CorrelationId,
        /// The submission.
        submission: Box<Submission>,
    },
    /// Passes a query to the home of its id.
    Query {
        /// Matches the reply.
        #[serde(rename = "ticket")]
        correlation: CorrelationId,
        /// The id asked about.
        id: SubmissionId,
        /// What is asked.
        query: Query,
    },
    /// The reply to a submission or query.
    Reply {
        /// The ticket of what is answered.
        #[serde(rename = "ticket")]
        correlation: CorrelationId,
        /// The reply.
        reply: Reply,
    },
    /// Ids that move to the receiver.
    Handover(Handover),
    /// Asks for, or brings, a newer configuration.
    Config(Option<ConfigBlob>),
}
