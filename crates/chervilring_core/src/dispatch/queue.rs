//! The queue of a service, ordered by rank and fair between teams.
//!
//! The rank of a submission is its arrival plus a multiple of its expected ideal response time, so
//! small submissions pass large jobs. Each team earns credit at somewhat more than its even share
//! of the rate and pays one task of credit per submitted task; a team in debt is ranked further
//! back by the time that it takes to earn the debt. Ranks are fixed at arrival, so no submission
//! waits forever. They only order queued tasks, so idle capacity goes to any team that submits.

use std::collections::BTreeMap;

use chervilring_wire::{Micros, TeamName, Time};
use rustc_hash::FxHashMap;

/// Order in the queue: a point in time, then the order of arrival.
pub(crate) type Rank = (Time, u64);

/// Multiple of its ideal response time by which a submission ranks behind its arrival.
const RANK_STRETCH: f64 = 16.0;

/// Credit that a team earns, as a multiple of its even share.
const CREDIT_FACTOR: f64 = 1.25;

/// Largest credit and largest debt of a team, in seconds of the full rate.
const MAX_CREDIT: f64 = 4.0;

/// Time after its last submission for which a team counts as active.
const ACTIVE_WINDOW: Micros = Micros::from_secs(5);

/// A team that has submitted tasks.
#[derive(Debug)]
struct Team {
    name: TeamName,
    /// Queued tasks.
    tasks: usize,
    /// Tasks that the team may submit before it is in debt.
    credit: f64,
    /// Time of the last submission.
    last_submit: Time,
}

/// Submissions with queued tasks.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    ranked: BTreeMap<Rank, usize>,
    tasks: usize,
    teams: Vec<Team>,
    index: FxHashMap<TeamName, usize>,
    active: usize,
    arrivals: u64,
}

impl Queue {
    /// Returns the number of queued tasks.
    pub(crate) fn len(&self) -> usize {
        self.tasks
    }

    /// Returns the teams with queued tasks and their number.
    pub(crate) fn teams(&self) -> Vec<(TeamName, usize)> {
        let queued = self.teams.iter().filter(|t| t.tasks > 0);
        queued.map(|t| (t.name.clone(), t.tasks)).collect()
    }

    /// Returns the row of a team, which is added if need be.
    pub(crate) fn team_row(&mut self, name: &TeamName) -> usize {
        if let Some(&row) = self.index.get(name) {
            return row;
        }
        let row = self.teams.len();
        self.index.insert(name.clone(), row);
        self.teams.push(Team {
            name: name.clone(),
            tasks: 0,
            credit: f64::INFINITY,
            last_submit: Time::default(),
        });
        row
    }

    /// Counts the teams that submitted recently or have queued tasks.
    pub(crate) fn count_active(&mut self, now: Time) {
        let active = |t: &&Team| t.tasks > 0 || now.duration_since(t.last_submit) < ACTIVE_WINDOW;
        self.active = self.teams.iter().filter(active).count();
    }

    /// Returns the rank of a new submission and charges its tasks to the credit of the team.
    ///
    /// `ideal` is the expected ideal response time in microseconds, `rate` the rate of finished
    /// tasks in tasks a microsecond.
    pub(crate) fn assign_rank(
        &mut self,
        now: Time,
        team: usize,
        tasks: usize,
        ideal: f64,
        rate: f64,
    ) -> Rank {
        let share = rate * CREDIT_FACTOR / self.active.max(1) as f64;
        let max_credit = rate * MAX_CREDIT * 1e6;
        let row = &mut self.teams[team];
        let earned = now.duration_since(row.last_submit).0 as f64 * share;
        row.last_submit = now;
        row.credit = (row.credit + earned).min(max_credit) - tasks as f64;
        row.credit = row.credit.max(-max_credit);
        let debt = (-row.credit).max(0.0) / share.max(f64::MIN_POSITIVE);
        self.arrivals += 1;
        let delay = (RANK_STRETCH * ideal + debt).min(1e12);
        (now + Micros(delay as u64), self.arrivals)
    }

    /// Returns how many queued tasks are expected to start before the last of `tasks` new ones of a
    /// team: all of them, or fewer when other teams exceed their share.
    pub(crate) fn tasks_ahead(&self, team: &TeamName, tasks: usize) -> usize {
        let own = self.index.get(team).map_or(0, |&t| self.teams[t].tasks);
        let fair = (own + tasks) * self.active.max(1);
        self.tasks.min(fair)
    }

    /// Adds tasks of a submission, which may be in the queue already.
    pub(crate) fn add(&mut self, team: usize, rank: Rank, submission: usize, tasks: usize) {
        self.ranked.insert(rank, submission);
        self.teams[team].tasks += tasks;
        self.tasks += tasks;
    }

    /// Returns the submission whose task starts next.
    pub(crate) fn front(&self) -> Option<usize> {
        self.ranked
            .first_key_value()
            .map(|(_, &submission)| submission)
    }

    /// Returns the submissions in order of rank.
    pub(crate) fn iter(&self) -> impl Iterator<Item = usize> {
        self.ranked.values().copied()
    }

    /// Removes one task of a submission; `last` states that it was the last queued one.
    pub(crate) fn remove_task(&mut self, team: usize, rank: Rank, last: bool) {
        self.subtract_tasks(team, 1);
        if last {
            self.ranked.remove(&rank);
        }
    }

    /// Removes a submission with all of its queued tasks.
    pub(crate) fn remove_submission(&mut self, team: usize, rank: Rank, tasks: usize) {
        if self.ranked.remove(&rank).is_some() {
            self.subtract_tasks(team, tasks);
        }
    }

    fn subtract_tasks(&mut self, team: usize, tasks: usize) {
        self.teams[team].tasks -= tasks;
        self.tasks -= tasks;
    }
}
