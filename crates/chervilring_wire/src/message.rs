//! Messages between entries and agents, and among entries.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{
    AgentId, CorrelationId, DomainName, EntryId, Name, Revision, RingVersion, ServiceName,
    SubmissionId, TaskKey, TeamName,
};
use crate::ring::{InDoubt, Ring};
use crate::submission::{Origin, Query, Reply, Submission, TaskOutcome};
use crate::time::Micros;

/// The first message on each connection, sent by both sides.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hello {
    /// The sender is an entry.
    Entry(EntryId),
    /// The sender is an agent.
    Agent(AgentId),
}

/// Whether an agent accepts tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentState {
    /// It accepts tasks.
    Ready,
    /// Its upstream has not announced itself, or its heartbeats have stopped.
    Down,
    /// It finishes the tasks that it has and accepts no more.
    Leaving,
}

/// The load of an agent, summed over all entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// The number of slots of the upstream.
    pub slots: u32,
    /// The number of tasks that occupy a slot.
    pub running: u32,
    /// The number of tasks that wait for a slot.
    pub waiting: u32,
}

/// The periodic announcement of an agent, sent over UDP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// The agent.
    pub agent: AgentId,
    /// The failure domain of its worker.
    pub domain: DomainName,
    /// Whether it accepts tasks.
    pub state: AgentState,
    /// The services that its upstream offers.
    pub services: Vec<ServiceName>,
    /// The labels of the worker, as `key=value`. The selectors of services match them.
    pub labels: Vec<Name>,
    /// Its load.
    pub load: Load,
    /// The newest ring it knows.
    pub ring: RingVersion,
    /// The newest configuration it has in force.
    pub revision: Revision,
}

/// The acknowledgement of an announcement, sent over UDP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceAck {
    /// The entry.
    pub entry: EntryId,
    /// The newest ring it knows.
    pub ring: RingVersion,
    /// The newest configuration it has in force.
    pub revision: Revision,
}

/// The content of a UDP datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Sent by an agent to an entry.
    Announce(Announce),
    /// Sent by an entry to an agent.
    Ack(AnnounceAck),
}

/// A task to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The attempt.
    pub key: TaskKey,
    /// Where the id of the submission comes from.
    pub origin: Origin,
    /// The service.
    pub service: ServiceName,
    /// The time left until the deadline.
    pub remaining: Micros,
    /// Whether the task may be run again when an earlier attempt may have run.
    pub idempotent: bool,
    /// The media type of the body.
    pub media: Name,
    /// The body.
    pub body: Bytes,
}

/// Tasks that an entry asks an agent to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartBatch {
    /// The version of the ring in which the sender is the home of the tasks.
    pub ring: RingVersion,
    /// The tasks.
    pub tasks: Vec<TaskStart>,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAnswer {
    /// The attempt.
    pub key: TaskKey,
    /// The outcome.
    pub outcome: TaskOutcome,
    /// The time from the call of the upstream to its complete answer, or zero when the task did not
    /// run.
    #[serde(rename = "run")]
    pub run_time: Micros,
    /// The time that the task waited at the agent for a slot.
    pub waited: Micros,
    /// The load of the agent after this attempt.
    pub load: Load,
}

/// A complete configuration as a JSON document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigBlob {
    /// The revision.
    pub revision: Revision,
    /// The document.
    pub document: Bytes,
}

/// The part of a configuration that one agent needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentConfig {
    /// The revision.
    pub revision: Revision,
    /// The maximum number of concurrent tasks, for those services of its upstream that have such a
    /// limit.
    #[serde(rename = "caps")]
    pub limits: Vec<(ServiceName, u32)>,
}

/// A message from an entry to an agent, sent over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryMessage {
    /// Starts tasks.
    Start(StartBatch),
    /// Cancels tasks, queued or running.
    Cancel(Vec<TaskKey>),
    /// Brings a newer ring.
    Ring(Ring),
    /// Brings a newer configuration, or the same one with the limits of more services.
    Config(AgentConfig),
    /// Acknowledges the answers to these attempts, which the agent may then drop.
    #[serde(rename = "Received")]
    AckAnswers(Vec<TaskKey>),
}

