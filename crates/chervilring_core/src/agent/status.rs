//! Counters and the status that operators see.

use chervilring_wire::{AgentState, Load, Name, Revision, RingVersion, ServiceName};
use serde::Serialize;

/// Counts of what an agent did, since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct AgentCounters {
    /// Starts asked for by entries.
    pub asked: u64,
    /// Tasks handed to the upstream.
    pub started: u64,
    /// Tasks that the upstream answered in full.
    pub done: u64,
    /// Started tasks that ended without a whole answer, or with one that says they failed.
    pub failed: u64,
    /// Starts refused, for whichever reason.
    pub refused: u64,
    /// Starts refused since their sender is not the home of the id.
    pub not_home: u64,
    /// Starts refused since no slot was free and the queue was full.
    pub busy: u64,
    /// Starts refused since the task had started before.
    pub repeated: u64,
    /// Starts refused since the table of starts was full.
    pub table_full: u64,
    /// Tasks, queued or asked for, that were past their deadline.
    pub late: u64,
    /// Tasks cancelled.
    pub cancelled: u64,
    /// Answers sent, those sent again included.
    pub answers: u64,
    /// Announcements sent.
    pub announces: u64,
    /// Rings adopted.
    pub rings: u64,
    /// Pauses of the process that were noticed.
    pub pauses: u64,
    /// Configurations that did not parse and were left out.
    pub bad_configs: u64,
}

/// What an agent shows to operators.
#[derive(Debug, Clone, Serialize)]
pub struct AgentStatus {
    /// The agent's name.
    pub name: Name,
    /// The life of the agent.
    pub incarnation: u64,
    /// The failure domain.
    pub domain: Name,
    /// Whether it takes work.
    pub state: &'static str,
    /// The base URL of its upstream; empty when none has announced itself.
    pub url: Name,
    /// The services of its upstream.
    pub services: Vec<ServiceName>,
    /// Slots of the upstream.
    pub slots: u32,
    /// Tasks in slots.
    pub running: u32,
    /// Tasks that wait for a slot.
    pub waiting: u32,
    /// The newest ring it knows.
    pub ring: RingVersion,
    /// The configuration in force here.
    pub revision: Revision,
    /// The entries that are linked.
    pub entries: Vec<Name>,
    /// Starts remembered.
    pub remembered: usize,
    /// Answers that entries have not confirmed.
    pub unconfirmed: usize,
    /// Counts since the start.
    pub counters: AgentCounters,
}

/// Returns the name of a state in status answers.
pub(super) fn state_name(state: AgentState) -> &'static str {
    match state {
        AgentState::Ready => "ready",
        AgentState::Down => "down",
        AgentState::Leaving => "leaving",
    }
}

/// Returns a load from counts of tasks.
pub(super) fn load(slots: u32, running: usize, waiting: usize) -> Load {
    let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
    Load {
        slots,
        running: count(running),
        waiting: count(waiting),
    }
}
