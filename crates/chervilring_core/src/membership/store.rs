//! Calls to the platform's store, which renew the lease and replace the ring.

use chervilring_wire::{Member, Now, Ring, Time};

use super::change::{
    below_unretired_limit, first_ring, with_draining, with_members, with_past_retired,
};
use super::constants::{
    FAST_RENEWAL_INTERVAL, JOIN_LINK_TIMEOUT, LEAVE_HANDOVER_TIMEOUT, LEAVE_TIMEOUT,
    RENEWAL_INTERVAL,
};
use super::peer::HandoverState;
use super::state::{Membership, Phase};
use super::step::{MemberStep, StoreCall, StoreEvent};

impl Membership {
    /// Processes the outcome of a call to the store.
    pub fn handle_store_event(&mut self, now: Now, event: StoreEvent) {
        self.record_time(now);
        self.call_pending = false;
        let proposed = self.proposed_ring.take();
        match event {
            StoreEvent::Renewed {
                sent_at,
                lease_held,
                ring,
                live_entries,
            } => {
                let lease = self.settings.lease;
                self.leases
                    .record_renewal(now.mono, sent_at, &live_entries, lease);
                for entry in &live_entries {
                    self.retirement.record_incarnation(entry);
                }
                if let Some((_, ring)) = &ring {
                    self.install_ring(now.mono, ring);
                    self.record_store_ack(now.mono, sent_at, lease_held, ring);
                }
                self.evaluate_sources(now.mono);
                self.propose_change(now.mono, ring);
            }
            StoreEvent::Cas { replaced, ring } => {
                let ring = ring.map(|(_, ring)| ring);
                if let Some(ring) = ring.or(proposed.filter(|_| replaced)) {
                    self.install_ring(now.mono, &ring);
                }
                self.next_renewal = self.next_renewal.min(now.mono + FAST_RENEWAL_INTERVAL);
            }
            StoreEvent::Released | StoreEvent::Failed => {}
        }
    }

    /// Begins a planned stop by draining: other entries become the homes of this entry's ids, while
    /// it completes the work that it has accepted.
    pub fn start_draining(&mut self, now: Now) {
        self.record_time(now);
        self.draining = true;
        self.next_renewal = now.mono;
    }

    /// Leaves the ring after draining. This entry starts no more work.
    pub fn leave(&mut self, now: Now) {
        self.record_time(now);
        if matches!(
            self.phase,
            Phase::Stopped | Phase::Leaving(_) | Phase::Removed(_)
        ) {
            return;
        }
        let member = self.phase == Phase::Member;
        self.phase = if member {
            Phase::Leaving(now.mono)
        } else {
            Phase::Removed(now.mono)
        };
        let home = self.ring.homes().any(|m| m.entry == self.own);
        for peer in self.peers.values_mut() {
            if home {
                peer.handover = HandoverState::Due;
            }
            peer.acked_complete = false;
            peer.next_heartbeat = now.mono;
        }
        self.next_renewal = now.mono;
    }

    /// Records the store's answer. It acknowledges the ring only if the lease is held and the ring is
    /// the installed one.
    fn record_store_ack(&mut self, now: Time, sent_at: Time, lease_held: bool, ring: &Ring) {
        self.verified_at = Some(now);
        if lease_held && ring.version == self.ring.version {
            let at = if self.settings.rules.send_time {
                sent_at
            } else {
                now
            };
            self.authority.record_store_ack(at);
        }
    }

    /// Renews the lease when that is due.
    pub(crate) fn call_store(&mut self, now: Time) {
        let stopped = matches!(self.phase, Phase::Stopped | Phase::Evicted);
        if self.call_pending || stopped || now < self.next_renewal {
            return;
        }
        let changing = matches!(
            self.phase,
            Phase::Joining | Phase::Leaving(_) | Phase::Removed(_)
        );
        let fast = changing || self.may_retire_past(now);
        self.next_renewal = now
            + if fast {
                FAST_RENEWAL_INTERVAL
            } else {
                RENEWAL_INTERVAL
            };
        self.start_call(StoreCall::Renew);
    }

    /// Returns whether this entry, as the first member, has to record in the store that the past
    /// rings are retired.
    pub(crate) fn may_retire_past(&self, now: Time) -> bool {
        let first = self.ring.members.first();
        let first = first.is_some_and(|m| m.entry == self.own);
        let ready = self.retirement.ready_at().is_some_and(|ready| ready <= now);
        first && ready && self.ring.retired < self.ring.version
    }

    fn start_call(&mut self, call: StoreCall) {
        self.call_pending = true;
        self.steps.push(MemberStep::Store(call));
    }

    /// Proposes a replacement of the ring in the store, if a change is due.
    fn propose_change(&mut self, now: Time, stored: Option<(u64, Ring)>) {
        if matches!(self.phase, Phase::Stopped | Phase::Evicted) {
            return;
        }
        let (base_revision, next) = match stored {
            None if self.ring.version.0 == 0 && self.phase == Phase::Joining => {
                (0, Some(first_ring(&self.settings.member)))
            }
            Some((base_revision, ring)) if ring.version == self.ring.version => {
                (base_revision, self.due_change(now, &ring))
            }
            _ => return,
        };
        if let Some(ring) = next {
            self.proposed_ring = Some(ring.clone());
            self.start_call(StoreCall::Cas {
                base_revision,
                ring,
            });
        }
    }

