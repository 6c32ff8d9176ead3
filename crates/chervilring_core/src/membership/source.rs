//! Former homes of ids that are now at home here.

use chervilring_wire::{
    AgentId, EntryId, InDoubt, Name, RingVersion, SubmissionId, Time, home_name,
};
use rustc_hash::FxHashMap;

use super::constants::{HANDOVER_GRACE, REPORT_GRACE};
use super::home_reports::Home;
use super::rules::Rules;

/// What is known of the ids that moved here from one former home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    /// Not known yet which of them were started.
    Pending,
    /// Some may have been started without a record.
    Doubtful,
    /// Those that were started are known, but for ids that the lost home told another lost entry.
    Partial,
    /// All that were started are known, but the living home has yet to hand their answers over.
    Told,
    /// All that were started are known.
    Clear,
}

impl State {
    /// Returns whether some ids stay in doubt.
    pub(crate) fn is_doubtful(self) -> bool {
        matches!(self, Self::Doubtful | Self::Partial)
    }
}

/// The move of ids from a former home to this entry.
#[derive(Debug)]
pub(crate) struct Source {
    /// The names of the homes of the ring that they moved from.
    pub(crate) old: Vec<Name>,
    /// The former home; any when the rings between are not known.
    pub(crate) home: Option<EntryId>,
    /// The names of the homes of the ring that they moved to.
    pub(crate) new: Vec<Name>,
    /// The ring that they moved to.
    pub(crate) version: RingVersion,
    /// Whether the former home is a member of that ring as well.
    pub(crate) living: bool,
    /// Whether the former home is the only member that the ring lost: what it told its next homes
    /// then went to members.
    pub(crate) alone: bool,
    /// When this entry adopted the ring.
    pub(crate) since: Time,
    /// When this entry may begin with them.
    pub(crate) ready: Option<Time>,
    /// What is known of them.
    pub(crate) state: State,
}

/// What a source is judged by.
#[derive(Debug)]
pub(crate) struct Evidence<'a> {
    pub(crate) now: Time,
    pub(crate) ring: RingVersion,
    pub(crate) member: bool,
    /// The first ring without the former home: agents that have it start nothing for that home.
    pub(crate) without: RingVersion,
    pub(crate) home: Option<&'a Home>,
    pub(crate) reports: &'a FxHashMap<AgentId, RingVersion>,
    pub(crate) rules: Rules,
}

impl Source {
    /// Returns whether an id moved from the former home to `own`.
    pub(crate) fn covers(&self, id: SubmissionId, own: &Name) -> bool {
        if home_name(&self.new, id) != Some(own) {
            return false;
        }
        let former = home_name(&self.old, id);
        match &self.home {
            Some(home) => former == Some(&home.name),
            None => former != Some(own),
        }
    }

    /// Returns whether the former home told this entry of the id's start, rather than another one.
    pub(crate) fn told_here(&self, id: SubmissionId, own: &Name) -> bool {
        let Some(home) = &self.home else {
            return false;
        };
        let rest = self.old.iter().filter(|name| **name != home.name);
        let rest: Vec<Name> = rest.cloned().collect();
        home_name(&rest, id) == Some(own)
    }

    /// Returns the doubt that a lost home leaves.
    pub(crate) fn doubt(&self, own: &Name, until: chervilring_wire::Timestamp) -> InDoubt {
        let home = self.home.as_ref().map(|e| e.name.clone());
        InDoubt {
            old_homes: self.old.clone(),
            lost_home: home.unwrap_or_else(|| "".into()),
            new_homes: self.new.clone(),
            successor: own.clone(),
            until,
        }
    }

    /// Judges by the evidence what is known of the ids.
    pub(crate) fn judge(&self, evidence: &Evidence) -> State {
        if let Some(state) = self.judge_living(evidence) {
            return state;
        }
        if evidence.member {
            return State::Pending;
        }
        if self.alone && self.handed_over(evidence) {
            return State::Clear;
        }
        let Some(ready) = self.ready.filter(|ready| *ready <= evidence.now) else {
            return State::Pending;
        };
        if !evidence.rules.reports || self.accounted(evidence) {
            let whole = self.alone || !evidence.rules.partial;
            return if whole { State::Clear } else { State::Partial };
        }
        if evidence.now < ready + REPORT_GRACE {
            return State::Pending;
        }
        State::Doubtful
    }

    /// Returns when, after `last`, a pending source is to be judged again if nothing comes in.
    pub(crate) fn wake_at(&self, last: Time, home: Option<&Home>) -> Time {
        if !matches!(self.state, State::Pending | State::Told) {
            return Time::NEVER;
        }
        let told = home.and_then(|h| h.whole);
        let late = told.map(|(_, since)| since + HANDOVER_GRACE);
        let overdue = self.ready.map(|ready| ready + REPORT_GRACE);
        let times = [late, self.ready, overdue].into_iter().flatten();
        times.filter(|at| *at > last).min().unwrap_or(Time::NEVER)
    }

    /// Judges ids that moved from a home that is, or was, a member of their ring as well: once it
    /// has told all it started, it starts nothing more that moved.
    fn judge_living(&self, evidence: &Evidence) -> Option<State> {
        if !self.living {
            return None;
        }
        if !evidence.rules.handover {
            return Some(State::Clear);
        }
        let home = evidence.home?;
        let (version, since) = home.whole?;
        if version < self.version {
            return None;
        }
        let handed = home.handed >= Some(self.version);
        let late = evidence.now >= since + HANDOVER_GRACE;
        if handed || late || !evidence.member {
            return Some(State::Clear);
        }
        Some(State::Told)
    }

    /// Returns whether the home left in a planned stop, with a hand-over under this very ring.
    fn handed_over(&self, evidence: &Evidence) -> bool {
        let before = RingVersion(self.version.0 - 1);
        evidence
            .home
            .is_some_and(|home| home.handed == Some(self.version) && home.told() >= Some(before))
    }

    /// Returns whether the home had told all but what its agents have reported since.
    fn accounted(&self, evidence: &Evidence) -> bool {
        let Some(home) = evidence.home else {
            return !evidence.rules.whole;
        };
        let before = RingVersion(self.version.0 - 1);
        if evidence.rules.whole && home.told() < Some(before) {
            return false;
        }
        home.agents.iter().all(|agent| {
            let report = evidence.reports.get(agent);
            report.is_some_and(|ring| {
                *ring >= evidence.without && (*ring <= evidence.ring || !evidence.rules.bound)
            })
        })
    }
}
