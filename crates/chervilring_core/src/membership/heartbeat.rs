//! Heartbeats, their acknowledgements, and the state that they carry.

use chervilring_wire::{
    AgentId, CorrelationId, EntryId, Heartbeat, InDoubt, Name, Now, PeerMessage, Ring, RingVersion,
    SubmissionId, Time,
};

use super::constants::{HEARTBEAT_AGENT_LIMIT, HEARTBEAT_ID_LIMIT, IN_DOUBT_LIMIT};
use super::peer::{AgentChange, HandoverState, Peer, UnackedHeartbeat};
use super::source::SourceState;
use super::state::{Membership, Phase};
use super::step::MemberStep;

impl Membership {
    /// Records that the link to a peer is up.
    pub fn peer_up(&mut self, now: Now, peer: &EntryId) {
        self.record_time(now);
        self.links_up.insert(peer.clone());
        self.retirement.record_incarnation(peer);
        let Some(peer) = self.peers.get_mut(peer) else {
            return;
        };
        peer.link_up = true;
        peer.next_heartbeat = now.mono;
        if peer.handover != HandoverState::Idle {
            peer.handover = HandoverState::Due;
        }
    }

    /// Records that the link to a peer is down.
    pub fn peer_down(&mut self, now: Now, peer: &EntryId) {
        self.record_time(now);
        self.links_up.remove(peer);
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.link_up = false;
        }
    }

    /// Processes a peer's heartbeat and acknowledges it.
    pub fn heartbeat(&mut self, now: Now, from: &EntryId, heartbeat: &Heartbeat) {
        self.record_time(now);
        self.install_ring(now.mono, &heartbeat.ring);
        self.retirement
            .record_installed(from, heartbeat.ring.version);
        if self
            .home_reports
            .record_heartbeat(now.mono, from, heartbeat)
        {
            for id in &heartbeat.started {
                self.add_started(Some(from), *id);
            }
            for ids in &heartbeat.in_doubt {
                self.add_in_doubt(ids);
            }
        }
        self.evaluate_sources(now.mono);
        if !self.may_acknowledge(now.mono) {
            return;
        }
        let message = PeerMessage::HeartbeatAck {
            correlation: heartbeat.correlation,
            ring: self.ring_for_peer(heartbeat.ring.version, heartbeat.ring.retired),
            revision: self.revision,
        };
        let to = from.clone();
        self.steps.push(MemberStep::Peer { to, message });
    }

    /// Processes a peer's acknowledgement of a heartbeat.
    pub fn heartbeat_ack(
        &mut self,
        now: Now,
        from: &EntryId,
        correlation: CorrelationId,
        ring: &Ring,
    ) {
        self.record_time(now);
        self.install_ring(now.mono, ring);
        self.retirement.record_installed(from, ring.version);
        if let Some(peer) = self.peers.get_mut(from) {
            let Some(heartbeat) = peer.take_unacked(correlation) else {
                return;
            };
            peer.ids.acknowledge(heartbeat.ids_end);
            peer.in_doubt.acknowledge(heartbeat.in_doubt_end);
            let changes = peer.agents.acknowledge(heartbeat.agents_end);
            if matches!(peer.handover, HandoverState::Sent(sent) if sent <= correlation) {
                peer.handover = HandoverState::Idle;
            }
            peer.acked_complete |= heartbeat.complete && peer.handover == HandoverState::Idle;
            self.release_agents(&changes);
            if ring.version == self.ring.version {
                let at = if self.settings.rules.send_time {
                    heartbeat.sent_at
                } else {
                    now.mono
                };
                self.authority.record_peer_ack(from, at);
            }
        }
        self.evaluate_sources(now.mono);
    }

    /// Announces to the peers that this entry will use an agent. [`Self::drain_allowed`] returns
    /// the agent once starts on it are allowed.
    pub fn add_agent(&mut self, now: Now, agent: &AgentId) {
        self.record_time(now);
        if self.agent_usage.contains(agent) {
            return;
        }
        if let Some(earlier) = self.agent_usage.earlier_incarnation(agent) {
            self.remove_agent(now, &earlier);
        }
        let pending_acks = self.peers.values().filter(|p| p.sent_complete).count();
        let await_acks = self.settings.rules.agents_announced;
        let generation = self
            .agent_usage
            .add(agent, if await_acks { pending_acks as u32 } else { 0 });
        for peer in self.peers.values_mut() {
            peer.agents.push(AgentChange::Added {
                agent: agent.clone(),
                generation,
                awaits_ack: await_acks && peer.sent_complete,
            });
            peer.next_heartbeat = now.mono;
        }
    }

    /// Announces to the peers that this entry no longer uses an agent.
    pub fn remove_agent(&mut self, now: Now, agent: &AgentId) {
        self.record_time(now);
        if !self.agent_usage.remove(agent) {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.agents.push(AgentChange::Removed(agent.clone()));
        }
        if !self.home_reports.names_agent(agent) {
            self.agent_reports.remove(agent);
        }
    }

    /// Processes an agent's report, after it installed a ring, of the ids that it started and whose
    /// home is now this entry. `complete` states whether the agent's record of started ids has no
    /// gaps.
    pub fn agent_installed(
        &mut self,
        now: Now,
        agent: &AgentId,
        ring: RingVersion,
        started: &[SubmissionId],
        complete: bool,
    ) {
        self.record_time(now);
        for id in started {
            self.add_started(None, *id);
        }
        if complete {
            let known = self.agent_reports.entry(agent.clone()).or_default();
            *known = ring.max(*known);
        }
        self.evaluate_sources(now.mono);
    }

    /// Returns whether this entry may start work on an agent.
    pub fn may_use(&self, agent: &AgentId) -> bool {
        self.agent_usage.allowed(agent)
    }

    /// Drains the agents on which this entry may start work from now on.
    pub fn drain_allowed(&mut self) -> Vec<AgentId> {
        self.agent_usage.drain_allowed()
    }

    /// Returns the peers to which heartbeats are sent. There are none before this entry has joined,
    /// because the peers keep no state for an entry outside of the ring.
    pub(crate) fn heartbeat_peers(&self) -> impl Iterator<Item = (&EntryId, &Peer)> {
        let silent_phases = [Phase::Joining, Phase::Stopped, Phase::Evicted];
        let silent = silent_phases.contains(&self.phase);
        self.peers.iter().filter(move |(_, p)| p.link_up && !silent)
    }

    /// Sends the heartbeats that are due.
    pub(crate) fn send_due_heartbeats(&mut self, now: Time) {
        let due = self
            .heartbeat_peers()
            .filter(|(_, p)| p.next_heartbeat <= now);
        let due: Vec<EntryId> = due.map(|(entry, _)| entry.clone()).collect();
        for entry in due {
            self.request_handover(&entry);
            self.send_heartbeat(now, &entry);
        }
    }

    /// Records that all ids that move to a peer have been sent to it.
    pub fn handover_sent(&mut self, now: Now, to: &EntryId) {
        self.record_time(now);
        let next = CorrelationId(self.last_correlation.0 + 1);
        let Some(peer) = self.peers.get_mut(to) else {
            return;
        };
        if peer.handover == HandoverState::Requested {
            peer.handover = HandoverState::Sent(next);
            peer.next_heartbeat = now.mono;
        }
    }

    /// Requests the hand-over of ids to a peer, if it is due.
    fn request_handover(&mut self, entry: &EntryId) {
        let Some(member) = self.ring.members.iter().find(|m| m.entry == *entry) else {
            return;
        };
        let leaving = matches!(self.phase, Phase::Leaving(_));
        let ring = RingVersion(self.ring.version.0 + u64::from(leaving));
        let Some(peer) = self.peers.get_mut(entry) else {
            return;
        };
        if peer.handover == HandoverState::Due {
            peer.handover = HandoverState::Requested;
            let to = member.clone();
            self.steps.push(MemberStep::HandOver { to, ring });
        }
    }

    fn send_heartbeat(&mut self, now: Time, entry: &EntryId) {
        self.last_correlation.0 += 1;
        let correlation = self.last_correlation;
        let installed = self.retirement.installed_version(entry);
        let ring = self.ring_for_peer(installed, RingVersion(0));
        let resolved = self.sources.iter().all(|s| s.state != SourceState::Pending);
        let resolved = resolved && !self.started.overflowed();
        let demand = self.demand.clone();
        let Some(peer) = self.peers.get_mut(entry) else {
            return;
        };
        let (started, ids_end) = peer.ids.head(HEARTBEAT_ID_LIMIT);
        let (changes, agents_end) = peer.agents.head(HEARTBEAT_AGENT_LIMIT);
        let (in_doubt, in_doubt_end) = peer.in_doubt.head(IN_DOUBT_LIMIT);
        let all_included = ids_end == peer.ids.end() && agents_end == peer.agents.end();
        let complete = resolved && all_included && in_doubt_end == peer.in_doubt.end();
        peer.sent_complete |= complete;
        peer.next_heartbeat = now + self.settings.heartbeat;
        peer.record_sent(UnackedHeartbeat {
            correlation,
            sent_at: now,
            ids_end,
            agents_end,
            in_doubt_end,
            complete,
        });
        let (agents, removed) = split_changes(changes);
        let message = PeerMessage::Heartbeat(Heartbeat {
            correlation,
            ring,
            revision: self.revision,
            started,
            agents,
            removed_agents: removed,
            in_doubt,
            complete,
            demand,
        });
        let to = entry.clone();
        self.steps.push(MemberStep::Peer { to, message });
    }

    /// Returns the ring for a message: without members if the receiver, which has installed
    /// `version` and knows the rings before `retired` to be out of force, already has this ring.
    fn ring_for_peer(&self, version: RingVersion, retired: RingVersion) -> Ring {
        if version < self.ring.version || retired > self.ring.retired {
            return self.ring.clone();
        }
        Ring {
            version: self.ring.version,
            retired: self.ring.retired,
            ..Ring::default()
        }
    }

    /// Queues ids in doubt for all peers.
    pub(crate) fn broadcast_in_doubt(&mut self, ids: &InDoubt) {
        for peer in self.peers.values_mut() {
            peer.in_doubt.push(ids.clone());
        }
    }

    /// Adds a peer's ids in doubt. When there are more than [`IN_DOUBT_LIMIT`] sets, they are
    /// replaced by one set that covers every id.
    pub(crate) fn add_in_doubt(&mut self, ids: &InDoubt) {
        if !self.settings.rules.pass_in_doubt || self.in_doubt.contains(ids) {
            return;
        }
        self.in_doubt.push(ids.clone());
        if self.in_doubt.len() <= IN_DOUBT_LIMIT {
            return;
        }
        let until = self.in_doubt.iter().map(|d| d.until).max();
        let all = InDoubt {
            old_homes: Vec::new(),
            lost_home: Name::from(""),
            new_homes: Vec::new(),
            successor: Name::from(""),
            until: until.unwrap_or_default(),
        };
        self.in_doubt.clear();
        self.in_doubt.push(all.clone());
        self.broadcast_in_doubt(&all);
    }
}

/// Splits the changes in a heartbeat into agents added and agents removed, by the last change of
/// each agent.
fn split_changes(changes: Vec<AgentChange>) -> (Vec<AgentId>, Vec<AgentId>) {
    let mut used: Vec<AgentId> = Vec::new();
    let mut removed: Vec<AgentId> = Vec::new();
    for change in changes {
        match change {
            AgentChange::Added { agent, .. } => {
                removed.retain(|a| *a != agent);
                used.push(agent);
            }
            AgentChange::Removed(agent) => {
                used.retain(|a| *a != agent);
                removed.push(agent);
            }
        }
    }
    (used, removed)
}
