//! Installs a newer ring and updates everything that depends on it.

use chervilring_wire::{AgentId, EntryId, Member, PastRing, Ring, SubmissionId, Time};

use super::change::{entry_names, member_ids, ring_chain};
use super::peer::{AgentChange, HandoverState, Peer};
use super::source::{Source, SourceState};
use super::state::{Membership, Phase};
use super::step::MemberStep;

impl Membership {
    /// Installs a ring if it is newer than the installed one.
    pub(crate) fn install_ring(&mut self, now: Time, ring: &Ring) {
        if ring.version == self.ring.version && ring.retired > self.ring.retired {
            self.ring.retired = ring.retired;
            self.evaluate_sources(now);
        }
        if ring.version <= self.ring.version || ring.members.is_empty() {
            return;
        }
        let old = std::mem::replace(&mut self.ring, ring.clone());
        self.authority.reset();
        self.retirement.reset(ring);
        for member in &ring.members {
            self.retirement.record_incarnation(&member.entry);
        }
        self.retirement.record_installed(&self.own, ring.version);
        self.update_phase(&old);
        self.add_sources(now, &old);
        self.update_peers(now, &old);
        self.queue_moved_ids(&old);
        self.steps.push(MemberStep::Ring(ring.clone()));
        self.prune_reports();
        self.next_renewal = self
            .next_renewal
            .min(now + super::constants::FAST_RENEWAL_INTERVAL);
        self.evaluate_sources(now);
    }

    /// Updates the phase to match the new ring.
    fn update_phase(&mut self, old: &Ring) {
        let is_member = self.ring.contains(&self.own);
        let current = self.ring.member(&self.own.name);
        let replaced = current.is_some_and(|m| m.entry.incarnation > self.own.incarnation);
        match self.phase {
            Phase::Joining if is_member => self.phase = Phase::Member,
            Phase::Leaving(since) if !is_member => self.phase = Phase::Removed(since),
            Phase::Member if !is_member => self.set_evicted(),
            Phase::Joining if replaced || old.contains(&self.own) => self.set_evicted(),
            _ => {}
        }
    }

    pub(crate) fn set_evicted(&mut self) {
        if self.phase != Phase::Evicted {
            self.phase = Phase::Evicted;
            self.steps.push(MemberStep::Evicted);
        }
    }

    /// Adds a source for each former home of ids that move to this entry.
    fn add_sources(&mut self, now: Time, old: &Ring) {
        let rings = ring_chain(old, &self.ring);
        for pair in rings.windows(2) {
            let [from, to] = pair else { continue };
            if !to.homes.contains(&self.own) {
                continue;
            }
            if from.version.0 + 1 == to.version.0 {
                self.add_sources_between(now, from, to);
            } else {
                self.add_source(now, from, to, None);
            }
        }
    }

    fn add_sources_between(&mut self, now: Time, from: &PastRing, to: &PastRing) {
        let joined = !from.homes.contains(&self.own);
        for home in &from.homes {
            if *home != self.own && (joined || !to.homes.contains(home)) {
                self.add_source(now, from, to, Some(home.clone()));
            }
        }
    }

    fn add_source(&mut self, now: Time, from: &PastRing, to: &PastRing, home: Option<EntryId>) {
        let lost = from.members.iter().filter(|e| !to.members.contains(e));
        let only_loss = lost.count() == 1;
        let home_remains = home.as_ref().is_some_and(|h| to.members.contains(h));
        self.sources.push(Source {
            old_homes: entry_names(&from.homes),
            former_home: home,
            new_homes: entry_names(&to.homes),
            version: to.version,
            home_remains,
            only_loss,
            installed_at: now,
            ready_at: None,
            state: SourceState::Pending,
        });
    }

