//! Calls to the platform's store: the lease, and changes of the ring.

use chervilring_wire::{Member, Now, Ring, Time};

use super::change::{drain, first, replace, room, settle};
use super::constants::{LEAVE_LIMIT, LEAVE_PATIENCE, MEET_PATIENCE, RENEW, RENEW_SOON};
use super::peer::Hand;
use super::state::{Membership, Phase};
use super::step::{MemberStep, StoreCall, StoreEvent};

impl Membership {
    /// Takes in the outcome of a call to the store.
    pub fn store(&mut self, now: Now, event: StoreEvent) {
        self.observe(now);
        self.calling = false;
        let proposed = self.proposed.take();
        match event {
            StoreEvent::Renewed {
                sent,
                kept,
                ring,
                live,
            } => {
                let lease = self.settings.lease;
                self.presence.renewed(now.mono, sent, &live, lease);
                for entry in &live {
                    self.settle.lives(entry);
                }
                if let Some((_, ring)) = &ring {
                    self.adopt(now.mono, ring);
                    self.note_store(now.mono, sent, kept, ring);
                }
                self.judge(now.mono);
                self.propose(now.mono, ring);
            }
            StoreEvent::Cas { done, ring } => {
                let ring = ring.map(|(_, ring)| ring);
                if let Some(ring) = ring.or(proposed.filter(|_| done)) {
                    self.adopt(now.mono, &ring);
                }
                self.renew = self.renew.min(now.mono + RENEW_SOON);
            }
            StoreEvent::Released | StoreEvent::Failed => {}
        }
    }

    /// Prepares a planned stop: other entries become the homes of this one's ids, while it goes on
    /// with what it took on.
    pub fn drain_out(&mut self, now: Now) {
        self.observe(now);
        self.draining = true;
        self.renew = now.mono;
    }

    /// Ends a planned stop: this entry starts nothing any more.
    pub fn leave(&mut self, now: Now) {
        self.observe(now);
        if matches!(self.phase, Phase::Left | Phase::Leaving(_) | Phase::Out(_)) {
            return;
        }
        let member = self.phase == Phase::Member;
        self.phase = if member {
            Phase::Leaving(now.mono)
        } else {
            Phase::Out(now.mono)
        };
        let home = self.ring.homes().any(|m| m.entry == self.own);
        for peer in self.peers.values_mut() {
            if home {
                peer.hand = Hand::Due;
            }
            peer.told = false;
            peer.beat = now.mono;
        }
        self.renew = now.mono;
    }

    /// Notes what the store confirmed of the ring and of this entry's lease.
    fn note_store(&mut self, now: Time, sent: Time, kept: bool, ring: &Ring) {
        self.awake = Some(now);
        if kept && ring.version == self.ring.version {
            let at = if self.settings.rules.sent { sent } else { now };
            self.authority.store(at);
        }
    }

    /// Calls the store when that is due.
    pub(crate) fn call_store(&mut self, now: Time) {
        let over = matches!(self.phase, Phase::Left | Phase::Evicted);
        if self.calling || over || now < self.renew {
            return;
        }
        let changing = matches!(
            self.phase,
            Phase::Joining | Phase::Leaving(_) | Phase::Out(_)
        );
        let soon = changing || self.may_settle(now);
        self.renew = now + if soon { RENEW_SOON } else { RENEW };
        self.call(StoreCall::Renew);
    }

    /// Returns whether this entry is the one to write down that older rings are out of force.
    pub(crate) fn may_settle(&self, now: Time) -> bool {
        let first = self.ring.members.first();
        let first = first.is_some_and(|m| m.entry == self.own);
        let ready = self.settle.ready().is_some_and(|ready| ready <= now);
        first && ready && self.ring.retired < self.ring.version
    }

    fn call(&mut self, call: StoreCall) {
        self.calling = true;
        self.steps.push(MemberStep::Store(call));
    }

    /// Replaces the ring in the store, if a change is due.
    fn propose(&mut self, now: Time, stored: Option<(u64, Ring)>) {
        if matches!(self.phase, Phase::Left | Phase::Evicted) {
            return;
        }
        let (base, next) = match stored {
            None if self.ring.version.0 == 0 && self.phase == Phase::Joining => {
                (0, Some(first(&self.settings.member)))
            }
            Some((base, ring)) if ring.version == self.ring.version => {
                (base, self.next(now, &ring))
            }
            _ => return,
        };
        if let Some(ring) = next {
            self.proposed = Some(ring.clone());
            self.call(StoreCall::Cas { base, ring });
        }
    }

