//! Detection of runs so slow that their tasks should start again elsewhere.
//!
//! An upstream can become several times slower or stall its tasks while others work as before. A
//! long task that stays there misses its objective.

use chervilring_wire::Micros;

/// The time that a run must have taken before its progress is meaningful.
const MIN_RUN_TIME: Micros = Micros::from_millis(250);

/// The time that a stop and a new start take.
const RESTART_COST: Micros = Micros::from_millis(60);

/// The least ratio of the remaining run time to the time of a new run elsewhere. Declared run times
/// are rough, and a stop discards the work done.
const MIN_GAIN: f64 = 2.0;

/// The least ratio of the run's total time to that usual on its upstream. A task that exceeds its
/// declared run time would do so on every upstream.
const MIN_SLOWDOWN: f64 = 3.0;

/// The least share that counts as done, as 0% would give an infinite remaining time.
const MIN_DONE_SHARE: f64 = 0.005;

/// The progress of a run and the speeds to compare it with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// The share that is done, in percent.
    pub percent: u8,
    /// How long it has run.
    pub run_time: Micros,
    /// The declared run time of its task, which is the time at speed 1.0.
    pub declared_runtime: Micros,
    /// The usual speed of its upstream.
    pub usual_speed: f64,
    /// The speed of the fastest upstream of the service.
    pub best_speed: f64,
}

impl Pace {
    /// Returns how long a new run elsewhere is expected to take, including the restart.
    pub fn restart_time(&self) -> Micros {
        let run = Micros((self.declared_runtime.0 as f64 / self.best_speed) as u64);
        run + RESTART_COST
    }

    /// Returns the remaining run time at the present pace.
    pub fn remaining(&self) -> Micros {
        let done = self.done_share();
        Micros((self.run_time.0 as f64 * (1.0 - done) / done) as u64)
    }

    /// Returns whether the task should start again elsewhere.
    pub fn is_straggler(&self) -> bool {
        let late = self.remaining().0 as f64 > self.restart_time().0 as f64 * MIN_GAIN;
        let usual = self.declared_runtime.0 as f64 / self.usual_speed;
        let slow = (self.run_time.0 + self.remaining().0) as f64 > usual * MIN_SLOWDOWN;
        self.run_time >= MIN_RUN_TIME && late && slow
    }

    fn done_share(&self) -> f64 {
        (f64::from(self.percent) / 100.0).max(MIN_DONE_SHARE)
    }
}