    /// Adds the new ring's members as peers and removes peers that are no longer members.
    fn update_peers(&mut self, now: Time, old: &Ring) {
        let ring = &self.ring;
        let removed = self.peers.keys().filter(|p| !ring.contains(p));
        let removed: Vec<EntryId> = removed.cloned().collect();
        for entry in removed {
            if let Some(mut peer) = self.peers.remove(&entry) {
                let changes = peer.agents.clear();
                self.release_agents(&changes);
            }
        }
        let was_member = old.contains(&self.own);
        for entry in member_ids(&self.ring) {
            if entry == self.own || self.peers.contains_key(&entry) {
                continue;
            }
            let mut peer = self.new_peer(now, &entry);
            if was_member && !old.contains(&entry) {
                peer.handover = HandoverState::Due;
            }
            self.peers.insert(entry, peer);
        }
        let drained = old.homes().any(|m| m.entry == self.own)
            && !self.ring.homes().any(|m| m.entry == self.own);
        for peer in self.peers.values_mut() {
            peer.next_heartbeat = now;
            peer.acked_complete = false;
            if drained || matches!(self.phase, Phase::Leaving(_)) {
                peer.handover = HandoverState::Due;
            }
        }
    }

    fn new_peer(&self, now: Time, entry: &EntryId) -> Peer {
        let mut peer = Peer::new(now, self.links_up.contains(entry));
        for (agent, generation) in self.agent_usage.all() {
            peer.agents.push(AgentChange::Added {
                agent,
                generation,
                awaits_ack: false,
            });
        }
        for in_doubt in &self.in_doubt {
            peer.in_doubt.push(in_doubt.clone());
        }
        // A heartbeat marked complete under this ring leaves out ids that have moved on to the new
        // peer, so ids that are pending here are in doubt there. Entries join only when all past
        // rings are retired, so all former homes have stopped by now.
        for source in &self.sources {
            let until = match source.state {
                SourceState::Pending if !source.home_remains => self.wall_time(now),
                state if state.is_in_doubt() => self.wall_time(source.ready_at.unwrap_or(now)),
                _ => continue,
            };
            peer.in_doubt
                .push(source.to_in_doubt(&self.own.name, until));
        }
        peer
    }

    /// Stops waiting for the acknowledgement of these changes by one peer.
    pub(crate) fn release_agents(&mut self, changes: &[AgentChange]) {
        for change in changes {
            let AgentChange::Added {
                agent,
                generation,
                awaits_ack,
            } = change
            else {
                continue;
            };
            if *awaits_ack {
                self.agent_usage.record_ack(agent, *generation);
            }
        }
    }

    /// Queues each started id for the entry that newly needs to know it, because its home or next
    /// home has changed.
    fn queue_moved_ids(&mut self, old: &Ring) {
        let moved: Vec<(EntryId, SubmissionId)> = self
            .started
            .iter()
            .filter_map(|id| {
                let before = id_recipient(old, &self.own, id, None);
                let home = old.home(id).filter(|m| m.entry == self.own);
                let after = id_recipient(&self.ring, &self.own, id, home)?;
                let known_there = before.is_some_and(|m| m.entry == after.entry);
                (!known_there).then(|| (after.entry.clone(), id))
            })
            .collect();
        for (entry, id) in moved {
            if let Some(peer) = self.peers.get_mut(&entry) {
                peer.ids.push(id);
            }
        }
    }

    /// Drops reports of former members and of unused agents once no id's status depends on them.
    pub(crate) fn prune_reports(&mut self) {
        let ring = &self.ring;
        let sources = &self.sources;
        self.home_reports.retain(|entry| {
            let names_entry = |s: &Source| s.former_home.as_ref() == Some(entry);
            ring.contains(entry) || sources.iter().any(names_entry)
        });
        let (homes, usage) = (&self.home_reports, &self.agent_usage);
        let is_used = |agent: &AgentId| usage.contains(agent) || homes.names_agent(agent);
        self.agent_reports.retain(|agent, _| is_used(agent));
    }
}

/// Returns the member that must know that an id was started: the id's next home if this entry is
/// its home, or its home if it has just moved away.
fn id_recipient<'a>(
    ring: &'a Ring,
    own: &EntryId,
    id: SubmissionId,
    former: Option<&Member>,
) -> Option<&'a Member> {
    let home = ring.home(id)?;
    if home.entry == *own {
        return ring.next_home(id, own);
    }
    former.map(|_| home)
}
