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
    /// It has said that it ends.
    Left,
}

/// How an upstream answers, from well to worse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Contact {
    /// It has answered the newest call for its lists.
    Well,
    /// The newest call for its lists got no answer.
    Missed,
    /// It has not answered any call for too long.
    Silent,
    /// So long that its lease is over: all that ran was reported as lapsed.
    Lapsed,
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
    /// How it answers.
    pub(super) contact: Contact,
    /// When it has last answered any call.
    pub(super) heard: Time,
    /// Whether a call for the lists is under way.
    pub(super) held: bool,
    /// When to ask for the lists again after a call that got no answer.
    pub(super) retry: Time,
    /// How many calls for its lists have got no answer since the last one that did.
    pub(super) misses: u32,
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
            contact: Contact::Silent,
            heard: Time::default(),
            held: false,
            retry: Time::default(),
            misses: 0,
            described: true,
        }
    }

    /// Returns whether it takes new runs.
    pub(super) fn is_open(&self) -> bool {
        let ready = self.report.state == WorkerState::Ready;
        ready && self.known && self.described && !self.is_silent()
    }

    /// Returns whether it has not answered any call for too long.
    pub(super) fn is_silent(&self) -> bool {
        matches!(self.contact, Contact::Silent | Contact::Lapsed)
    }
}