/// A message from an agent to an entry, sent over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// The outcomes of attempts. Sent again after each reconnection until acknowledged.
    Answers(Vec<TaskAnswer>),
    /// The agent has installed a ring and refuses starts under older ones.
    #[serde(rename = "Adopted")]
    Installed {
        /// The ring.
        ring: RingVersion,
        /// The ids that the agent has started and whose home is now the receiver.
        started: Vec<SubmissionId>,
        /// Whether the agent's record of started ids reaches back to the first task of its worker.
        /// False when the agent was restarted or had to drop a part of the record.
        #[serde(rename = "whole")]
        complete: bool,
    },
    /// The load of the agent, sent when it changed without an answer.
    Load(Load),
}

/// A heartbeat from one entry to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The number of the heartbeat at the sender. The acknowledgement repeats it.
    #[serde(rename = "ticket")]
    pub correlation: CorrelationId,
    /// The ring that the sender has installed.
    pub ring: Ring,
    /// The revision of the configuration that the sender has in force.
    pub revision: Revision,
    /// Ids that the sender knows to be started and whose home, or next home after the sender, is
    /// the receiver. Repeated until acknowledged.
    pub started: Vec<SubmissionId>,
    /// Agents at which the sender may start tasks once the receiver has acknowledged this
    /// heartbeat. Repeated until acknowledged.
    pub agents: Vec<AgentId>,
    /// Agents that the sender no longer uses. It has reported all ids that it started there and
    /// whose home or next home is the receiver.
    #[serde(rename = "gone")]
    pub removed_agents: Vec<AgentId>,
    /// The sets of ids in doubt that the sender knows. Repeated until acknowledged.
    #[serde(rename = "doubts")]
    pub in_doubt: Vec<InDoubt>,
    /// Whether the sender has reported, up to and including this heartbeat, all ids that were
    /// started under its ring, except those that agents have yet to report.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The recent demand of each team at the sender, in tasks per second. Quotas are divided among
    /// the entries by it.
    pub demand: Vec<(TeamName, u32)>,
}

/// Ended submissions whose home changes because an entry joins or leaves as planned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The version of the ring in which the receiver is their home.
    pub ring: RingVersion,
    /// The ids, the fingerprints and the replies of the submissions.
    pub ended: Vec<(SubmissionId, u128, Reply)>,
    /// Whether another message with more submissions follows.
    pub more: bool,
}

/// A message from one entry to another, sent over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The periodic heartbeat.
    Heartbeat(Heartbeat),
    /// Acknowledges a heartbeat.
    #[serde(rename = "Confirm")]
    HeartbeatAck {
        /// The correlation id of the heartbeat.
        #[serde(rename = "ticket")]
        correlation: CorrelationId,
        /// The newest ring that the acknowledging entry knows.
        ring: Ring,
        /// The revision of the configuration that the acknowledging entry has in force.
        revision: Revision,
    },
    /// Forwards a submission to its home.
    Submit {
        /// Matches the reply to this message.
        #[serde(rename = "ticket")]
        correlation: CorrelationId,
        /// The submission.
        submission: Box<Submission>,
    },
    /// Forwards a query to the home of its id.
    Query {
        /// Matches the reply to this message.
        #[serde(rename = "ticket")]
        correlation: CorrelationId,
        /// The id of the submission.
        id: SubmissionId,
        /// The query.
        query: Query,
    },
    /// The reply to a submission or query.
    Reply {
        /// The correlation id of the submission or query.
        #[serde(rename = "ticket")]
        correlation: CorrelationId,
        /// The reply.
        reply: Reply,
    },
    /// Hands over ended submissions to the receiver, their new home.
    Handover(Handover),
    /// Brings a newer configuration, or requests it when `None`.
    Config(Option<ConfigBlob>),
}
