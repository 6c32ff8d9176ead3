//! Adopting a newer ring.

use chervilring_wire::{AgentId, EntryId, Member, PastRing, Ring, SubmissionId, Time};

use super::change::{chain, ids, names};
use super::peer::{AgentChange, Hand, Peer};
use super::source::{Source, State};
use super::state::{Membership, Phase};
use super::step::MemberStep;

impl Membership {
    /// Adopts a ring if it is newer than the known one.
    pub(crate) fn adopt(&mut self, now: Time, ring: &Ring) {
        if ring.version == self.ring.version && ring.retired > self.ring.retired {
            self.ring.retired = ring.retired;
            self.judge(now);
        }
        if ring.version <= self.ring.version || ring.members.is_empty() {
            return;
        }
        let old = std::mem::replace(&mut self.ring, ring.clone());
        self.authority.reset();
        self.settle.reset(ring);
        for member in &ring.members {
            self.settle.lives(&member.entry);
        }
        self.settle.adopted(&self.own, ring.version);
        self.enter(&old);
        self.add_sources(now, &old);
        self.meet_peers(now, &old);
        self.tell_moved(&old);
        self.steps.push(MemberStep::Ring(ring.clone()));
        self.forget_homes();
        self.renew = self.renew.min(now + super::constants::RENEW_SOON);
        self.judge(now);
    }

    /// Moves to the phase that goes with the new ring.
    fn enter(&mut self, old: &Ring) {
        let inside = self.ring.contains(&self.own);
        let later = self.ring.member(&self.own.name);
        let replaced = later.is_some_and(|m| m.entry.incarnation > self.own.incarnation);
        match self.phase {
            Phase::Joining if inside => self.phase = Phase::Member,
            Phase::Leaving(since) if !inside => self.phase = Phase::Out(since),
            Phase::Member if !inside => self.evicted(),
            Phase::Joining if replaced || old.contains(&self.own) => self.evicted(),
            _ => {}
        }
    }

    pub(crate) fn evicted(&mut self) {
        if self.phase != Phase::Evicted {
            self.phase = Phase::Evicted;
            self.steps.push(MemberStep::Evicted);
        }
    }

    /// Adds the former homes of the ids that move here.
    fn add_sources(&mut self, now: Time, old: &Ring) {
        let rings = chain(old, &self.ring);
        for pair in rings.windows(2) {
            let [from, to] = pair else { continue };
            if !to.homes.contains(&self.own) {
                continue;
            }
            if from.version.0 + 1 == to.version.0 {
                self.add_pair(now, from, to);
            } else {
                self.add_source(now, from, to, None);
            }
        }
    }

    fn add_pair(&mut self, now: Time, from: &PastRing, to: &PastRing) {
        let joined = !from.homes.contains(&self.own);
        for home in &from.homes {
            if *home != self.own && (joined || !to.homes.contains(home)) {
                self.add_source(now, from, to, Some(home.clone()));
            }
        }
    }

    fn add_source(&mut self, now: Time, from: &PastRing, to: &PastRing, home: Option<EntryId>) {
        let left = from.members.iter().filter(|e| !to.members.contains(e));
        let alone = left.count() == 1;
        let living = home.as_ref().is_some_and(|h| to.members.contains(h));
        self.sources.push(Source {
            old: names(&from.homes),
            home,
            new: names(&to.homes),
            version: to.version,
            living,
            alone,
            since: now,
            ready: None,
            state: State::Pending,
        });
    }

    /// Takes up new peers and drops former ones.
    fn meet_peers(&mut self, now: Time, old: &Ring) {
        let ring = &self.ring;
        let gone = self.peers.keys().filter(|p| !ring.contains(p));
        let gone: Vec<EntryId> = gone.cloned().collect();
        for entry in gone {
            if let Some(mut peer) = self.peers.remove(&entry) {
                let changes = peer.agents.clear();
                self.release(&changes);
            }
        }
        let inside = old.contains(&self.own);
        for entry in ids(&self.ring) {
            if entry == self.own || self.peers.contains_key(&entry) {
                continue;
            }
            let mut peer = self.new_peer(now, &entry);
            if inside && !old.contains(&entry) {
                peer.hand = Hand::Due;
            }
            self.peers.insert(entry, peer);
        }
        let drained = old.homes().any(|m| m.entry == self.own)
            && !self.ring.homes().any(|m| m.entry == self.own);
        for peer in self.peers.values_mut() {
            peer.beat = now;
            peer.told = false;
            if drained || matches!(self.phase, Phase::Leaving(_)) {
                peer.hand = Hand::Due;
            }
        }
    }

    fn new_peer(&self, now: Time, entry: &EntryId) -> Peer {
        let mut peer = Peer::new(now, self.up.contains(entry));
        for (agent, round) in self.usage.all() {
            peer.agents.push(AgentChange::Used {
                agent,
                round,
                held: false,
            });
        }
        for doubt in &self.doubts {
            peer.doubts.push(doubt.clone());
        }
        // Reports under this ring leave out what has moved on to the new peer: what is pending
        // here is in doubt there. Entries join settled rings only, so all former homes have
        // stopped by now.
        for source in &self.sources {
            let until = match source.state {
                State::Pending if !source.living => self.stamp(now),
                state if state.is_doubtful() => self.stamp(source.ready.unwrap_or(now)),
                _ => continue,
            };
            peer.doubts.push(source.doubt(&self.own.name, until));
        }
        peer
    }

    /// Notes that changes need no confirmation any more.
    pub(crate) fn release(&mut self, changes: &[AgentChange]) {
        for change in changes {
            let AgentChange::Used { agent, round, held } = change else {
                continue;
            };
            if *held {
                self.usage.released(agent, *round);
            }
        }
    }

    /// Queues the ids whose home or next home has changed.
    fn tell_moved(&mut self, old: &Ring) {
        let moved: Vec<(EntryId, SubmissionId)> = self
            .known
            .iter()
            .filter_map(|id| {
                let before = target(old, &self.own, id, None);
                let home = old.home(id).filter(|m| m.entry == self.own);
                let after = target(&self.ring, &self.own, id, home)?;
                let told = before.is_some_and(|m| m.entry == after.entry);
                (!told).then(|| (after.entry.clone(), id))
            })
            .collect();
        for (entry, id) in moved {
            if let Some(peer) = self.peers.get_mut(&entry) {
                peer.ids.push(id);
            }
        }
    }

    /// Drops what former members have told, once no id's standing depends on it.
    pub(crate) fn forget_homes(&mut self) {
        let ring = &self.ring;
        let sources = &self.sources;
        self.homes.retain(|entry| {
            let named = |s: &Source| s.home.as_ref() == Some(entry);
            ring.contains(entry) || sources.iter().any(named)
        });
        let (homes, usage) = (&self.homes, &self.usage);
        let used = |agent: &AgentId| usage.contains(agent) || homes.uses(agent);
        self.reports.retain(|agent, _| used(agent));
    }
}

/// Returns who has to be told that an id was started: its next home if it is at home here, its
/// home if it just moved away.
fn target<'a>(
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
