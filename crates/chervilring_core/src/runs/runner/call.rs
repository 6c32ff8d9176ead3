//! Calls to the upstream and their outcomes.

use std::net::SocketAddr;

use chervilring_wire::{Micros, Name, Resources, RunEnd, RunKey};
use serde::{Deserialize, Serialize};

/// One incarnation of an upstream: a process from its start to its exit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamIncarnation {
    /// The id that the upstream announces; an earlier incarnation may have had the same one.
    pub id: Name,
    /// When this incarnation started, in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// The address at which the upstream accepts calls.
    pub addr: SocketAddr,
}

/// A call to the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamCall {
    /// Starts a run. The call is idempotent.
    Start {
        /// The incarnation that the call is addressed to.
        incarnation: UpstreamIncarnation,
        /// The run.
        run: RunKey,
        /// The specification that the task receives.
        spec: Name,
        /// The resources that the run takes.
        demand: Resources,
        /// The end of the lease, in milliseconds of the upstream's clock.
        lease_end: u64,
        /// The fencing token.
        fencing_token: u64,
    },
    /// Stops a run. If its start has not arrived yet, the upstream refuses that start.
    Stop {
        /// The incarnation that the call is addressed to.
        incarnation: UpstreamIncarnation,
        /// The run.
        run: RunKey,
        /// The fencing token.
        fencing_token: u64,
    },
    /// Extends the lease of all runs, and requests the lists of active and ended runs.
    Poll {
        /// The incarnation that the call is addressed to.
        incarnation: UpstreamIncarnation,
        /// The end of the lease, in milliseconds of the upstream's clock; `None` leaves it
        /// unchanged.
        lease_end: Option<u64>,
        /// The sequence number of the newest end that was processed; the upstream may forget the
        /// ends up to it.
        acked: u64,
        /// How long the upstream may wait for a run to end before it answers.
        max_wait: Micros,
        /// The fencing token.
        fencing_token: u64,
    },
}

impl UpstreamCall {
    /// Returns the incarnation that the call is addressed to.
    pub fn incarnation(&self) -> &UpstreamIncarnation {
        match self {
            Self::Start { incarnation, .. }
            | Self::Stop { incarnation, .. }
            | Self::Poll { incarnation, .. } => incarnation,
        }
    }
}

/// Why the upstream refused a call. A refused call has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRefusal {
    /// It has seen a higher fencing token.
    Fence,
    /// It has already seen this attempt or a later one.
    Old,
    /// The lease would already have expired.
    Late,
    /// It has no free capacity for the run.
    Room,
    /// It rejects the request as invalid.
    Invalid,
    /// It is unhealthy.
    Unhealthy,
    /// Another incarnation answers at its address.
    OtherLife,
}

/// The outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call succeeded.
    Done {
        /// The upstream's clock in milliseconds, if the answer contained it.
        clock: Option<u64>,
    },
    /// The call was refused.
    Refused {
        /// Why the call was refused.
        reason: CallRefusal,
        /// The upstream's clock in milliseconds, if the answer contained it.
        clock: Option<u64>,
    },
    /// The upstream returned its lists of active and ended runs.
    Listed(RunLists),
    /// No answer arrived: the upstream may have carried out the call, or may do so later.
    NoAnswer,
    /// The connection was refused: no process listens at the address of the upstream.
    NotListening,
}

/// An upstream's lists of its runs.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RunLists {
    /// The upstream's clock in milliseconds.
    pub clock: u64,
    /// When the incarnation started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The runs that are active.
    pub active: Vec<ListedRun>,
    /// The runs that have ended and whose end was not acknowledged yet.
    pub ended: Vec<ListedEnd>,
    /// Whether there are more ended runs than the list contains.
    pub has_more: bool,
}

/// An active run in the upstream's lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedRun {
    /// The run.
    pub run: RunKey,
    /// How much of the run is done, in percent.
    pub percent: u8,
}

/// An ended run in the upstream's lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedEnd {
    /// The sequence number of the end, per incarnation.
    pub seq: u64,
    /// The run.
    pub run: RunKey,
    /// How it ended.
    pub end: RunEnd,
}
