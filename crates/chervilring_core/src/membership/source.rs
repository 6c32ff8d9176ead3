//! Sources: moves of ids from a former home to this entry.

use chervilring_wire::{
    AgentId, EntryId, InDoubt, Name, RingVersion, SubmissionId, Time, home_name,
};
use rustc_hash::FxHashMap;

use super::constants::{HANDOVER_GRACE, REPORT_GRACE};
use super::home_reports::HomeReport;
use super::rules::Rules;

/// How much is known about which ids of a source were started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SourceState {
    /// Not known yet.
    Pending,
    /// Some ids may have been started without a record.
    InDoubt,
    /// The started ids are known, except for those that the lost home reported to another lost
    /// entry.
    Partial,
    /// All started ids are known, but the former home, which remains a member, has not handed over
    /// their answers yet.
    AnswersPending,
    /// All started ids are known.
    Resolved,
}

impl SourceState {
    /// Returns whether some ids of the source are in doubt.
    pub(crate) fn is_in_doubt(self) -> bool {
        matches!(self, Self::InDoubt | Self::Partial)
    }
}

/// The move of ids from a former home to this entry.
#[derive(Debug)]
pub(crate) struct Source {
    /// The names of the homes in the ring from which the ids moved.
    pub(crate) old_homes: Vec<Name>,
    /// The former home, or `None` for all former homes, when rings between the two are unknown.
    pub(crate) former_home: Option<EntryId>,
    /// The names of the homes in the ring to which the ids moved.
    pub(crate) new_homes: Vec<Name>,
    /// The version of the ring to which the ids moved.
    pub(crate) version: RingVersion,
    /// Whether the former home is also a member of the ring to which the ids moved.
    pub(crate) home_remains: bool,
    /// Whether the former home is the only member that the ring lost. If so, every id that it
    /// reported to a next home is known to a remaining member.
    pub(crate) only_loss: bool,
    /// When this entry installed the ring.
    pub(crate) installed_at: Time,
    /// When this entry may start the ids.
    pub(crate) ready_at: Option<Time>,
    /// How much is known about the ids.
    pub(crate) state: SourceState,
}

/// The inputs by which the state of a source is determined.
#[derive(Debug)]
pub(crate) struct Evidence<'a> {
    pub(crate) now: Time,
    pub(crate) installed: RingVersion,
    pub(crate) is_member: bool,
    /// The version of the first ring without the former home. Agents that have installed it start
    /// nothing for that home.
    pub(crate) first_without: RingVersion,
    pub(crate) report: Option<&'a HomeReport>,
    pub(crate) agent_reports: &'a FxHashMap<AgentId, RingVersion>,
    pub(crate) rules: Rules,
}

impl Source {
    /// Returns whether an id moved from the former home to `own`.
    pub(crate) fn covers(&self, id: SubmissionId, own: &Name) -> bool {
        if home_name(&self.new_homes, id) != Some(own) {
            return false;
        }
        let former = home_name(&self.old_homes, id);
        match &self.former_home {
            Some(home) => former == Some(&home.name),
            None => former != Some(own),
        }
    }

    /// Returns whether the former home would have reported the start of an id to this entry.
    pub(crate) fn reported_here(&self, id: SubmissionId, own: &Name) -> bool {
        let Some(home) = &self.former_home else {
            return false;
        };
        let rest = self.old_homes.iter().filter(|name| **name != home.name);
        let rest: Vec<Name> = rest.cloned().collect();
        home_name(&rest, id) == Some(own)
    }

    /// Returns the ids in doubt that a lost home leaves.
    pub(crate) fn to_in_doubt(&self, own: &Name, until: chervilring_wire::Timestamp) -> InDoubt {
        let home = self.former_home.as_ref().map(|e| e.name.clone());
        InDoubt {
            old_homes: self.old_homes.clone(),
            lost_home: home.unwrap_or_else(|| "".into()),
            new_homes: self.new_homes.clone(),
            successor: own.clone(),
            until,
        }
    }

    /// Determines the state of the source from the evidence.
    pub(crate) fn evaluate(&self, evidence: &Evidence) -> SourceState {
        if let Some(state) = self.evaluate_remaining(evidence) {
            return state;
        }
        if evidence.is_member {
            return SourceState::Pending;
        }
        if self.only_loss && self.left_with_handover(evidence) {
            return SourceState::Resolved;
        }
        let Some(ready) = self.ready_at.filter(|ready| *ready <= evidence.now) else {
            return SourceState::Pending;
        };
        if !evidence.rules.agent_reports || self.all_reported(evidence) {
            let complete = self.only_loss || !evidence.rules.partial_reports;
            return if complete {
                SourceState::Resolved
            } else {
                SourceState::Partial
            };
        }
        if evidence.now < ready + REPORT_GRACE {
            return SourceState::Pending;
        }
        SourceState::InDoubt
    }

    /// Returns when, after `after`, an unresolved source has to be evaluated again if no message
    /// arrives.
    pub(crate) fn wake_at(&self, after: Time, report: Option<&HomeReport>) -> Time {
        if !matches!(
            self.state,
            SourceState::Pending | SourceState::AnswersPending
        ) {
            return Time::NEVER;
        }
        let complete = report.and_then(|h| h.complete);
        let grace_over = complete.map(|(_, since)| since + HANDOVER_GRACE);
        let overdue = self.ready_at.map(|ready| ready + REPORT_GRACE);
        let times = [grace_over, self.ready_at, overdue].into_iter().flatten();
        times.filter(|at| *at > after).min().unwrap_or(Time::NEVER)
    }

    /// Determines the state if the former home remained a member of the ring to which the ids
    /// moved. Once it has reported everything that it started under that ring, it starts no more
    /// ids that moved.
    fn evaluate_remaining(&self, evidence: &Evidence) -> Option<SourceState> {
        if !self.home_remains {
            return None;
        }
        if !evidence.rules.await_handover {
            return Some(SourceState::Resolved);
        }
        let report = evidence.report?;
        let (version, since) = report.complete?;
        if version < self.version {
            return None;
        }
        let handed_over = report.handover >= Some(self.version);
        let grace_over = evidence.now >= since + HANDOVER_GRACE;
        if handed_over || grace_over || !evidence.is_member {
            return Some(SourceState::Resolved);
        }
        Some(SourceState::AnswersPending)
    }

    /// Returns whether the home left in a planned stop, with a hand-over under the ring to which
    /// the ids moved.
    fn left_with_handover(&self, evidence: &Evidence) -> bool {
        let before = RingVersion(self.version.0 - 1);
        evidence.report.is_some_and(|report| {
            report.handover == Some(self.version) && report.complete_version() >= Some(before)
        })
    }

    /// Returns whether the home's reports were complete before it was lost, and all agents that it
    /// may have used have reported since.
    fn all_reported(&self, evidence: &Evidence) -> bool {
        let Some(report) = evidence.report else {
            return !evidence.rules.complete_reports;
        };
        let before = RingVersion(self.version.0 - 1);
        if evidence.rules.complete_reports && report.complete_version() < Some(before) {
            return false;
        }
        report.agents.iter().all(|agent| {
            let installed = evidence.agent_reports.get(agent);
            installed.is_some_and(|ring| {
                *ring >= evidence.first_without
                    && (*ring <= evidence.installed || !evidence.rules.report_bound)
            })
        })
    }
}
