//! The queue of a service: ordered by rank, and fair between teams.
//!
//! A submission ranks behind its arrival by a multiple of its expected ideal response, so that
//! small work is not stuck behind large jobs. Each team earns credit at somewhat more than its even
//! share of the rate and pays a task with each task that it submits; a team in debt ranks further
//! back by the time it takes to earn that debt. Ranks are fixed at arrival, so nothing waits for
//! ever, and they only order what waits: capacity that nobody else asks for goes to whoever does.

use std::collections::BTreeMap;

use chervilring_wire::{Micros, TeamName, Time};
use rustc_hash::FxHashMap;

/// The place of a submission in the queue: by time, then by order of arrival.
pub(crate) type Rank = (Time, u64);

/// How many times its ideal response a submission is put back behind its arrival.
const RANK_STRETCH: f64 = 16.0;

/// What a team earns over its even share.
const CREDIT_FACTOR: f64 = 1.25;

/// The credit a team can save, and the debt it can run up, in seconds of the whole rate.
const MAX_CREDIT: f64 = 4.0;

/// How long a team counts as active after it has submitted something.
const ACTIVE_WINDOW: Micros = Micros::from_secs(5);

/// A team that has submitted work.
#[derive(Debug)]
struct Team {
    name: TeamName,
    /// Tasks that wait.
    tasks: usize,
    /// Tasks it may submit before it is in debt.
    credit: f64,
    /// When it last submitted something.
    last_submit: Time,
}

/// Submissions with tasks to be started.
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
    /// Returns the tasks that wait.
    pub(crate) fn len(&self) -> usize {
        self.tasks
    }

    /// Returns the teams with tasks that wait, and how many.
    pub(crate) fn teams(&self) -> Vec<(TeamName, usize)> {
        let queued = self.teams.iter().filter(|t| t.tasks > 0);
        queued.map(|t| (t.name.clone(), t.tasks)).collect()
    }

    /// Returns the row of a team.
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

    /// Counts the teams that have submitted something lately.
    pub(crate) fn count_active(&mut self, now: Time) {
        let active = |t: &&Team| t.tasks > 0 || now.duration_since(t.last_submit) < ACTIVE_WINDOW;
        self.active = self.teams.iter().filter(active).count();
    }

    /// Returns the rank of a new submission, and has its team pay for it.
    ///
    /// `ideal` is the expected ideal response in microseconds, `rate` the tasks finished in a
    /// microsecond.
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

    /// Returns how many tasks are expected to start before the last of so many new ones of a team:
    /// all that wait, or what fairness lets go first when other teams have more than their share.
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

    /// Returns the submission whose task is to be started next.
    pub(crate) fn front(&self) -> Option<usize> {
        self.ranked
            .first_key_value()
            .map(|(_, &submission)| submission)
    }

    /// Returns the submissions in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = usize> {
        self.ranked.values().copied()
    }

    /// Takes out one task of a submission; `last` tells that it has no more of them.
    pub(crate) fn remove_task(&mut self, team: usize, rank: Rank, last: bool) {
        self.subtract_tasks(team, 1);
        if last {
            self.ranked.remove(&rank);
        }
    }

    /// Removes a submission with all of its tasks.
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
