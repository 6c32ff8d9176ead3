//! Calls of the upstream, and what they bring.

use std::net::SocketAddr;

use chervilring_wire::{Micros, Name, Resources, RunEnd, RunKey};
use serde::{Deserialize, Serialize};

/// One life of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLife {
    /// The id that the upstream announces; it may have had it in an earlier life.
    pub id: Name,
    /// When this life began, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Where it takes calls.
    pub addr: SocketAddr,
}

/// A call of the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerCall {
    /// Starts a run; the same call again has no further effect.
    Start {
        /// The life that is meant.
        life: WorkerLife,
        /// The run.
        run: RunKey,
        /// What its task is told.
        spec: Name,
        /// What it takes.
        demand: Resources,
        /// The end of the lease, in milliseconds of the upstream's clock.
        lease: u64,
        /// The fencing token.
        fence: u64,
    },
    /// Stops a run, or keeps one from starting that has not come yet.
    Stop {
        /// The life that is meant.
        life: WorkerLife,
        /// The run.
        run: RunKey,
        /// The fencing token.
        fence: u64,
    },
    /// Extends the lease of all that runs and asks what runs and what has ended.
    Hold {
        /// The life that is meant.
        life: WorkerLife,
        /// The end of the lease, in milliseconds of the upstream's clock; absent: as it is.
        lease: Option<u64>,
        /// The newest end that was taken in and may be forgotten.
        acked: u64,
        /// How long the upstream may wait for an end before it answers.
        wait: Micros,
        /// The fencing token.
        fence: u64,
    },
}

impl WorkerCall {
    /// Returns the life that is meant.
    pub fn life(&self) -> &WorkerLife {
        match self {
            Self::Start { life, .. } | Self::Stop { life, .. } | Self::Hold { life, .. } => life,
        }
    }
}

/// Why the upstream refused a call, which had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// It has seen a higher fencing token.
    Fence,
    /// It has had this attempt or a later one.
    Old,
    /// The lease would have ended already.
    Late,
    /// It has no room.
    Room,
    /// It does not accept what it was asked.
    Invalid,
    /// It is unhealthy.
    Unhealthy,
    /// Another life answers at its address.
    OtherLife,
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// It was done.
    Done {
        /// The upstream's clock in milliseconds, if it told.
        clock: Option<u64>,
    },
    /// It was refused.
    Refused {
        /// Why.
        why: Refused,
        /// The upstream's clock in milliseconds, if it told.
        clock: Option<u64>,
    },
    /// The upstream told what runs and what has ended.
    Listed(Lists),
    /// There was no answer: it may have been done, or still be done later.
    Lost,
}

/// What an upstream says of its runs.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Lists {
    /// The upstream's clock in milliseconds.
    pub clock: u64,
    /// When its life began, in milliseconds since the Unix epoch.
    pub born: u64,
    /// What runs.
    pub active: Vec<ListedRun>,
    /// What has ended and was not acknowledged.
    pub ended: Vec<ListedEnd>,
    /// Whether more ends are there than the list holds.
    pub more: bool,
}

/// A run that goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedRun {
    /// The run.
    pub run: RunKey,
    /// How much of it is done, in percent.
    pub percent: u8,
}

/// A run that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedEnd {
    /// The number of the end.
    pub number: u64,
    /// The run.
    pub run: RunKey,
    /// How it ended.
    pub end: RunEnd,
}
