//! The membership's tables and the systems that run over them each tick.

use std::collections::BTreeMap;

use chervilring_wire::{
    AgentId, CorrelationId, EntryId, InDoubt, Micros, Name, Now, Revision, Ring, RingVersion,
    TeamName, Time, Timestamp,
};
use rustc_hash::{FxHashMap, FxHashSet};

use super::agent_usage::Usage;
use super::authority::Authority;
use super::constants::{DOUBT_LIMIT, DRIFT, RENEW_SOON};
use super::home_reports::Homes;
use super::leases::Presence;
use super::peer::Peer;
use super::retirement::Settle;
use super::settings::MemberSettings;
use super::source::{Evidence, Source, State};
use super::started_ids::Known;
use super::step::MemberStep;

/// What the entry is in the ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Not a member yet.
    Joining,
    /// A member.
    Member,
    /// A member that stops; since when.
    Leaving(Time),
    /// No member any more, after a planned stop that began then.
    Out(Time),
    /// No member any more, or replaced by a later life.
    Evicted,
    /// The planned stop is done.
    Left,
}

/// The part of an entry that agrees with the others on who starts what.
#[derive(Debug)]
pub struct Membership {
    pub(crate) settings: MemberSettings,
    pub(crate) own: EntryId,
    pub(crate) ring: Ring,
    pub(crate) phase: Phase,
    pub(crate) authority: Authority,
    pub(crate) presence: Presence,
    pub(crate) settle: Settle,
    pub(crate) peers: BTreeMap<EntryId, Peer>,
    pub(crate) up: FxHashSet<EntryId>,
    pub(crate) homes: Homes,
    pub(crate) sources: Vec<Source>,
    pub(crate) doubts: Vec<InDoubt>,
    pub(crate) known: Known,
    pub(crate) usage: Usage,
    pub(crate) reports: FxHashMap<AgentId, RingVersion>,
    pub(crate) demand: Vec<(TeamName, u32)>,
    pub(crate) revision: Revision,
    pub(crate) steps: Vec<MemberStep>,
    pub(crate) ticket: CorrelationId,
    pub(crate) calling: bool,
    pub(crate) proposed: Option<Ring>,
    pub(crate) released: bool,
    pub(crate) draining: bool,
    pub(crate) meet_by: Option<Time>,
    pub(crate) renew: Time,
    pub(crate) last: Time,
    pub(crate) awake: Option<Time>,
    pub(crate) offset: u64,
}

impl Membership {
    /// Creates the membership of an entry that has not joined a ring yet.
    pub fn new(settings: MemberSettings, now: Now) -> Self {
        let own = settings.member.entry.clone();
        let known = Known::new(settings.window, settings.unstamped);
        let mut settle = Settle::default();
        settle.lives(&own);
        Self {
            settings,
            own,
            ring: Ring::default(),
            phase: Phase::Joining,
            authority: Authority::default(),
            presence: Presence::default(),
            settle,
            peers: BTreeMap::new(),
            up: FxHashSet::default(),
            homes: Homes::default(),
            sources: Vec::new(),
            doubts: Vec::new(),
            known,
            usage: Usage::default(),
            reports: FxHashMap::default(),
            demand: Vec::new(),
            revision: Revision::default(),
            steps: Vec::new(),
            ticket: CorrelationId(0),
            calling: false,
            proposed: None,
            released: false,
            draining: false,
            meet_by: None,
            renew: now.mono,
            last: now.mono,
            awake: Some(now.mono),
            offset: offset(now),
        }
    }

    /// Returns the newest ring that the entry knows.
    pub fn ring(&self) -> &Ring {
        &self.ring
    }

    /// Runs what is due.
    pub fn tick(&mut self, now: Now) {
        self.observe(now);
        self.judge(now.mono);
        self.call_store(now.mono);
        self.beat(now.mono);
        self.finish(now.mono);
    }

    /// Returns when [`Self::tick`] is due without further events.
    pub fn wake_at(&self) -> Time {
        let beats = self.heard().map(|(_, p)| p.beat);
        let sources = self.sources.iter().map(|s| {
            let home = s.home.as_ref().and_then(|home| self.homes.get(home));
            s.wake_at(self.last, home)
        });
        let renew = match self.phase {
            _ if self.calling => Time::NEVER,
            Phase::Left | Phase::Evicted => Time::NEVER,
            _ => self.renew,
        };
        let ready = self.settle.ready().filter(|ready| *ready > self.last);
        let limit = match self.phase {
            Phase::Leaving(since) | Phase::Out(since) => since + super::constants::LEAVE_LIMIT,
            _ => Time::NEVER,
        };
        let rest = [renew, ready.unwrap_or(Time::NEVER), limit];
        let all = beats.chain(sources).chain(rest);
        all.min().unwrap_or(Time::NEVER)
    }

    /// Returns until when the entry may start work; `None` when it may not.
    pub fn authority(&self, now: Now) -> Option<Time> {
        if self.phase != Phase::Member || !self.ring.contains(&self.own) {
            return None;
        }
        if !self.settings.rules.expire {
            return self
                .authority
                .since(now.mono, &self.ring)
                .map(|_| Time::NEVER);
        }
        self.authority
            .until(now.mono, &self.ring, self.settings.authority)
    }

