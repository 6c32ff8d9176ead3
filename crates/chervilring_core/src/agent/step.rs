//! The events from the upstream and the steps that the agent hands out.

use bytes::Bytes;
use chervilring_wire::{
    AgentMessage, Announce, EntryId, Member, Micros, Name, ServiceName, TaskKey, Time,
};

/// A task that the upstream must run now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamCall {
    /// The attempt.
    pub key: TaskKey,
    /// The service.
    pub service: ServiceName,
    /// The time at which the call is aborted.
    pub deadline: Time,
    /// Whether the task may be run again when an earlier attempt may have run.
    pub idempotent: bool,
    /// The media type of the body.
    pub media: Name,
    /// The body.
    pub body: Bytes,
    /// The base URL that the upstream announced.
    pub url: Name,
}

/// How a call of the upstream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// A complete answer arrived.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The media type of the body.
        media: Name,
        /// The body.
        body: Bytes,
    },
    /// The upstream answered that it did not run the task.
    Refused {
        /// How long to wait before the next attempt, if the upstream said so.
        retry_after: Option<Micros>,
    },
    /// No connection could be established, so the task did not run.
    NotSent,
    /// The task was sent, but no complete answer arrived.
    Incomplete,
    /// A complete answer arrived that exceeds the size limit.
    TooLarge,
    /// The deadline passed before a complete answer arrived.
    TimedOut,
    /// The call was aborted after the task was sent.
    Aborted,
}

/// An event reported by the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamEvent {
    /// The upstream accepts work until its lease expires.
    Announce {
        /// The base URL at which it is called.
        url: Name,
        /// The services that it provides.
        services: Vec<ServiceName>,
        /// Labels of the worker, as `key=value`.
        labels: Vec<Name>,
        /// The number of tasks that it runs at once.
        slots: u32,
        /// The number of connections that it accepts at once.
        connections: u32,
        /// How long it accepts work without a further announcement.
        lease: Micros,
    },
    /// The upstream accepts no more work.
    Leave,
}

/// An action that the caller of the agent must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentStep {
    /// Sends a message to an entry whose link is up.
    SendToEntry {
        /// The entry.
        to: EntryId,
        /// The message.
        message: AgentMessage,
    },
    /// Calls the upstream.
    CallUpstream(UpstreamCall),
    /// Aborts a call; its end must still be reported to the agent.
    AbortCall(TaskKey),
    /// Sends an announcement to all entries.
    Announce(Announce),
    /// Keeps links to these entries, in addition to the configured ones.
    Connect(Vec<Member>),
    /// The stop is complete: the process may exit.
    Exit,
}
