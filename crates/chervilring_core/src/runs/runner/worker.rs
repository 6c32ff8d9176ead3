//! The upstream as a runner knows it.

use chervilring_wire::{DomainName, Name, Resources, ServiceName, Time};
use serde::{Deserialize, Serialize};

use super::call::WorkerLife;
use super::lease::Lease;

/// Whether an upstream takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// It takes work.
    Ready,
    /// It is leaving.
    Draining,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The life that speaks.
    pub life: WorkerLife,
    /// The service that it does.
    pub service: ServiceName,
    /// The failure domain that it stands in.
    pub domain: DomainName,
    /// Whether it takes work.
    pub state: WorkerState,
    /// All that it has.
    pub capacity: Resources,
    /// Its labels; its rack is one of them.
    pub labels: Vec<Name>,
    /// Grows with each report of one life.
    pub sequence: u64,
    /// Its clock in milliseconds, if it told.
    pub clock: Option<u64>,
}

/// An upstream.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) report: Report,
    pub(super) lease: Lease,
    /// The newest end that was taken in.
    pub(super) acked: u64,
    /// Whether its lists have been read in this life, so that all that runs is known.
    pub(super) known: bool,
    /// Whether it has answered its newest call for the lists.
    pub(super) answers: bool,
    /// When it has last answered any call.
    pub(super) heard: Time,
    /// Whether it has not answered for too long.
    pub(super) silent: bool,
    /// Whether a call for the lists is under way.
    pub(super) held: bool,
    /// When to ask for the lists again after a call that got no answer.
    pub(super) retry: Time,
    /// Whether all that ran was reported as lapsed since it last answered.
    pub(super) lapsed: bool,
    /// Whether it has said that it ends.
    pub(super) left: bool,
    /// Whether what is known of it was said of this life.
    pub(super) described: bool,
}

impl Worker {
    pub(super) fn new(report: Report) -> Self {
        Self {
            report,
            lease: Lease::default(),
            acked: 0,
            known: false,
            answers: false,
            heard: Time::default(),
            silent: true,
            held: false,
            retry: Time::default(),
            lapsed: false,
            left: false,
            described: true,
        }
    }

    /// Returns whether it takes new runs.
    pub(super) fn is_open(&self) -> bool {
        self.known
            && !self.silent
            && self.described
            && !self.left
            && self.report.state == WorkerState::Ready
    }
}
