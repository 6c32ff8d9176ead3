//! The runner's view of its upstream.

use chervilring_wire::{DomainName, Name, Resources, RunEnd, ServiceName, Time};
use serde::{Deserialize, Serialize};

use super::call::UpstreamIncarnation;
use super::event::GoneReason;
use super::lease::Lease;

/// Whether an upstream accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Availability {
    /// It accepts work.
    Ready,
    /// It finishes its runs and accepts no more.
    Draining,
    /// It has announced its exit.
    Left,
}

/// Whether an upstream answers, from best to worst.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reachability {
    /// It answered the last poll.
    Answering,
    /// It did not answer the last poll.
    Missed,
    /// It has not answered any call for longer than the limit.
    Silent,
    /// It has been silent until its lease expired; all of its runs were reported as lapsed.
    Expired,
}

/// What a poll without answer tells of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Silence {
    /// Nothing: it may be slow, cut off or gone.
    Unexplained,
    /// No process listens at its address.
    Crashed,
    /// Another upstream answers at its address.
    Replaced,
}

/// An upstream's report about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The incarnation that sends the report.
    #[serde(rename = "life")]
    pub incarnation: UpstreamIncarnation,
    /// The service that it provides.
    pub service: ServiceName,
    /// The failure domain that it is in.
    pub domain: DomainName,
    /// Whether it accepts work.
    pub state: Availability,
    /// Its total resources.
    pub capacity: Resources,
    /// Its labels, among them its rack.
    pub labels: Vec<Name>,
    /// The sequence number of the report; it rises within one incarnation.
    pub sequence: u64,
    /// Its clock in milliseconds, if the report contained it.
    pub clock: Option<u64>,
}

/// An upstream and the state of the calls to it.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) report: Report,
    pub(super) lease: Lease,
    /// The sequence number of the newest end that was processed.
    pub(super) acked: u64,
    /// Whether complete lists of this incarnation were read, so that all active runs are known.
    pub(super) runs_known: bool,
    /// Whether it answers.
    pub(super) reachability: Reachability,
    /// When it last answered any call.
    pub(super) last_answer: Time,
    /// Whether a poll is in progress.
    pub(super) poll_pending: bool,
    /// When to poll again after a poll without answer.
    pub(super) next_poll: Time,
    /// The number of polls without answer since the last answered one.
    pub(super) missed_polls: u32,
    /// What the last poll without answer tells.
    pub(super) silence: Silence,
    /// Whether the report is from this incarnation.
    pub(super) report_current: bool,
    /// How runs have ended that were at the incarnation before it under the same id.
    pub(super) prior_end: RunEnd,
}

impl Upstream {
    pub(super) fn new(report: Report) -> Self {
        Self {
            report,
            lease: Lease::default(),
            acked: 0,
            runs_known: false,
            reachability: Reachability::Silent,
            last_answer: Time::default(),
            poll_pending: false,
            next_poll: Time::default(),
            missed_polls: 0,
            silence: Silence::Unexplained,
            report_current: true,
            prior_end: RunEnd::Lapsed,
        }
    }

    /// Returns whether it has announced that it is going to exit.
    pub(super) fn has_announced_exit(&self) -> bool {
        self.report.state != Availability::Ready
    }

    /// Returns whether it accepts new runs.
    pub(super) fn is_accepting(&self) -> bool {
        let ready = self.report.state == Availability::Ready;
        ready && self.runs_known && self.report_current && !self.is_silent()
    }

    /// Returns why it serves no more, if that is known. Its runs may go on for a while.
    pub(super) fn gone_reason(&self) -> Option<GoneReason> {
        if self.report.state == Availability::Left {
            return Some(GoneReason::Left);
        }
        match (self.reachability, self.silence) {
            (Reachability::Expired, _) => Some(GoneReason::LeaseExpired),
            (Reachability::Answering, _) | (_, Silence::Unexplained) => None,
            (_, Silence::Crashed) => Some(GoneReason::NotListening),
            (_, Silence::Replaced) => Some(GoneReason::AddressTaken),
        }
    }

    /// Returns whether it is known to serve no more.
    pub(super) fn is_gone(&self) -> bool {
        self.gone_reason().is_some()
    }

    /// Returns whether it has not answered any call for longer than the limit.
    pub(super) fn is_silent(&self) -> bool {
        matches!(
            self.reachability,
            Reachability::Silent | Reachability::Expired
        )
    }
}