    /// Returns the ring that should replace the one in the store, if any.
    fn due_change(&mut self, now: Time, ring: &Ring) -> Option<Ring> {
        let unretired = ring.retired < ring.version;
        match self.phase {
            Phase::Leaving(since) => return self.without_self(now, since, ring),
            Phase::Joining | Phase::Member => {}
            _ => return None,
        }
        if unretired && self.retirement.ready_at().is_some_and(|ready| ready <= now) {
            return Some(with_past_retired(ring));
        }
        if let Some(next) = self.without_lost(now, ring) {
            return Some(next);
        }
        if self.phase == Phase::Member && !unretired && self.should_drain(ring) {
            return Some(with_draining(ring, &self.own));
        }
        if self.phase == Phase::Joining && !unretired && self.links_established(now, ring) {
            let mut members = ring.members.clone();
            members.push(self.settings.member.clone());
            return Some(with_members(ring, members));
        }
        None
    }

    /// Returns whether links to all members are up, so that they can hand over ids as soon as this
    /// entry has joined. Waits for unreachable members for [`JOIN_LINK_TIMEOUT`] only.
    fn links_established(&mut self, now: Time, ring: &Ring) -> bool {
        let until = *self.join_deadline.get_or_insert(now + JOIN_LINK_TIMEOUT);
        now >= until
            || ring
                .members
                .iter()
                .all(|m| self.links_up.contains(&m.entry))
    }

    /// Returns whether this entry has to hand its ids to others and there is another home.
    fn should_drain(&self, ring: &Ring) -> bool {
        let own = |m: &Member| m.entry == self.own;
        let home = ring.homes().any(own);
        self.draining && home && ring.homes().any(|m| !own(m))
    }

    /// Returns the ring without its lost members, or `None` if none is lost.
    fn without_lost(&mut self, now: Time, ring: &Ring) -> Option<Ring> {
        if !below_unretired_limit(ring) {
            return None;
        }
        let later = ring.member(&self.own.name);
        if later.is_some_and(|m| m.entry.incarnation > self.own.incarnation) {
            self.set_evicted();
            return None;
        }
        let rest = ring.members.iter().filter(|m| !self.is_lost(now, m));
        let mut rest: Vec<Member> = rest.cloned().collect();
        if rest.len() == ring.members.len() {
            return None;
        }
        if rest.is_empty() {
            rest.push(self.settings.member.clone());
        }
        Some(with_members(ring, rest))
    }

    /// Returns whether a member has to be evicted.
    fn is_lost(&self, now: Time, member: &Member) -> bool {
        let entry = &member.entry;
        if *entry == self.own {
            return false;
        }
        if self.retirement.is_declared_dead(entry) || entry.name == self.own.name {
            return true;
        }
        let lease = self.settings.lease;
        let continuous =
            self.leases.is_continuous(now, lease) || !self.settings.rules.continuous_contact;
        let replaced = self.leases.has_later_incarnation(entry);
        !self.leases.is_live(entry) && (continuous || replaced)
    }

    /// Returns the ring without this entry, once its ids have been handed over.
    fn without_self(&self, now: Time, since: Time, ring: &Ring) -> Option<Ring> {
        if ring.members.len() == 1 {
            return None;
        }
        let unretired = ring.retired < ring.version;
        let all_acked = self.peers.values().all(|p| p.acked_complete);
        if now < since + LEAVE_HANDOVER_TIMEOUT && (unretired || !all_acked) {
            return None;
        }
        let rest = ring.members.iter().filter(|m| m.entry != self.own);
        let next = with_members(ring, rest.cloned().collect());
        Some(if unretired {
            next
        } else {
            with_past_retired(&next)
        })
    }

    /// Completes a planned stop when everything is handed over, or after [`LEAVE_TIMEOUT`].
    pub(crate) fn finish_leaving(&mut self, now: Time) {
        let (since, removed) = match self.phase {
            Phase::Leaving(since) => (since, false),
            Phase::Removed(since) => (since, true),
            _ => return,
        };
        let alone = self.peers.is_empty();
        let versions = self.peers.iter().filter(|(_, p)| p.link_up);
        let versions = versions.map(|(entry, _)| self.retirement.installed_version(entry));
        let all_installed = versions.min().is_none_or(|v| v >= self.ring.version);
        let done = if removed {
            all_installed
        } else {
            alone && self.ring.members.len() <= 1
        };
        if !done && now < since + LEAVE_TIMEOUT {
            return;
        }
        if !self.lease_released && !self.call_pending && now < since + LEAVE_TIMEOUT {
            self.lease_released = true;
            self.start_call(StoreCall::Release);
            return;
        }
        if self.call_pending && now < since + LEAVE_TIMEOUT {
            return;
        }
        self.phase = Phase::Stopped;
        self.steps.push(MemberStep::Left);
    }
}
