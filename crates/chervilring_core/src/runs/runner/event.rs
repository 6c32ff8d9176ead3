//! What a runner tells its log.

use chervilring_wire::{Micros, Name, RefuseReason, Resources, RunEnd, RunKey};

use super::call::Refused;

/// A decision, or a change of what the runner believes, with what decided it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunnerEvent {
    /// Runs were taken on.
    Taken {
        /// The first of them.
        run: RunKey,
        /// How many there are.
        runs: u32,
        /// What was free before.
        free: Resources,
    },
    /// A run was refused.
    Refused {
        /// The run.
        run: RunKey,
        /// Why.
        reason: RefuseReason,
        /// What was free.
        free: Resources,
    },
    /// The upstream refused to start a run.
    NotStarted {
        /// The run.
        run: RunKey,
        /// Why.
        why: Refused,
    },
    /// A call got no answer in time and is made again.
    NoAnswer {
        /// The run that it was about; `None` for a call for the lists.
        run: Option<RunKey>,
        /// What was asked.
        call: &'static str,
    },
    /// A run has ended.
    Ended {
        /// The run.
        run: RunKey,
        /// How.
        end: RunEnd,
        /// The time since it was started, or else since it was taken on.
        span: Micros,
    },
    /// The upstream runs what this runner did not start, and is told to stop it.
    Foreign {
        /// The run.
        run: RunKey,
    },
    /// A life of the upstream was heard of first.
    WorkerUp {
        /// Its id.
        id: Name,
        /// When its life began.
        born: u64,
        /// What it has.
        capacity: Resources,
    },
    /// The upstream takes work now, or no more.
    WorkerOpen {
        /// Its id.
        id: Name,
        /// Whether it takes work.
        open: bool,
        /// Why.
        why: &'static str,
    },
    /// The lease of an upstream that does not answer has ended.
    LeaseOver {
        /// Its id.
        id: Name,
        /// Runs that have ended by it.
        runs: u32,
    },
    /// A planner was heard over a new link.
    LinkUp {
        /// The number of the link.
        link: u64,
    },
    /// A planner is not heard any more: its runs are stopped.
    LinkLost {
        /// The number of the link.
        link: u64,
        /// Why.
        why: &'static str,
        /// Runs that are stopped.
        runs: u32,
    },
    /// The process had stood still.
    Paused {
        /// How long.
        span: Micros,
    },
}
