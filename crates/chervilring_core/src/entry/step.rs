//! What an entry asks its daemon to carry out.

use chervilring_wire::{
    AgentId, CorrelationId, EntryId, EntryMessage, Name, PeerMessage, Reply, Revision, RingVersion,
};

use crate::membership::StoreCall;

/// A step to be carried out.
#[derive(Debug)]
pub enum EntryStep {
    /// Answers a caller.
    Reply {
        /// The caller's ticket.
        ticket: CorrelationId,
        /// The answer.
        reply: Reply,
    },
    /// Sends to another entry.
    Peer {
        /// The entry.
        to: EntryId,
        /// The message.
        message: PeerMessage,
    },
    /// Sends to an agent.
    Agent {
        /// The agent.
        to: AgentId,
        /// The message.
        message: EntryMessage,
    },
    /// Calls the platform's store.
    Store(StoreCall),
    /// Reports a change of state, for the log.
    Change(Change),
    /// The planned stop is done: the process may exit.
    Left,
    /// The ring has gone on without this life of the entry: it may join again as a new one.
    Evicted,
}

/// A change of state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A ring came into force here.
    Ring(RingVersion),
    /// A configuration came into force here.
    Revision(Revision),
    /// A configuration was refused because it cannot be read.
    BadConfig(Revision),
    /// An agent's link is up.
    AgentUp(AgentId),
    /// An agent's link is down.
    AgentDown(AgentId),
    /// Another entry's link is up.
    PeerUp(EntryId),
    /// Another entry's link is down.
    PeerDown(EntryId),
    /// An operator declared another entry dead.
    DeclaredDead(Name),
    /// An operator cleared the doubts about ids of lost homes.
    DoubtsCleared,
    /// A planned stop has begun.
    Stopping,
    /// A planned stop is done.
    Left,
    /// The ring has gone on without this entry.
    Evicted,
}