    /// Sets what each team asked of this entry lately, for the heartbeats.
    pub fn set_demand(&mut self, demand: Vec<(TeamName, u32)>) {
        self.demand = demand;
    }

    /// Sets the configuration in force, for the heartbeats.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Takes an operator's word that an entry of the ring is dead and will not come back: it is
    /// evicted, and counted as one that confirms no ring any more. Returns whether there is such an
    /// entry whose link is down.
    pub fn declare_dead(&mut self, now: Now, name: &Name) -> bool {
        self.observe(now);
        let older = self.ring.past.iter().flat_map(|old| old.members.iter());
        let all = older.chain(self.ring.members.iter().map(|m| &m.entry));
        let dead: Vec<EntryId> = all
            .filter(|e| e.name == *name && **e != self.own && !self.up.contains(e))
            .cloned()
            .collect();
        for entry in &dead {
            self.settle.declare(entry);
        }
        self.renew = now.mono;
        self.judge(now.mono);
        !dead.is_empty()
    }

    /// Takes an operator's word that no id of before will be submitted again: ids in doubt count
    /// as new from now on.
    pub fn clear_doubts(&mut self, now: Now) {
        self.observe(now);
        self.doubts.clear();
        self.sources.retain(|s| !s.state.is_doubtful());
    }

    /// Drains the steps to be carried out.
    pub fn drain(&mut self) -> Vec<MemberStep> {
        std::mem::take(&mut self.steps)
    }

    /// Notes the time of an event: a long gap means that the process was paused.
    pub(crate) fn observe(&mut self, now: Now) {
        if now.mono.duration_since(self.last) >= self.settings.authority {
            self.awake = None;
        }
        self.last = now.mono;
        self.offset = self.offset.max(offset(now));
        let skew = self.settings.skew.as_millis();
        self.known
            .expire(Timestamp(now.wall.0.saturating_sub(skew)));
    }

    /// Returns whether the entry may confirm a ring: a paused one first has to hear from the
    /// store, or from a majority without itself.
    pub(crate) fn may_confirm(&mut self, now: Time) -> bool {
        if self.awake.is_none() && self.settings.rules.awake {
            let since = self
                .authority
                .majority(now, &self.ring, self.ring.majority());
            let caught =
                since.is_some_and(|since| now.duration_since(since) < self.settings.authority);
            self.awake = caught.then_some(now);
            return caught;
        }
        true
    }

    /// Judges the former homes of ids that moved here.
    pub(crate) fn judge(&mut self, now: Time) {
        let rules = self.settings.rules;
        let wait = if rules.wait {
            self.settings.authority + DRIFT
        } else {
            Micros(0)
        };
        self.settle.update(now, &self.ring, wait, rules.block);
        if self.may_settle(now) {
            self.renew = self.renew.min(now + RENEW_SOON);
        }
        let mut doubts = Vec::new();
        let until = |ready: Time| stamp_at(ready, self.offset);
        for source in &mut self.sources {
            source.ready = source.ready.or(self.settle.ready());
            if source.state == State::Clear {
                continue;
            }
            let home = source.home.as_ref();
            let state = source.judge(&Evidence {
                now,
                ring: self.ring.version,
                member: home.is_some_and(|home| self.ring.contains(home)),
                without: self.ring.first_version_without(home, source.version),
                home: home.and_then(|home| self.homes.get(home)),
                reports: &self.reports,
                rules,
            });
            if state.is_doubtful() && source.state == State::Pending {
                let ready = source.ready.unwrap_or(now);
                doubts.push(source.doubt(&self.own.name, until(ready)));
            }
            source.state = state;
        }
        self.sources.retain(|s| s.state != State::Clear);
        for doubt in doubts {
            self.tell_doubt(&doubt);
        }
        self.merge_doubtful();
    }

    /// Turns the oldest doubtful sources into doubts when there are too many of them.
    fn merge_doubtful(&mut self) {
        let doubtful = |s: &Source| s.state.is_doubtful();
        while self.sources.iter().filter(|s| doubtful(s)).count() > DOUBT_LIMIT {
            let Some(oldest) = self.sources.iter().position(doubtful) else {
                return;
            };
            let source = self.sources.remove(oldest);
            let until = self.stamp(source.ready.unwrap_or(self.last));
            self.add_doubt(&source.doubt(&self.own.name, until));
        }
    }

    /// Returns the wall-clock time of a point of the monotonic clock, rather late than early.
    pub(crate) fn stamp(&self, time: Time) -> Timestamp {
        stamp_at(time, self.offset)
    }
}

/// Returns by how much the wall clock is ahead of the monotonic one, in microseconds.
fn offset(now: Now) -> u64 {
    (now.wall.0.saturating_add(1) * 1_000).saturating_sub(now.mono.0)
}

fn stamp_at(time: Time, offset: u64) -> Timestamp {
    Timestamp(time.0.saturating_add(offset).div_ceil(1_000))
}
