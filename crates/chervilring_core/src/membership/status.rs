//! The membership's status report for operators.

use chervilring_wire::Now;

use super::peer::Peer;
use super::state::{Membership, Phase};
use super::step::{MemberStatus, PeerStatus};

impl Membership {
    /// Returns the status of the membership.
    pub fn status(&self, now: Now) -> MemberStatus {
        let others = self.ring.members.iter().filter(|m| m.entry != self.own);
        let peers = others.map(|m| PeerStatus {
            name: m.entry.name.clone(),
            domain: m.domain.0.clone(),
            up: self.links_up.contains(&m.entry),
            ring: self.retirement.installed_version(&m.entry),
            backlog: self.peers.get(&m.entry).map_or(0, Peer::backlog),
        });
        let (agents, allowed_agents) = self.agent_usage.count();
        MemberStatus {
            phase: match self.phase {
                Phase::Joining => "joining",
                Phase::Member => "member",
                Phase::Leaving(_) | Phase::Removed(_) => "leaving",
                Phase::Evicted => "evicted",
                Phase::Stopped => "left",
            },
            ring: self.ring.version,
            retired: self.ring.retired,
            authority_ms: self
                .authority(now)
                .map(|until| now.mono.duration_until(until).as_millis()),
            peers: peers.collect(),
            sources: self.sources.len(),
            in_doubt: self.in_doubt.len(),
            started: self.started.len(),
            agents,
            allowed_agents,
        }
    }
}
