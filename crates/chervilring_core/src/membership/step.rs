//! Inputs and outputs of the membership.

use chervilring_wire::{EntryId, Member, Name, PeerMessage, Ring, RingVersion, Time};
use serde::Serialize;

/// A call to the platform's store. At most one is in flight at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Renews the lease, or acquires a new one, and reads the ring and the live leases.
    Renew,
    /// Replaces the ring if it has not changed.
    Cas {
        /// The revision of the ring's key when it was read, or zero if it was absent.
        base_revision: u64,
        /// The new ring.
        ring: Ring,
    },
    /// Releases the lease.
    Release,
}

/// The outcome of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// A renewal was answered.
    Renewed {
        /// The time before the request was sent.
        sent_at: Time,
        /// Whether the lease of this incarnation of the entry was live or newly granted.
        lease_held: bool,
        /// The ring with the revision of its key, or `None` if there is no ring.
        ring: Option<(u64, Ring)>,
        /// The entries whose leases are live.
        live_entries: Vec<EntryId>,
    },
    /// A replacement was answered.
    Cas {
        /// Whether the ring was replaced.
        replaced: bool,
        /// The current ring with the revision of its key, if known.
        ring: Option<(u64, Ring)>,
    },
    /// The lease was released.
    Released,
    /// No answer arrived. A replacement may have taken effect.
    Failed,
}

/// The location of an id's home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HomeLocation {
    /// This entry is the home.
    Local,
    /// Another entry is the home.
    Remote(Member),
    /// The home is unknown, because the ring has no members yet.
    Unknown,
}

/// Whether an id that is not in the entry's own table may have been started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdStatus {
    /// The id was never started.
    NotStarted,
    /// Not known yet. Holds the time at which to check again.
    Wait(Time),
    /// The id may have been started by a former home.
    MayHaveRun,
}

/// A step to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberStep {
    /// Calls the store.
    Store(StoreCall),
    /// Sends a message to a peer.
    Peer {
        /// The peer.
        to: EntryId,
        /// A heartbeat or an acknowledgement.
        message: PeerMessage,
    },
    /// A ring was installed. Links to its agents and peers are opened, and the ring is sent to the
    /// agents.
    Ring(Ring),
    /// Hands over the ids that this entry holds and that move to `to`.
    HandOver {
        /// The new home.
        to: Member,
        /// The ring under which the ids move, for the hand-over's `ring`.
        ring: RingVersion,
    },
    /// The entry was removed from the ring. It must continue under a new incarnation or stop.
    Evicted,
    /// The planned stop is complete.
    Left,
}

/// The status of a peer.
#[derive(Debug, Clone, Serialize)]
pub struct PeerStatus {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Whether the link is up.
    pub up: bool,
    /// The version of the newest ring that it is known to have installed.
    pub ring: RingVersion,
    /// The number of ids, agents and sets of ids in doubt that it has not acknowledged.
    pub backlog: usize,
}

/// The status of the membership.
#[derive(Debug, Clone, Serialize)]
pub struct MemberStatus {
    /// The entry's phase in the life cycle of a member.
    pub phase: &'static str,
    /// The ring's version.
    pub ring: RingVersion,
    /// The version before which all rings are retired.
    #[serde(rename = "settled")]
    pub retired: RingVersion,
    /// The time for which the entry may start work, in milliseconds, or `None` if it may not.
    #[serde(rename = "authority")]
    pub authority_ms: Option<u64>,
    /// The other members.
    pub peers: Vec<PeerStatus>,
    /// The number of sources that are not resolved.
    pub sources: usize,
    /// The number of sets of ids in doubt.
    #[serde(rename = "doubts")]
    pub in_doubt: usize,
    /// The number of ids known to be started.
    pub started: usize,
    /// The number of agents that the entry uses or has announced to use.
    pub agents: usize,
    /// The number of agents on which the entry may start work.
    #[serde(rename = "allowed")]
    pub allowed_agents: usize,
}
