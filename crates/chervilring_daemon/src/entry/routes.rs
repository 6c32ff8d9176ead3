//! Which process is at the other end of each link.

use chervilring_wire::{AgentId, EntryId, Time};
use rustc_hash::FxHashMap;

use crate::net::LinkId;

/// The process at the other end of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Remote {
    /// It has not said yet; the link is closed at this point in time.
    Unknown(Time),
    /// Another entry.
    Peer(EntryId),
    /// An agent.
    Agent(AgentId),
}

/// The processes at the other ends of the links.
#[derive(Debug, Default)]
pub(super) struct Routes {
    remotes: FxHashMap<LinkId, Remote>,
    peers: FxHashMap<EntryId, LinkId>,
    agents: FxHashMap<AgentId, LinkId>,
}

impl Routes {
    /// Adds a link whose remote has until a point in time to say who it is.
    pub(super) fn add(&mut self, link: LinkId, until: Time) {
        self.remotes.insert(link, Remote::Unknown(until));
    }

    /// Records who is at the other end.
    pub(super) fn identify(&mut self, link: LinkId, remote: Remote) {
        match &remote {
            Remote::Unknown(_) => {}
            Remote::Peer(peer) => {
                self.peers.insert(peer.clone(), link);
            }
            Remote::Agent(agent) => {
                self.agents.insert(agent.clone(), link);
            }
        }
        self.remotes.insert(link, remote);
    }

    /// Returns who is at the other end of a link.
    pub(super) fn remote(&self, link: LinkId) -> Option<&Remote> {
        self.remotes.get(&link)
    }

    /// Removes a link and returns who was at its other end.
    pub(super) fn remove(&mut self, link: LinkId) -> Option<Remote> {
        let remote = self.remotes.remove(&link)?;
        match &remote {
            Remote::Unknown(_) => {}
            Remote::Peer(peer) => {
                self.peers.remove(peer);
            }
            Remote::Agent(agent) => {
                self.agents.remove(agent);
            }
        }
        Some(remote)
    }

    /// Returns the link to another entry.
    pub(super) fn peer(&self, peer: &EntryId) -> Option<LinkId> {
        self.peers.get(peer).copied()
    }

    /// Returns the link to an agent.
    pub(super) fn agent(&self, agent: &AgentId) -> Option<LinkId> {
        self.agents.get(agent).copied()
    }

    /// Returns the links to any life of a process of this kind and name.
    pub(super) fn same_name(&self, remote: &Remote) -> Vec<LinkId> {
        let same = |other: &Remote| match (other, remote) {
            (Remote::Peer(a), Remote::Peer(b)) => a.name == b.name,
            (Remote::Agent(a), Remote::Agent(b)) => a.name == b.name,
            _ => false,
        };
        let matching = self.remotes.iter().filter(|(_, other)| same(other));
        matching.map(|(link, _)| *link).collect()
    }

    /// Returns whether a link to an entry of this name is up.
    pub(super) fn has_peer(&self, name: &str) -> bool {
        self.peers.keys().any(|peer| &*peer.name == name)
    }

    /// Returns the links whose remote has not said in time who it is.
    pub(super) fn silent(&self, now: Time) -> Vec<LinkId> {
        let silent = |remote: &Remote| matches!(remote, Remote::Unknown(until) if *until <= now);
        let matching = self.remotes.iter().filter(|(_, remote)| silent(remote));
        matching.map(|(link, _)| *link).collect()
    }
}
