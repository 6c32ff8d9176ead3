//! What the membership tells operators.

use chervilring_wire::Now;

use super::peer::Peer;
use super::state::{Membership, Phase};
use super::step::{MemberStatus, PeerStatus};

impl Membership {
    /// Returns the state, for `status`.
    pub fn status(&self, now: Now) -> MemberStatus {
        let others = self.ring.members.iter().filter(|m| m.entry != self.own);
        let peers = others.map(|m| PeerStatus {
            name: m.entry.name.clone(),
            domain: m.domain.0.clone(),
            up: self.up.contains(&m.entry),
            ring: self.settle.version(&m.entry),
            backlog: self.peers.get(&m.entry).map_or(0, Peer::backlog),
        });
        let (agents, allowed) = self.usage.count();
        MemberStatus {
            phase: match self.phase {
                Phase::Joining => "joining",
                Phase::Member => "member",
                Phase::Leaving(_) | Phase::Out(_) => "leaving",
                Phase::Evicted => "evicted",
                Phase::Left => "left",
            },
            ring: self.ring.version,
            settled: self.ring.retired,
            authority: self
                .authority(now)
                .map(|until| now.mono.duration_until(until).as_millis()),
            peers: peers.collect(),
            sources: self.sources.len(),
            doubts: self.doubts.len(),
            started: self.known.len(),
            agents,
            allowed,
        }
    }
}
