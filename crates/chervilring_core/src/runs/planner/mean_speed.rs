//! The mean speed of an upstream, to measure run times by.
//!
//! Runners learn the speed from the latest few runs, whose declared run times are off: the reported
//! speed moves about the true one.

use chervilring_wire::{Micros, Time};

/// The longest time over which the mean is taken.
const MEAN_TIME: Micros = Micros::from_secs(10);

/// The shortest time over which the mean is taken, while little is known.
const MIN_MEAN_TIME: Micros = Micros::from_millis(200);

/// The ratio to the mean from which a reported speed is a change of the upstream.
const CHANGE: f64 = 1.6;

/// The mean of the speeds reported by a runner.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MeanSpeed {
    /// The natural logarithm of the mean.
    log: f64,
    /// The logarithm that was last reported.
    last_log: f64,
    /// When the first report of this mean and the last report came.
    times: Option<(Time, Time)>,
}

impl MeanSpeed {
    /// Takes in a reported speed.
    pub(super) fn record(&mut self, speed: f64, now: Time) {
        let log = speed.max(f64::MIN_POSITIVE).ln();
        let is_change = (log - self.log).abs() > CHANGE.ln();
        let (first, last) = self.times.filter(|_| !is_change).unwrap_or((now, now));
        if first == now {
            self.log = log;
        }
        let time = first.duration_until(now).0;
        let mean_time = time.clamp(MIN_MEAN_TIME.0, MEAN_TIME.0) as f64;
        let held = last.duration_until(now).0 as f64;
        let share = 1.0 - (-held / mean_time).exp();
        self.log += (self.last_log - self.log) * share;
        self.last_log = log;
        self.times = Some((first, now));
    }

    /// Returns the mean speed.
    pub(super) fn value(&self) -> f64 {
        self.log.exp()
    }
}
