//! Whether a job that found no room is worth a longer wait.
//!
//! The load that this answers: more work comes in than upstreams can do, for a moment or for seconds.
//! In a moment's burst nearly all that wait are served in time, and are refused for nothing; under
//! lasting load those that need much at once wait in vain, and their callers could have gone
//! elsewhere. What became of earlier jobs that had waited as long tells the two apart.

use chervilring_wire::{Micros, Name, Time};
use rustc_hash::FxHashMap;

/// The waits at which it is asked whether a job is worth a longer one.
const STEPS: [Micros; 7] = [
    Micros::from_millis(8),
    Micros::from_millis(15),
    Micros::from_millis(30),
    Micros::from_millis(60),
    Micros::from_millis(120),
    Micros::from_millis(250),
    Micros::from_millis(500),
];

/// Below this chance a caller is told at once.
const FAIR: f64 = 0.5;

/// How much one job counts.
const WEIGHT: f64 = 0.1;

/// How long it takes until what was learnt counts for a third: load changes within seconds.
const FADE: Micros = Micros::from_secs(2);

/// How long a route is remembered on which nothing waits.
const ROUTE_AGE: Micros = Micros::from_secs(60);

/// Jobs that are alike in their prospects.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Kind {
    /// The route.
    pub route: Name,
    /// Whether they can only be late, and take what others leave.
    pub late: bool,
}

/// What became of jobs that had waited.
#[derive(Debug, Clone, Default)]
pub struct Prospects {
    kinds: FxHashMap<Kind, [Chance; STEPS.len()]>,
}

/// The chance of jobs that have waited for a step to begin.
#[derive(Debug, Clone, Copy)]
struct Chance {
    value: f64,
    at: Time,
}

impl Default for Chance {
    fn default() -> Self {
        Self {
            value: 1.0,
            at: Time::default(),
        }
    }
}

impl Chance {
    /// Returns the chance: what was learnt long ago counts for little.
    fn now(&self, now: Time) -> f64 {
        let age = now.since(self.at).0 as f64 / FADE.0 as f64;
        1.0 - (1.0 - self.value) * (-age).exp()
    }

    fn learn(&mut self, now: Time, outcome: f64) {
        let value = self.now(now);
        self.value = value + (outcome - value) * WEIGHT;
        self.at = now;
    }
}

impl Prospects {
    /// Returns the next wait after `wait` at which to ask again; never after the last.
    pub fn next(wait: Micros) -> Option<Micros> {
        STEPS.into_iter().find(|&step| step > wait)
    }

    /// Returns whether a job that has waited so long is worth a longer wait.
    pub fn is_fair(&self, now: Time, kind: &Kind, wait: Micros) -> bool {
        let step = STEPS.iter().rposition(|&step| step <= wait);
        let chances = self.kinds.get(kind);
        let chance = step.zip(chances).map(|(step, row)| row[step].now(now));
        chance.is_none_or(|chance| chance >= FAIR)
    }

    /// Takes in that a job has begun after a wait.
    pub fn begun(&mut self, now: Time, kind: &Kind, wait: Micros) {
        self.learn(now, kind, wait, 1.0);
    }

    /// Takes in that a job has waited until it was of no use any more.
    pub fn in_vain(&mut self, now: Time, kind: &Kind, wait: Micros) {
        self.learn(now, kind, wait, 0.0);
    }

    /// Takes in that a job was refused for its prospects: for the steps before it had those of the
    /// step at which it was refused.
    pub fn cut_short(&mut self, now: Time, kind: &Kind, wait: Micros) {
        let Some(step) = STEPS.iter().rposition(|&step| step <= wait) else {
            return;
        };
        let Some(row) = self.kinds.get_mut(kind) else {
            return;
        };
        let outcome = row[step].now(now);
        for chance in &mut row[..step] {
            chance.learn(now, outcome);
        }
    }

    /// Forgets kinds of which none has waited for long.
    pub(super) fn forget(&mut self, now: Time) {
        let fresh = |c: &Chance| now.since(c.at) < ROUTE_AGE;
        self.kinds.retain(|_, row| row.iter().any(fresh));
    }

    fn learn(&mut self, now: Time, kind: &Kind, wait: Micros, outcome: f64) {
        let reached = STEPS.iter().filter(|&&step| step <= wait).count();
        if reached == 0 {
            return;
        }
        let row = self.kinds.entry(kind.clone()).or_default();
        for chance in &mut row[..reached] {
            chance.learn(now, outcome);
        }
    }
}
