//! Heartbeats, confirmations and what rides on them.

use chervilring_wire::{
    AgentId, CorrelationId, EntryId, Heartbeat, InDoubt, Name, Now, PeerMessage, Ring, RingVersion,
    SubmissionId, Time,
};

use super::constants::{BEAT_AGENTS, BEAT_IDS, DOUBT_LIMIT};
use super::peer::{AgentChange, Hand, OpenBeat, Peer};
use super::source::State;
use super::state::{Membership, Phase};
use super::step::MemberStep;

impl Membership {
    /// Notes that the link to a peer is up.
    pub fn peer_up(&mut self, now: Now, peer: &EntryId) {
        self.observe(now);
        self.up.insert(peer.clone());
        self.settle.lives(peer);
        let Some(peer) = self.peers.get_mut(peer) else {
            return;
        };
        peer.up = true;
        peer.beat = now.mono;
        if peer.hand != Hand::Done {
            peer.hand = Hand::Due;
        }
    }

    /// Notes that the link to a peer is down.
    pub fn peer_down(&mut self, now: Now, peer: &EntryId) {
        self.observe(now);
        self.up.remove(peer);
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.up = false;
        }
    }

    /// Takes in a peer's heartbeat and confirms it.
    pub fn heartbeat(&mut self, now: Now, from: &EntryId, beat: &Heartbeat) {
        self.observe(now);
        self.adopt(now.mono, &beat.ring);
        self.settle.adopted(from, beat.ring.version);
        if self.homes.heartbeat(now.mono, from, beat) {
            for id in &beat.started {
                self.learn(Some(from), *id);
            }
            for doubt in &beat.in_doubt {
                self.add_doubt(doubt);
            }
        }
        self.judge(now.mono);
        if !self.may_confirm(now.mono) {
            return;
        }
        let message = PeerMessage::HeartbeatAck {
            correlation: beat.correlation,
            ring: self.ring_for(beat.ring.version, beat.ring.retired),
            revision: self.revision,
        };
        let to = from.clone();
        self.steps.push(MemberStep::Peer { to, message });
    }

    /// Takes in a peer's confirmation.
    pub fn confirm(&mut self, now: Now, from: &EntryId, ticket: CorrelationId, ring: &Ring) {
        self.observe(now);
        self.adopt(now.mono, ring);
        self.settle.adopted(from, ring.version);
        if let Some(peer) = self.peers.get_mut(from) {
            let Some(beat) = peer.close(ticket) else {
                return;
            };
            peer.ids.confirm(beat.ids);
            peer.doubts.confirm(beat.doubts);
            let changes = peer.agents.confirm(beat.agents);
            if matches!(peer.hand, Hand::Sent(sent) if sent <= ticket) {
                peer.hand = Hand::Done;
            }
            peer.told |= beat.whole && peer.hand == Hand::Done;
            self.release(&changes);
            if ring.version == self.ring.version {
                let at = if self.settings.rules.sent {
                    beat.sent
                } else {
                    now.mono
                };
                self.authority.peer(from, at);
            }
        }
        self.judge(now.mono);
    }

    /// Notes that this entry wants to use an agent; [`Self::drain_allowed`] tells when it may.
    pub fn agent_up(&mut self, now: Now, agent: &AgentId) {
        self.observe(now);
        if self.usage.contains(agent) {
            return;
        }
        if let Some(earlier) = self.usage.earlier(agent) {
            self.agent_gone(now, &earlier);
        }
        let claimed = self.peers.values().filter(|p| p.claimed).count();
        let held = self.settings.rules.agents;
        let round = self.usage.add(agent, if held { claimed as u32 } else { 0 });
        for peer in self.peers.values_mut() {
            peer.agents.push(AgentChange::Used {
                agent: agent.clone(),
                round,
                held: held && peer.claimed,
            });
            peer.beat = now.mono;
        }
    }

    /// Notes that this entry will not use an agent any more, unless it comes up again.
    pub fn agent_gone(&mut self, now: Now, agent: &AgentId) {
        self.observe(now);
        if !self.usage.remove(agent) {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.agents.push(AgentChange::Gone(agent.clone()));
        }
        if !self.homes.uses(agent) {
            self.reports.remove(agent);
        }
    }

    /// Takes in an agent's report of the ids it started that are now at home here.
    pub fn agent_adopted(
        &mut self,
        now: Now,
        agent: &AgentId,
        ring: RingVersion,
        started: &[SubmissionId],
        whole: bool,
    ) {
        self.observe(now);
        for id in started {
            self.learn(None, *id);
        }
        if whole {
            let known = self.reports.entry(agent.clone()).or_default();
            *known = ring.max(*known);
        }
        self.judge(now.mono);
    }

    /// Returns whether this entry may start work on an agent.
    pub fn may_use(&self, agent: &AgentId) -> bool {
        self.usage.allowed(agent)
    }

    /// Drains the agents on which this entry may start work from now on.
    pub fn drain_allowed(&mut self) -> Vec<AgentId> {
        self.usage.drain()
    }

    /// Returns the peers that heartbeats go to: none before this entry has joined, for nobody
    /// keeps what it tells until then.
    pub(crate) fn heard(&self) -> impl Iterator<Item = (&EntryId, &Peer)> {
        let silent = [Phase::Joining, Phase::Left, Phase::Evicted];
        let silent = silent.contains(&self.phase);
        self.peers.iter().filter(move |(_, p)| p.up && !silent)
    }

    /// Sends the heartbeats that are due.
    pub(crate) fn beat(&mut self, now: Time) {
        let due = self.heard().filter(|(_, p)| p.beat <= now);
        let due: Vec<EntryId> = due.map(|(entry, _)| entry.clone()).collect();
        for entry in due {
            self.hand_over(&entry);
            self.beat_to(now, &entry);
        }
    }

    /// Notes that the ids that move to a peer have been sent to it, all of them.
    pub fn handover_sent(&mut self, now: Now, to: &EntryId) {
        self.observe(now);
        let next = CorrelationId(self.ticket.0 + 1);
        let Some(peer) = self.peers.get_mut(to) else {
            return;
        };
        if peer.hand == Hand::Asked {
            peer.hand = Hand::Sent(next);
            peer.beat = now.mono;
        }
    }

    /// Asks the entry to hand its ids over to a peer, if that is due.
    fn hand_over(&mut self, entry: &EntryId) {
        let Some(member) = self.ring.members.iter().find(|m| m.entry == *entry) else {
            return;
        };
        let leaving = matches!(self.phase, Phase::Leaving(_));
        let ring = RingVersion(self.ring.version.0 + u64::from(leaving));
        let Some(peer) = self.peers.get_mut(entry) else {
            return;
        };
        if peer.hand == Hand::Due {
            peer.hand = Hand::Asked;
            let to = member.clone();
            self.steps.push(MemberStep::HandOver { to, ring });
        }
    }

    fn beat_to(&mut self, now: Time, entry: &EntryId) {
        self.ticket.0 += 1;
        let ticket = self.ticket;
        let known = self.settle.version(entry);
        let ring = self.ring_for(known, RingVersion(0));
        let resolved = self.sources.iter().all(|s| s.state != State::Pending);
        let resolved = resolved && !self.known.full();
        let demand = self.demand.clone();
        let Some(peer) = self.peers.get_mut(entry) else {
            return;
        };
        let (started, ids) = peer.ids.head(BEAT_IDS);
        let (changes, agents) = peer.agents.head(BEAT_AGENTS);
        let (doubts, doubt_mark) = peer.doubts.head(DOUBT_LIMIT);
        let told = ids == peer.ids.end() && agents == peer.agents.end();
        let whole = resolved && told && doubt_mark == peer.doubts.end();
        peer.claimed |= whole;
        peer.beat = now + self.settings.heartbeat;
        peer.opened(OpenBeat {
            ticket,
            sent: now,
            ids,
            agents,
            doubts: doubt_mark,
            whole,
        });
        let (agents, gone) = split(changes);
        let message = PeerMessage::Heartbeat(Heartbeat {
            correlation: ticket,
            ring,
            revision: self.revision,
            started,
            agents,
            removed_agents: gone,
            in_doubt: doubts,
            complete: whole,
            demand,
        });
        let to = entry.clone();
        self.steps.push(MemberStep::Peer { to, message });
    }

    /// Returns the ring as a message carries it: without members when the receiver has it.
    fn ring_for(&self, version: RingVersion, settled: RingVersion) -> Ring {
        if version < self.ring.version || settled > self.ring.retired {
            return self.ring.clone();
        }
        Ring {
            version: self.ring.version,
            retired: self.ring.retired,
            ..Ring::default()
        }
    }

    /// Adds a doubt and tells all peers of it.
    pub(crate) fn tell_doubt(&mut self, doubt: &InDoubt) {
        for peer in self.peers.values_mut() {
            peer.doubts.push(doubt.clone());
        }
    }

    /// Adds a peer's doubt; too many become one that covers every id.
    pub(crate) fn add_doubt(&mut self, doubt: &InDoubt) {
        if !self.settings.rules.doubts || self.doubts.contains(doubt) {
            return;
        }
        self.doubts.push(doubt.clone());
        if self.doubts.len() <= DOUBT_LIMIT {
            return;
        }
        let until = self.doubts.iter().map(|d| d.until).max();
        let all = InDoubt {
            old_homes: Vec::new(),
            lost_home: Name::from(""),
            new_homes: Vec::new(),
            successor: Name::from(""),
            until: until.unwrap_or_default(),
        };
        self.doubts.clear();
        self.doubts.push(all.clone());
        self.tell_doubt(&all);
    }
}

/// Splits the changes of a heartbeat into agents used and agents gone, each by its last change.
fn split(changes: Vec<AgentChange>) -> (Vec<AgentId>, Vec<AgentId>) {
    let mut used: Vec<AgentId> = Vec::new();
    let mut gone: Vec<AgentId> = Vec::new();
    for change in changes {
        match change {
            AgentChange::Used { agent, .. } => {
                gone.retain(|a| *a != agent);
                used.push(agent);
            }
            AgentChange::Gone(agent) => {
                used.retain(|a| *a != agent);
                gone.push(agent);
            }
        }
    }
    (used, gone)
}
