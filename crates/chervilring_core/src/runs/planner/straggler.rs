//! Whether a run is so slow that its task does better to begin again elsewhere.
//!
//! The load that this answers: an upstream turns several times slower, or lets its tasks stand still,
//! while others are as before. A long task that stays there is late for certain.

use chervilring_wire::Micros;

/// Before this a run's pace says little.
const FIRST_LOOK: Micros = Micros::from_millis(250);

/// What a stop and a new start take.
const RESTART: Micros = Micros::from_millis(60);

/// How many times longer the rest must take than all of it elsewhere: declared sizes are rough, and
/// what was done is thrown away.
const GAIN: f64 = 2.0;

/// How many times longer than usual on its upstream it must take: a task that is longer than it was
/// said to be is so everywhere.
const SLOWER: f64 = 3.0;

/// The share that counts as done while nothing is.
const LEAST_DONE: f64 = 0.005;

/// How a run gets on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// How much of it is done, in percent.
    pub percent: u8,
    /// How long it has run.
    pub span: Micros,
    /// How long its task is said to run at speed one.
    pub size: Micros,
    /// The usual speed of its upstream.
    pub usual: f64,
    /// The speed of the fastest upstream.
    pub best: f64,
}

impl Pace {
    /// Returns how long the task is expected to take elsewhere, from now.
    pub fn again(&self) -> Micros {
        let run = Micros((self.size.0 as f64 / self.best) as u64);
        run + RESTART
    }

    /// Returns how long the run goes on if it keeps its pace.
    pub fn left(&self) -> Micros {
        let done = self.done();
        Micros((self.span.0 as f64 * (1.0 - done) / done) as u64)
    }

    /// Returns whether its task does better to begin again elsewhere.
    pub fn is_straggler(&self) -> bool {
        let late = self.left().0 as f64 > self.again().0 as f64 * GAIN;
        let usual = self.size.0 as f64 / self.usual;
        let slow = (self.span.0 + self.left().0) as f64 > usual * SLOWER;
        self.span >= FIRST_LOOK && late && slow
    }

    fn done(&self) -> f64 {
        (f64::from(self.percent) / 100.0).max(LEAST_DONE)
    }
}
