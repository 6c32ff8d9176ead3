//! What goes in and out of the membership.

use chervilring_wire::{EntryId, Member, Name, PeerMessage, Ring, RingVersion, Time};
use serde::Serialize;

/// A call to the platform's store; one is under way at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Keeps the lease alive, or takes a new one, and reads the ring and the live leases.
    Renew,
    /// Replaces the ring if it has not changed.
    Cas {
        /// The revision of the ring's key when it was read; zero when it was absent.
        base: u64,
        /// The new ring.
        ring: Ring,
    },
    /// Gives the lease back.
    Release,
}

/// The outcome of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// A renewal was answered.
    Renewed {
        /// Read before the request was sent.
        sent: Time,
        /// Whether the lease of this life of the entry was alive or newly granted.
        kept: bool,
        /// The ring with the revision of its key; absent when there is none.
        ring: Option<(u64, Ring)>,
        /// The entries whose leases are alive.
        live: Vec<EntryId>,
    },
    /// A replacement was answered.
    Cas {
        /// Whether the ring was replaced.
        done: bool,
        /// The ring as it stands now, when known.
        ring: Option<(u64, Ring)>,
    },
    /// The lease was given back.
    Released,
    /// No answer; a replacement may have taken effect.
    Failed,
}

/// Where an id is at home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// At this entry.
    Here,
    /// At another entry.
    At(Member),
    /// Nowhere: the ring has no members yet.
    Nowhere,
}

/// What is known of an id that the entry's own table does not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It was never started.
    Fresh,
    /// Not known yet; the time at which to look again.
    Wait(Time),
    /// It may have been started by an earlier home.
    MayHaveRun,
}

/// A step to be carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberStep {
    /// Calls the store.
    Store(StoreCall),
    /// Sends a message to a peer.
    Peer {
        /// The peer.
        to: EntryId,
        /// A heartbeat or a confirmation.
        message: PeerMessage,
    },
    /// A ring was adopted: agents and peers are dialled by it, and agents told.
    Ring(Ring),
    /// The ids that the entry holds and that move to `to` are handed over.
    HandOver {
        /// The new home.
        to: Member,
        /// The ring under which the ids move, for the hand-over's `ring`.
        ring: RingVersion,
    },
    /// The entry is no longer in the ring: it goes on under a new incarnation or not at all.
    Evicted,
    /// The planned stop is done.
    Left,
}

/// A peer, for `status`.
#[derive(Debug, Clone, Serialize)]
pub struct PeerStatus {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Whether the link is up.
    pub up: bool,
    /// The newest ring it is known to have.
    pub ring: RingVersion,
    /// Ids, agents and doubts it has not confirmed.
    pub backlog: usize,
}

/// The membership, for `status`.
#[derive(Debug, Clone, Serialize)]
pub struct MemberStatus {
    /// What the entry is in the ring.
    pub phase: &'static str,
    /// The ring's version.
    pub ring: RingVersion,
    /// The version up to which older rings are out of force.
    pub settled: RingVersion,
    /// Milliseconds for which the entry may start work; absent when it may not.
    pub authority: Option<u64>,
    /// The other members.
    pub peers: Vec<PeerStatus>,
    /// Former homes whose ids are not all accounted for.
    pub sources: usize,
    /// Doubts about ids of lost homes.
    pub doubts: usize,
    /// Ids known to be started.
    pub started: usize,
    /// Agents that the entry uses or wants to use.
    pub agents: usize,
    /// Agents that the entry may use.
    pub allowed: usize,
}
