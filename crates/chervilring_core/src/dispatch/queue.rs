//! The queue of a service: fair between teams, ordered within each.

use std::collections::{BTreeMap, VecDeque};

use chervilring_wire::{TeamName, Time};
use rustc_hash::FxHashMap;

/// The submissions of one team that have tasks to be started.
#[derive(Debug)]
struct Team {
    name: TeamName,
    ranked: BTreeMap<(Time, u64), usize>,
    tasks: usize,
    in_turn: bool,
}

/// Submissions with tasks to be started. Teams take turns, one task at a time.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    teams: Vec<Team>,
    index: FxHashMap<TeamName, usize>,
    turns: VecDeque<usize>,
    tasks: usize,
}

impl Queue {
    /// Returns the tasks that wait.
    pub(crate) fn len(&self) -> usize {
        self.tasks
    }

    /// Returns the teams with tasks that wait, and how many.
    pub(crate) fn teams(&self) -> Vec<(TeamName, usize)> {
        let waiting = self.teams.iter().filter(|t| t.tasks > 0);
        waiting.map(|t| (t.name.clone(), t.tasks)).collect()
    }

    /// Returns the row of a team.
    pub(crate) fn team(&mut self, name: &TeamName) -> usize {
        if let Some(&row) = self.index.get(name) {
            return row;
        }
        let row = self.teams.len();
        self.index.insert(name.clone(), row);
        self.teams.push(Team {
            name: name.clone(),
            ranked: BTreeMap::new(),
            tasks: 0,
            in_turn: false,
        });
        row
    }

    /// Adds tasks of a submission, which may be in the queue already.
    pub(crate) fn add(&mut self, team: usize, rank: (Time, u64), submission: usize, tasks: usize) {
        let row = &mut self.teams[team];
        row.ranked.insert(rank, submission);
        row.tasks += tasks;
        self.tasks += tasks;
        if !row.in_turn {
            row.in_turn = true;
            self.turns.push_back(team);
        }
    }

    /// Returns the submission whose task is to be started next.
    pub(crate) fn front(&mut self) -> Option<usize> {
        while let Some(&team) = self.turns.front() {
            let row = &mut self.teams[team];
            if let Some((_, &submission)) = row.ranked.first_key_value() {
                return Some(submission);
            }
            row.in_turn = false;
            self.turns.pop_front();
        }
        None
    }

    /// Takes out one task of the submission at the front and passes the turn on; `last` tells
    /// that the submission has no more of them.
    pub(crate) fn take(&mut self, last: bool) {
        let Some(team) = self.turns.pop_front() else {
            return;
        };
        let row = &mut self.teams[team];
        row.tasks -= 1;
        self.tasks -= 1;
        if last {
            row.ranked.pop_first();
        }
        row.in_turn = !row.ranked.is_empty();
        if row.in_turn {
            self.turns.push_back(team);
        }
    }

    /// Removes a submission with all of its tasks.
    pub(crate) fn remove(&mut self, team: usize, rank: (Time, u64), tasks: usize) {
        let row = &mut self.teams[team];
        if row.ranked.remove(&rank).is_some() {
            row.tasks -= tasks;
            self.tasks -= tasks;
        }
    }
}
