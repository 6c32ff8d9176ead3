//! What the other entries have reported of the work that they started.

use chervilring_wire::{AgentId, CorrelationId, EntryId, Heartbeat, RingVersion, Time};
use rustc_hash::{FxHashMap, FxHashSet};

/// The reports of one other entry.
#[derive(Debug, Default)]
pub(crate) struct HomeReport {
    last_correlation: CorrelationId,
    pub(crate) agents: FxHashSet<AgentId>,
    /// The ring under which everything is reported, and since when.
    pub(crate) complete: Option<(RingVersion, Time)>,
    pub(crate) handover: Option<RingVersion>,
}

impl HomeReport {
    /// Returns the ring under which the entry has reported everything that it started.
    pub(crate) fn complete_version(&self) -> Option<RingVersion> {
        self.complete.map(|(version, _)| version)
    }
}

/// The reports of all other entries.
#[derive(Debug, Default)]
pub(crate) struct HomeReports(FxHashMap<EntryId, HomeReport>);

impl HomeReports {
    /// Returns the reports of an entry.
    pub(crate) fn get(&self, entry: &EntryId) -> Option<&HomeReport> {
        self.0.get(entry)
    }

    /// Records a heartbeat. Returns `false` if a later one has already arrived.
    pub(crate) fn record_heartbeat(
        &mut self,
        now: Time,
        from: &EntryId,
        heartbeat: &Heartbeat,
    ) -> bool {
        let report = self.0.entry(from.clone()).or_default();
        if heartbeat.correlation <= report.last_correlation {
            return false;
        }
        report.last_correlation = heartbeat.correlation;
        report.agents.extend(heartbeat.agents.iter().cloned());
        for agent in &heartbeat.removed_agents {
            report.agents.remove(agent);
        }
        let version = heartbeat.ring.version;
        let since = report.complete.filter(|(v, _)| *v == version);
        report.complete = heartbeat.complete.then(|| since.unwrap_or((version, now)));
        true
    }

    /// Records that a hand-over has arrived completely.
    pub(crate) fn record_handover(&mut self, from: &EntryId, ring: RingVersion) {
        let report = self.0.entry(from.clone()).or_default();
        report.handover = report.handover.max(Some(ring));
    }

    /// Drops the reports of entries that are no longer needed.
    pub(crate) fn retain(&mut self, needed: impl Fn(&EntryId) -> bool) {
        self.0.retain(|entry, _| needed(entry));
    }

    /// Returns whether any entry still reports an agent as used.
    pub(crate) fn names_agent(&self, agent: &AgentId) -> bool {
        self.0.values().any(|report| report.agents.contains(agent))
    }
}
