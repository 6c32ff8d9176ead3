//! What the other entries have told of the work they started.

use chervilring_wire::{AgentId, CorrelationId, EntryId, Heartbeat, RingVersion, Time};
use rustc_hash::{FxHashMap, FxHashSet};

/// What one other entry has told.
#[derive(Debug, Default)]
pub(crate) struct Home {
    ticket: CorrelationId,
    pub(crate) agents: FxHashSet<AgentId>,
    pub(crate) whole: Option<(RingVersion, Time)>,
    pub(crate) handed: Option<RingVersion>,
}

impl Home {
    /// Returns the ring under which the entry has told all that it started.
    pub(crate) fn told(&self) -> Option<RingVersion> {
        self.whole.map(|(version, _)| version)
    }
}

/// What all other entries have told.
#[derive(Debug, Default)]
pub(crate) struct Homes(FxHashMap<EntryId, Home>);

impl Homes {
    /// Returns what an entry has told.
    pub(crate) fn get(&self, entry: &EntryId) -> Option<&Home> {
        self.0.get(entry)
    }

    /// Takes in a heartbeat; returns false when a later one came in before.
    pub(crate) fn heartbeat(&mut self, now: Time, from: &EntryId, beat: &Heartbeat) -> bool {
        let home = self.0.entry(from.clone()).or_default();
        if beat.correlation <= home.ticket {
            return false;
        }
        home.ticket = beat.correlation;
        home.agents.extend(beat.agents.iter().cloned());
        for agent in &beat.removed_agents {
            home.agents.remove(agent);
        }
        let version = beat.ring.version;
        let since = home.whole.filter(|(v, _)| *v == version);
        home.whole = beat.complete.then(|| since.unwrap_or((version, now)));
        true
    }

    /// Notes that a hand-over has come in whole.
    pub(crate) fn handed(&mut self, from: &EntryId, ring: RingVersion) {
        let home = self.0.entry(from.clone()).or_default();
        home.handed = home.handed.max(Some(ring));
    }

    /// Drops entries that nothing depends on any more.
    pub(crate) fn retain(&mut self, needed: impl Fn(&EntryId) -> bool) {
        self.0.retain(|entry, _| needed(entry));
    }

    /// Returns whether any entry still names an agent.
    pub(crate) fn uses(&self, agent: &AgentId) -> bool {
        self.0.values().any(|home| home.agents.contains(agent))
    }
}
