//! Quotas of teams, split between the entries by the demand at each.

use chervilring_wire::{EntryId, Micros, TeamName, Time};
use rustc_hash::FxHashMap;

use crate::config::Quota;

/// Window over which demand is counted.
const DEMAND_WINDOW: Micros = Micros::from_secs(1);

/// Time for which a peer's report of demand counts.
const REPORT_LIFETIME: Micros = Micros::from_secs(5);

/// Demand of a team at this entry.
#[derive(Debug, Default)]
struct DemandRate {
    rate: f64,
    count: f64,
    since: Time,
}

/// Demand that a peer reported, in tasks a second.
#[derive(Debug)]
struct Report {
    received_at: Time,
    teams: FxHashMap<TeamName, u32>,
}

/// Demand of teams, at this entry and at its peers.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    local: FxHashMap<TeamName, DemandRate>,
    peers: FxHashMap<EntryId, Report>,
}

impl Demand {
    /// Records that a team submitted tasks, whether they are accepted or not.
    pub(crate) fn record(&mut self, now: Time, team: &TeamName, tasks: usize) {
        let demand = self.local.entry(team.clone()).or_default();
        demand.roll_window(now);
        demand.count += tasks as f64;
    }

    /// Returns the demand of each team at this entry, in tasks a second.
    pub(crate) fn report(&self, now: Time) -> Vec<(TeamName, u32)> {
        let rates = self.local.iter().map(|(t, a)| (t, a.rate_at(now)));
        let mut report: Vec<_> = rates
            .filter(|(_, rate)| *rate >= 0.5)
            .map(|(team, rate)| (team.clone(), rate.ceil() as u32))
            .collect();
        report.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        report
    }

    /// Records a peer's report.
    pub(crate) fn update_peer(&mut self, now: Time, entry: &EntryId, demand: &[(TeamName, u32)]) {
        let teams = demand.iter().cloned().collect();
        self.peers.insert(
            entry.clone(),
            Report {
                received_at: now,
                teams,
            },
        );
    }

    /// Returns how many entries report, this one included.
    pub(crate) fn entry_count(&self) -> u32 {
        self.peers.len() as u32 + 1
    }

    /// Removes peers that have gone silent and teams without demand.
    pub(crate) fn remove_stale(&mut self, now: Time) {
        self.peers
            .retain(|_, r| now.duration_since(r.received_at) < REPORT_LIFETIME);
        self.local
            .retain(|_, a| a.rate_at(now) >= 0.1 || now.duration_since(a.since) < REPORT_LIFETIME);
    }

    /// Returns the share of a team's quota that this entry may grant.
    ///
    /// The shares of all entries add up to at most one, except for the delay of the reports. Each
    /// entry counts one task a second more than its demand, so a team finds some quota at every
    /// entry when it starts to submit.
    fn share(&self, now: Time, team: &TeamName) -> f64 {
        let local_rate = self.local.get(team).map_or(0.0, |a| a.rate_at(now)) + 1.0;
        let fresh_reports = self
            .peers
            .values()
            .filter(|r| now.duration_since(r.received_at) < REPORT_LIFETIME);
        let peer_rates =
            fresh_reports.map(|r| f64::from(r.teams.get(team).copied().unwrap_or(0)) + 1.0);
        local_rate / (local_rate + peer_rates.sum::<f64>())
    }
}

impl DemandRate {
    /// Starts a new window when the current one is over.
    fn roll_window(&mut self, now: Time) {
        if now.duration_since(self.since) >= DEMAND_WINDOW {
            self.rate = self.rate_at(now);
            self.count = 0.0;
            self.since = now;
        }
    }

    fn rate_at(&self, now: Time) -> f64 {
        let secs = now.duration_since(self.since).0 as f64 / 1e6;
        if secs < 1.0 {
            return self.rate.max(self.count);
        }
        (self.rate * 0.5 + self.count * 0.5 / secs).max(self.count / secs)
            * if secs > 3.0 { 1.0 / secs } else { 1.0 }
    }
}

/// Token bucket of a team: the tasks that it may submit now.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    updated_at: Time,
}

/// Quotas of a service, by team.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    buckets: FxHashMap<TeamName, TokenBucket>,
}

impl Quotas {
    /// Acquires tokens for tasks of a team.
    ///
    /// A job larger than the burst is granted when the bucket is full and leaves the team in debt.
    ///
    /// # Errors
    ///
    /// Returns the time until enough tokens are available, when there are too few.
    pub(crate) fn try_acquire(
        &mut self,
        now: Time,
        team: &TeamName,
        quota: Quota,
        tasks: usize,
        demand: &Demand,
    ) -> Result<(), Micros> {
        let share = demand.share(now, team);
        let rate = f64::from(quota.rate) * share;
        let burst = f64::from(quota.burst.max(1)) * share;
        let bucket = self.buckets.entry(team.clone()).or_insert(TokenBucket {
            tokens: burst,
            updated_at: now,
        });
        let earned = now.duration_since(bucket.updated_at).0 as f64 / 1e6 * rate;
        bucket.tokens = (bucket.tokens + earned).min(burst);
        bucket.updated_at = now;
        let needed = (tasks as f64).min(burst);
        if bucket.tokens < needed {
            let wait = (needed - bucket.tokens) / rate.max(0.1);
            return Err(Micros((wait * 1e6) as u64));
        }
        bucket.tokens -= tasks as f64;
        Ok(())
    }
}
