//! The counters and the status document for operators.

use chervilring_wire::{AgentState, Load, Name, Revision, RingVersion, ServiceName};
use serde::Serialize;

/// Counters of an agent, since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct AgentCounters {
    /// Starts received from entries.
    #[serde(rename = "asked")]
    pub received: u64,
    /// Tasks handed to the upstream.
    pub started: u64,
    /// Tasks that the upstream answered completely and with success.
    pub done: u64,
    /// Started tasks that ended without a complete answer, or with one that reports a failure.
    pub failed: u64,
    /// Starts refused as not run, for any reason.
    pub refused: u64,
    /// Starts refused because the sender may not start tasks of the id under the ring in force.
    pub not_home: u64,
    /// Starts refused because the queue was full or too many answers were unacknowledged.
    pub busy: u64,
    /// Starts of tasks that had started before.
    pub repeated: u64,
    /// Starts refused because the start table was full.
    pub table_full: u64,
    /// Starts refused because their deadline had passed, on arrival or in the queue.
    #[serde(rename = "late")]
    pub expired: u64,
    /// Tasks cancelled.
    pub cancelled: u64,
    /// Answers sent, including repeated ones.
    pub answers: u64,
    /// Announcements sent.
    #[serde(rename = "announces")]
    pub announcements: u64,
    /// Rings installed.
    pub rings: u64,
    /// Pauses of the process that were detected.
    pub pauses: u64,
    /// Configurations that could not be parsed and were ignored.
    pub bad_configs: u64,
}

/// The status document of an agent.
#[derive(Debug, Clone, Serialize)]
pub struct AgentStatus {
    /// The agent's name.
    pub name: Name,
    /// The incarnation of the agent.
    pub incarnation: u64,
    /// The failure domain.
    pub domain: Name,
    /// The state: `ready`, `down` or `leaving`.
    pub state: &'static str,
    /// The base URL of its upstream; empty if none has announced itself.
    pub url: Name,
    /// The services of its upstream.
    pub services: Vec<ServiceName>,
    /// The number of slots of the upstream.
    pub slots: u32,
    /// The number of tasks in slots.
    pub running: u32,
    /// The number of tasks queued for a slot, and of starts deferred until a newer ring.
    pub waiting: u32,
    /// The ring in force.
    pub ring: RingVersion,
    /// The revision of the configuration in force.
    pub revision: Revision,
    /// The linked entries.
    pub entries: Vec<Name>,
    /// The number of starts remembered.
    pub remembered: usize,
    /// The number of answers that entries have not acknowledged.
    #[serde(rename = "unconfirmed")]
    pub unacked: usize,
    /// Counters since the start of the process.
    pub counters: AgentCounters,
}

/// Returns the name of a state in the status document.
pub(super) fn state_name(state: AgentState) -> &'static str {
    match state {
        AgentState::Ready => "ready",
        AgentState::Down => "down",
        AgentState::Leaving => "leaving",
    }
}

/// Creates a load from counts of tasks.
pub(super) fn load_from_counts(slots: u32, running: usize, waiting: usize) -> Load {
    let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
    Load {
        slots,
        running: count(running),
        waiting: count(waiting),
    }
}
