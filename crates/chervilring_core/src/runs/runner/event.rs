//! Events that a runner logs and counts.

use chervilring_wire::{Evacuations, Micros, Name, RefuseReason, Resources, RunEnd, RunKey};

use super::call::CallRefusal;
use crate::runs::evacuation::EvacuationSource;

/// Why room is no longer held for a claim that was not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimEnd {
    /// Its planner gave it back, or the link to it was lost.
    GivenBack,
    /// Its deadline passed, or the upstream accepts no more runs.
    RunOut,
}

/// What shows that an upstream serves no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GoneReason {
    /// It has announced its exit.
    Left,
    /// No process listens at its address.
    NotListening,
    /// Another incarnation answers at its address.
    AddressTaken,
    /// It has been silent until its lease expired.
    LeaseExpired,
}

/// A decision of the runner, or a change of what it knows, together with its cause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunnerEvent {
    /// Runs were accepted.
    Accepted {
        /// The first of the runs.
        run: RunKey,
        /// How many runs were accepted.
        runs: u32,
        /// The free resources before.
        free: Resources,
    },
    /// A run was refused.
    Refused {
        /// The run.
        run: RunKey,
        /// Why it was refused.
        reason: RefuseReason,
        /// The free resources.
        free: Resources,
    },
    /// A run has room: its start is sent, or the room is held for its claim.
    Begun {
        /// The run.
        run: RunKey,
        /// The time since it was accepted.
        waited: Micros,
    },
    /// Room is held for claimed runs until they are confirmed.
    Claimed {
        /// The first of the runs.
        run: RunKey,
        /// How many runs have room.
        runs: u32,
    },
    /// A claimed run was confirmed.
    ClaimConfirmed {
        /// The run.
        run: RunKey,
    },
    /// Room is no longer held for a claimed run that was not confirmed.
    ClaimEnded {
        /// The run.
        run: RunKey,
        /// Why it ended.
        end: ClaimEnd,
    },
    /// The upstream refused to start a run.
    NotStarted {
        /// The run.
        run: RunKey,
        /// Why it was refused.
        reason: CallRefusal,
    },
    /// A call got no answer in time and will be retried.
    NoAnswer {
        /// The run that the call was about; `None` for a poll.
        run: Option<RunKey>,
        /// The kind of call.
        call: &'static str,
    },
    /// A run has ended.
    Ended {
        /// The run.
        run: RunKey,
        /// How it ended.
        end: RunEnd,
        /// The time since the run started, or since it was accepted if it never started.
        elapsed: Micros,
    },
    /// The upstream runs a run that this runner did not start; it is stopped.
    UnknownRun {
        /// The run.
        run: RunKey,
    },
    /// A new incarnation of the upstream appeared.
    UpstreamUp {
        /// The upstream's id.
        id: Name,
        /// When the incarnation started, in milliseconds since the Unix epoch.
        started_ms: u64,
        /// The upstream's total resources.
        capacity: Resources,
    },
    /// An incarnation at another address or with another id took the place of the upstream.
    UpstreamReplaced {
        /// The upstream's id.
        id: Name,
        /// The id of the one that took its place.
        next: Name,
        /// Why the upstream was taken to serve no more; `None` if it had never answered.
        reason: Option<GoneReason>,
        /// The number of its runs, in any state.
        runs: u32,
        /// How long those that it may go on with are kept; zero if all have ended.
        lease: Micros,
    },
    /// The runner began or ceased to accept runs.
    AcceptingChanged {
        /// The upstream's id.
        id: Name,
        /// Whether runs are accepted.
        accepting: bool,
        /// Why it changed.
        reason: &'static str,
    },
    /// Other failure domains are evacuated than before.
    EvacuationsChanged {
        /// The domains, with the revision at which they were read.
        evacuations: Evacuations,
        /// Where the change was learned.
        source: EvacuationSource,
    },
    /// The lease of an upstream that does not answer has expired.
    LeaseExpired {
        /// The upstream's id.
        id: Name,
        /// The number of runs that expired with it.
        runs: u32,
    },
    /// The first message of a planner arrived over a new link.
    LinkUp {
        /// The link's sequence number.
        link: u64,
    },
    /// The link to a planner was lost; its runs are stopped.
    LinkLost {
        /// The link's sequence number.
        link: u64,
        /// Why it was lost.
        reason: &'static str,
        /// The number of runs that are stopped.
        runs: u32,
    },
    /// The process was paused.
    Paused {
        /// How long the pause lasted.
        duration: Micros,
    },
}
