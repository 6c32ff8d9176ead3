//! What goes into and comes out of an agent's decisions.

use bytes::Bytes;
use chervilring_wire::{
    AgentMessage, Announce, EntryId, Member, Micros, Name, ServiceName, TaskKey, Time,
};

/// A task to be run by the upstream, now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamCall {
    /// The attempt.
    pub key: TaskKey,
    /// The service.
    pub service: ServiceName,
    /// The call is given up at this point.
    pub deadline: Time,
    /// Whether the task may run again after it may have run.
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
    /// A whole answer came.
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
        /// When it may take work again, from now.
        retry: Option<Micros>,
    },
    /// No connection came about: the task did not run.
    NotSent,
    /// The task was sent and no whole answer came.
    Broken,
    /// A whole answer came, larger than allowed.
    TooLarge,
    /// The deadline passed before a whole answer came.
    TimedOut,
    /// The call was given up after it was sent.
    Aborted,
}

/// What the upstream tells its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamEvent {
    /// It takes work, until the lease is over.
    Announce {
        /// The base URL at which it is called.
        url: Name,
        /// The services that it does.
        services: Vec<ServiceName>,
        /// Labels of the worker, as `key=value`.
        labels: Vec<Name>,
        /// Tasks that it runs at once.
        slots: u32,
        /// Connections that it accepts at once.
        connections: u32,
        /// How long it takes work without a further announcement.
        lease: Micros,
    },
    /// It takes no more work.
    Leave,
}

/// What an agent wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentStep {
    /// Sends a message to an entry, over the link that is up.
    Entry {
        /// The entry.
        to: EntryId,
        /// The message.
        message: AgentMessage,
    },
    /// Calls the upstream.
    Call(UpstreamCall),
    /// Gives up a call; its end is reported as ever.
    Abort(TaskKey),
    /// Sends an announcement to all entries.
    Announce(Announce),
    /// Keeps links to these entries, besides the configured ones.
    Dial(Vec<Member>),
    /// Everything is finished: the process may exit.
    Left,
}
