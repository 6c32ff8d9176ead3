//! The state of the membership and its periodic processing.

use std::collections::BTreeMap;

use chervilring_wire::{
    AgentId, CorrelationId, EntryId, InDoubt, Micros, Name, Now, Revision, Ring, RingVersion,
    TeamName, Time, Timestamp,
};
use rustc_hash::{FxHashMap, FxHashSet};

use super::agent_usage::AgentUsage;
use super::authority::Authority;
use super::constants::{FAST_RENEWAL_INTERVAL, IN_DOUBT_LIMIT, MAX_CLOCK_DRIFT};
use super::home_reports::HomeReports;
use super::leases::Leases;
use super::peer::Peer;
use super::retirement::Retirement;
use super::settings::MemberSettings;
use super::source::{Evidence, Source, SourceState};
use super::started_ids::StartedIds;
use super::step::MemberStep;

/// The entry's phase in the life cycle of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Not a member yet.
    Joining,
    /// A member.
    Member,
    /// A member in a planned stop that began at this time.
    Leaving(Time),
    /// No longer a member, after a planned stop that began at this time.
    Removed(Time),
    /// Evicted, or replaced by a later incarnation.
    Evicted,
    /// The planned stop is complete.
    Stopped,
}

/// The membership of one entry: agrees with the other entries on which of them starts which ids.
#[derive(Debug)]
pub struct Membership {
    pub(crate) settings: MemberSettings,
    pub(crate) own: EntryId,
    pub(crate) ring: Ring,
    pub(crate) phase: Phase,
    pub(crate) authority: Authority,
    pub(crate) leases: Leases,
    pub(crate) retirement: Retirement,
    pub(crate) peers: BTreeMap<EntryId, Peer>,
    pub(crate) links_up: FxHashSet<EntryId>,
    pub(crate) home_reports: HomeReports,
    pub(crate) sources: Vec<Source>,
    pub(crate) in_doubt: Vec<InDoubt>,
    pub(crate) started: StartedIds,
    pub(crate) agent_usage: AgentUsage,
    pub(crate) agent_reports: FxHashMap<AgentId, RingVersion>,
    pub(crate) demand: Vec<(TeamName, u32)>,
    pub(crate) revision: Revision,
    pub(crate) steps: Vec<MemberStep>,
    pub(crate) last_correlation: CorrelationId,
    pub(crate) call_pending: bool,
    pub(crate) proposed_ring: Option<Ring>,
    pub(crate) lease_released: bool,
    pub(crate) draining: bool,
    pub(crate) join_deadline: Option<Time>,
    pub(crate) next_renewal: Time,
    pub(crate) last_event: Time,
    pub(crate) verified_at: Option<Time>,
    pub(crate) wall_offset: u64,
}

impl Membership {
    /// Creates the membership of an entry that has not joined a ring yet.
    pub fn new(settings: MemberSettings, now: Now) -> Self {
        let own = settings.member.entry.clone();
        let started = StartedIds::new(settings.window, settings.untimestamped);
        let mut retirement = Retirement::default();
        retirement.record_incarnation(&own);
        Self {
            settings,
            own,
            ring: Ring::default(),
            phase: Phase::Joining,
            authority: Authority::default(),
            leases: Leases::default(),
            retirement,
            peers: BTreeMap::new(),
            links_up: FxHashSet::default(),
            home_reports: HomeReports::default(),
            sources: Vec::new(),
            in_doubt: Vec::new(),
            started,
            agent_usage: AgentUsage::default(),
            agent_reports: FxHashMap::default(),
            demand: Vec::new(),
            revision: Revision::default(),
            steps: Vec::new(),
            last_correlation: CorrelationId(0),
            call_pending: false,
            proposed_ring: None,
            lease_released: false,
            draining: false,
            join_deadline: None,
            next_renewal: now.mono,
            last_event: now.mono,
            verified_at: Some(now.mono),
            wall_offset: wall_offset(now),
        }
    }

    /// Returns the newest ring that the entry knows.
    pub fn ring(&self) -> &Ring {
        &self.ring
    }

    /// Runs all actions that are due.
    pub fn tick(&mut self, now: Now) {
        self.record_time(now);
        self.evaluate_sources(now.mono);
        self.call_store(now.mono);
        self.send_due_heartbeats(now.mono);
        self.finish_leaving(now.mono);
    }

    /// Returns when [`Self::tick`] is due if no further events arrive.
    pub fn wake_at(&self) -> Time {
        let heartbeats = self.heartbeat_peers().map(|(_, p)| p.next_heartbeat);
        let sources = self.sources.iter().map(|s| {
            let home = s
                .former_home
                .as_ref()
                .and_then(|home| self.home_reports.get(home));
            s.wake_at(self.last_event, home)
        });
        let renewal = match self.phase {
            _ if self.call_pending => Time::NEVER,
            Phase::Stopped | Phase::Evicted => Time::NEVER,
            _ => self.next_renewal,
        };
        let ready = self
            .retirement
            .ready_at()
            .filter(|ready| *ready > self.last_event);
        let limit = match self.phase {
            Phase::Leaving(since) | Phase::Removed(since) => {
                since + super::constants::LEAVE_TIMEOUT
            }
            _ => Time::NEVER,
        };
        let rest = [renewal, ready.unwrap_or(Time::NEVER), limit];
        let all = heartbeats.chain(sources).chain(rest);
        all.min().unwrap_or(Time::NEVER)
    }

    /// Returns the time until which the entry may start work, or `None` if it may not.
    pub fn authority(&self, now: Now) -> Option<Time> {
        if self.phase != Phase::Member || !self.ring.contains(&self.own) {
            return None;
        }
        if !self.settings.rules.authority_expiry {
            return self
                .authority
                .acked_since(now.mono, &self.ring)
                .map(|_| Time::NEVER);
        }
        self.authority
            .deadline(now.mono, &self.ring, self.settings.authority)
    }