    /// Returns the ring that should follow the one in the store.
    fn next(&mut self, now: Time, ring: &Ring) -> Option<Ring> {
        let open = ring.retired < ring.version;
        match self.phase {
            Phase::Leaving(since) => return self.without_self(now, since, ring),
            Phase::Joining | Phase::Member => {}
            _ => return None,
        }
        if open && self.settle.ready().is_some_and(|ready| ready <= now) {
            return Some(settle(ring));
        }
        if let Some(next) = self.without_lost(now, ring) {
            return Some(next);
        }
        if self.phase == Phase::Member && !open && self.may_drain(ring) {
            return Some(drain(ring, &self.own));
        }
        if self.phase == Phase::Joining && !open && self.has_met(now, ring) {
            let mut members = ring.members.clone();
            members.push(self.settings.member.clone());
            return Some(replace(ring, members));
        }
        None
    }

    /// Returns whether links to all members are up, so that they can pass ids on to this entry as
    /// soon as it has joined; a member that cannot be reached is not waited for long.
    fn has_met(&mut self, now: Time, ring: &Ring) -> bool {
        let until = *self.meet_by.get_or_insert(now + MEET_PATIENCE);
        now >= until || ring.members.iter().all(|m| self.up.contains(&m.entry))
    }

    /// Returns whether this entry is to hand its ids to others and there is another.
    fn may_drain(&self, ring: &Ring) -> bool {
        let own = |m: &Member| m.entry == self.own;
        let home = ring.homes().any(own);
        self.draining && home && ring.homes().any(|m| !own(m))
    }

    /// Returns the ring without its lost members, if there are any.
    fn without_lost(&mut self, now: Time, ring: &Ring) -> Option<Ring> {
        if !room(ring) {
            return None;
        }
        let later = ring.member(&self.own.name);
        if later.is_some_and(|m| m.entry.incarnation > self.own.incarnation) {
            self.evicted();
            return None;
        }
        let rest = ring.members.iter().filter(|m| !self.lost(now, m));
        let mut rest: Vec<Member> = rest.cloned().collect();
        if rest.len() == ring.members.len() {
            return None;
        }
        if rest.is_empty() {
            rest.push(self.settings.member.clone());
        }
        Some(replace(ring, rest))
    }

    /// Returns whether a member has to be evicted.
    fn lost(&self, now: Time, member: &Member) -> bool {
        let entry = &member.entry;
        if *entry == self.own {
            return false;
        }
        if self.settle.declared(entry) || entry.name == self.own.name {
            return true;
        }
        let lease = self.settings.lease;
        let throughout = self.presence.throughout(now, lease) || !self.settings.rules.contact;
        let replaced = self.presence.succeeded(entry);
        !self.presence.alive(entry) && (throughout || replaced)
    }

    /// Returns the ring without this entry, once its ids have been taken over.
    fn without_self(&self, now: Time, since: Time, ring: &Ring) -> Option<Ring> {
        if ring.members.len() == 1 {
            return None;
        }
        let open = ring.retired < ring.version;
        let told = self.peers.values().all(|p| p.told);
        if now < since + LEAVE_PATIENCE && (open || !told) {
            return None;
        }
        let rest = ring.members.iter().filter(|m| m.entry != self.own);
        let next = replace(ring, rest.cloned().collect());
        Some(if open { next } else { settle(&next) })
    }

    /// Ends a planned stop when it is done, or has taken too long.
    pub(crate) fn finish(&mut self, now: Time) {
        let (since, out) = match self.phase {
            Phase::Leaving(since) => (since, false),
            Phase::Out(since) => (since, true),
            _ => return,
        };
        let alone = self.peers.is_empty();
        let known = self.peers.iter().filter(|(_, p)| p.up);
        let known = known.map(|(entry, _)| self.settle.version(entry));
        let heard = known.min().is_none_or(|v| v >= self.ring.version);
        let done = if out {
            heard
        } else {
            alone && self.ring.members.len() <= 1
        };
        if !done && now < since + LEAVE_LIMIT {
            return;
        }
        if !self.released && !self.calling && now < since + LEAVE_LIMIT {
            self.released = true;
            self.call(StoreCall::Release);
            return;
        }
        if self.calling && now < since + LEAVE_LIMIT {
            return;
        }
        self.phase = Phase::Left;
        self.steps.push(MemberStep::Left);
    }
}
