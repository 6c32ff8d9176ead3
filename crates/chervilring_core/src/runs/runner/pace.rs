//! The pace of the runs that are going on.
//!
//! An upstream that turns several times slower ends few runs from then on, so that its speed, which
//! is learned from ended runs, stays too high for seconds, and planners keep sending it work that
//! comes late. The progress of its runs shows the change within a tenth of a second.

use chervilring_wire::{JobId, Micros, Time};
use rustc_hash::FxHashMap;

/// The shortest interval over which progress is measured: it is listed in whole percents.
const MIN_INTERVAL: Micros = Micros::from_millis(80);

/// How long a measurement counts.
const MAX_AGE: Micros = Micros::from_millis(300);

/// The number of jobs that must show a slowdown: the tasks of one job share its wrong declaration.
const MIN_JOBS: usize = 3;

/// The share of the learned speed below which the pace counts in its place.
const SLOW_SHARE: f64 = 0.35;

/// The least progress that is counted in an interval, in percent.
const MIN_PROGRESS: f64 = 0.25;

/// The lowest speed that is reported, in thousandths.
const MIN_PERMILLE: u32 = 20;

/// The progress of a run at a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// The share that is done, in percent.
    pub percent: u8,
    /// When this was listed.
    pub listed: Time,
}

/// The pace of one run, measured from its progress.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RunPace {
    before: Option<Progress>,
    /// The work done in the time that it took, and when that was measured.
    measured: Option<(f64, Time)>,
}

impl RunPace {
    /// Records the progress of the run, whose task has this declared run time.
    pub fn record(&mut self, declared: Micros, now: Progress) {
        let before = *self.before.get_or_insert(now);
        let elapsed = before.listed.duration_until(now.listed);
        if elapsed < MIN_INTERVAL {
            return;
        }
        let done = f64::from(now.percent.saturating_sub(before.percent));
        let work = done.max(MIN_PROGRESS) / 100.0 * declared.0 as f64;
        self.measured = Some((work / elapsed.0 as f64, now.listed));
        self.before = Some(now);
    }

    /// Returns the speed at which the run has gone lately, if that is known.
    pub fn speed(&self, now: Time) -> Option<f64> {
        let (speed, measured) = self.measured?;
        (measured.duration_until(now) <= MAX_AGE).then_some(speed)
    }
}

/// Returns the speed to expect of an upstream, in thousandths: the learned one, or the pace of the
/// runs that go on if these show that it has become much slower.
pub fn expected_speed(runs: impl Iterator<Item = (JobId, f64)>, learned: u32) -> u32 {
    let mut jobs: FxHashMap<JobId, (f64, f64)> = FxHashMap::default();
    for (job, speed) in runs {
        let (sum, count) = jobs.entry(job).or_default();
        *sum += speed.ln();
        *count += 1.0;
    }
    if jobs.len() < MIN_JOBS {
        return learned;
    }
    let sum: f64 = jobs.values().map(|(sum, count)| sum / count).sum();
    let pace = (sum / jobs.len() as f64).exp() * 1_000.0;
    if pace < f64::from(learned) * SLOW_SHARE {
        return (pace as u32).max(MIN_PERMILLE);
    }
    learned
}