    /// Sets the recent demand of each team at this entry, which heartbeats carry.
    pub fn set_demand(&mut self, demand: Vec<(TeamName, u32)>) {
        self.demand = demand;
    }

    /// Sets the revision of the configuration in force, which heartbeats carry.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Declares an entry of the ring dead, on the word of an operator that it will not come back:
    /// it is evicted, and counts as an entry that acknowledges no ring. Returns whether there is
    /// such an entry whose link is down.
    pub fn declare_dead(&mut self, now: Now, name: &Name) -> bool {
        self.record_time(now);
        let past = self.ring.past.iter().flat_map(|old| old.members.iter());
        let all = past.chain(self.ring.members.iter().map(|m| &m.entry));
        let dead: Vec<EntryId> = all
            .filter(|e| e.name == *name && **e != self.own && !self.links_up.contains(e))
            .cloned()
            .collect();
        for entry in &dead {
            self.retirement.declare_dead(entry);
        }
        self.next_renewal = now.mono;
        self.evaluate_sources(now.mono);
        !dead.is_empty()
    }

    /// Clears all ids in doubt, on the word of an operator that no earlier id will be submitted
    /// again. They count as not started from now on.
    pub fn clear_in_doubt(&mut self, now: Now) {
        self.record_time(now);
        self.in_doubt.clear();
        self.sources.retain(|s| !s.state.is_in_doubt());
    }

    /// Drains the steps to carry out.
    pub fn drain(&mut self) -> Vec<MemberStep> {
        std::mem::take(&mut self.steps)
    }

    /// Records the time of an event. A gap of at least the authority duration means that the
    /// process was paused.
    pub(crate) fn record_time(&mut self, now: Now) {
        if now.mono.duration_since(self.last_event) >= self.settings.authority {
            self.verified_at = None;
        }
        self.last_event = now.mono;
        self.wall_offset = self.wall_offset.max(wall_offset(now));
        let skew = self.settings.skew.as_millis();
        self.started
            .expire(Timestamp(now.wall.0.saturating_sub(skew)));
    }

    /// Returns whether the entry may acknowledge a ring. After a pause, the store, or a majority
    /// without this entry, must first acknowledge its ring.
    pub(crate) fn may_acknowledge(&mut self, now: Time) -> bool {
        if self.verified_at.is_none() && self.settings.rules.pause_check {
            let since = self
                .authority
                .acked_by_peers(now, &self.ring, self.ring.majority());
            let is_recent =
                since.is_some_and(|since| now.duration_since(since) < self.settings.authority);
            self.verified_at = is_recent.then_some(now);
            return is_recent;
        }
        true
    }

    /// Updates the state of every source, and passes on ids that are newly in doubt.
    pub(crate) fn evaluate_sources(&mut self, now: Time) {
        let rules = self.settings.rules;
        let wait = if rules.retirement_wait {
            self.settings.authority + MAX_CLOCK_DRIFT
        } else {
            Micros(0)
        };
        self.retirement
            .update(now, &self.ring, wait, rules.majority_block);
        if self.may_retire_past(now) {
            self.next_renewal = self.next_renewal.min(now + FAST_RENEWAL_INTERVAL);
        }
        let mut in_doubt = Vec::new();
        let until = |ready: Time| wall_time_at(ready, self.wall_offset);
        for source in &mut self.sources {
            source.ready_at = source.ready_at.or(self.retirement.ready_at());
            if source.state == SourceState::Resolved {
                continue;
            }
            let home = source.former_home.as_ref();
            let state = source.evaluate(&Evidence {
                now,
                installed: self.ring.version,
                is_member: home.is_some_and(|home| self.ring.contains(home)),
                first_without: self.ring.first_version_without(home, source.version),
                report: home.and_then(|home| self.home_reports.get(home)),
                agent_reports: &self.agent_reports,
                rules,
            });
            if state.is_in_doubt() && source.state == SourceState::Pending {
                let ready = source.ready_at.unwrap_or(now);
                in_doubt.push(source.to_in_doubt(&self.own.name, until(ready)));
            }
            source.state = state;
        }
        self.sources.retain(|s| s.state != SourceState::Resolved);
        for ids in in_doubt {
            self.broadcast_in_doubt(&ids);
        }
        self.merge_in_doubt();
    }

    /// Replaces the oldest sources in doubt by sets of ids in doubt when there are too many.
    fn merge_in_doubt(&mut self) {
        let is_in_doubt = |s: &Source| s.state.is_in_doubt();
        while self.sources.iter().filter(|s| is_in_doubt(s)).count() > IN_DOUBT_LIMIT {
            let Some(oldest) = self.sources.iter().position(is_in_doubt) else {
                return;
            };
            let source = self.sources.remove(oldest);
            let until = self.wall_time(source.ready_at.unwrap_or(self.last_event));
            self.add_in_doubt(&source.to_in_doubt(&self.own.name, until));
        }
    }

    /// Converts a time of the monotonic clock to wall-clock time, rounded up.
    pub(crate) fn wall_time(&self, time: Time) -> Timestamp {
        wall_time_at(time, self.wall_offset)
    }
}

/// Returns the offset of the wall clock from the monotonic clock, in microseconds.
fn wall_offset(now: Now) -> u64 {
    (now.wall.0.saturating_add(1) * 1_000).saturating_sub(now.mono.0)
}

fn wall_time_at(time: Time, offset: u64) -> Timestamp {
    Timestamp(time.0.saturating_add(offset).div_ceil(1_000))
}
