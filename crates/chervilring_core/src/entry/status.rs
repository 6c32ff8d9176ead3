//! What an entry tells operators.

use chervilring_wire::{Name, Now, Revision};
use serde::Serialize;

use super::{Entry, EntryCounters};
use crate::dispatch::DispatchStatus;
use crate::membership::MemberStatus;

/// The state of an entry.
#[derive(Debug, Serialize)]
pub struct EntryStatus {
    /// The entry's name.
    pub entry: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it takes work.
    pub ready: bool,
    /// The configuration in force.
    pub revision: Revision,
    /// The services in force.
    pub services: Vec<Name>,
    /// The agents whose link is up.
    pub agents: Vec<AgentView>,
    /// The other entries whose link is up.
    pub peers: Vec<PeerView>,
    /// The state of the ring.
    pub membership: MemberStatus,
    /// Queues and upstreams.
    pub dispatch: DispatchStatus,
    /// Ids remembered.
    pub ids: usize,
    /// Submissions running.
    pub running: usize,
    /// Callers who wait.
    pub waiting: usize,
    /// Bytes of answers kept.
    pub answer_bytes: usize,
}

/// An agent as an entry sees it.
#[derive(Debug, Serialize)]
pub struct AgentView {
    /// The agent's name.
    pub agent: Name,
    /// The configuration it has in force.
    pub revision: Revision,
}

/// Another entry as an entry sees it.
#[derive(Debug, Serialize)]
pub struct PeerView {
    /// The entry's name.
    pub entry: Name,
    /// The configuration it has in force.
    pub revision: Revision,
}

impl Entry {
    /// Returns the state of the entry.
    pub fn status(&self, now: Now) -> EntryStatus {
        let services = self.config.services.keys();
        let mut agents: Vec<AgentView> = self
            .agents
            .revisions()
            .map(|(id, revision)| AgentView {
                agent: id.name.clone(),
                revision,
            })
            .collect();
        agents.sort_by(|a, b| a.agent.cmp(&b.agent));
        let mut peers: Vec<PeerView> = self
            .peers
            .revisions()
            .map(|(id, revision)| PeerView {
                entry: id.name.clone(),
                revision,
            })
            .collect();
        peers.sort_by(|a, b| a.entry.cmp(&b.entry));
        EntryStatus {
            entry: self.id.name.clone(),
            incarnation: self.id.incarnation.0,
            ready: self.is_ready(),
            revision: self.config.revision,
            services: services.map(|name| name.0.clone()).collect(),
            agents,
            peers,
            membership: self.membership.status(now),
            dispatch: self.dispatcher.status(now.mono),
            ids: self.ids.len(),
            running: self.ids.running(),
            waiting: self.waiting(),
            answer_bytes: self.ids.kept_bytes(),
        }
    }

    /// Returns what the entry has counted.
    pub fn counters(&mut self) -> &EntryCounters {
        self.counters.dropped = self.ids.dropped();
        &self.counters
    }

    /// Returns the dispatcher's counters.
    pub fn dispatch_counters(&self) -> &crate::dispatch::DispatchCounters {
        self.dispatcher.counters()
    }
}
