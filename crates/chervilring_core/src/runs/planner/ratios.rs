//! Histograms of the ratios of true to declared run times.

use chervilring_wire::{Name, RouteRunTimes};
use hdrhistogram::Histogram;

/// The least and the largest ratio that is told apart, in thousandths.
const RATIO_RANGE: (u64, u64) = (50, 20_000);

/// The number of significant decimal digits of a ratio.
const PRECISION: u8 = 2;

/// The number of runs after which a generation is complete.
const GENERATION_RUNS: u64 = 1_000;

/// The number of runs below which nothing rests on the ratios.
const RELIABLE_RUNS: u64 = 50;

/// The number of runs between updates of the quantiles that are in use.
const UPDATE_RUNS: u64 = 16;

/// The number of quantiles in a message: each stands for an equal share of the runs.
const MESSAGE_QUANTILES: usize = 20;

/// The ratios of a route's latest runs: those of the present generation and of the one before.
#[derive(Debug, Clone)]
pub struct Ratios {
    current: Histogram<u32>,
    /// Both generations, as of the last update.
    recent: Histogram<u32>,
    previous: Histogram<u32>,
    median: f64,
}

impl Default for Ratios {
    fn default() -> Self {
        Self {
            current: empty(),
            recent: empty(),
            previous: empty(),
            median: 1.0,
        }
    }
}

impl Ratios {
    /// Adds the ratio of a run.
    pub fn record(&mut self, ratio: f64) {
        let (least, most) = RATIO_RANGE;
        let permille = (ratio * 1_000.0) as u64;
        self.current.saturating_record(permille.clamp(least, most));
        if self.current.len() >= GENERATION_RUNS {
            self.previous = std::mem::replace(&mut self.current, empty());
            self.update();
        } else if self.current.len().is_multiple_of(UPDATE_RUNS) {
            self.update();
        }
    }

    /// Returns whether there are enough runs to rest on.
    pub fn is_reliable(&self) -> bool {
        self.recent.len() >= RELIABLE_RUNS
    }

    /// Returns whether a whole generation has been seen.
    pub fn is_settled(&self) -> bool {
        self.recent.len() >= GENERATION_RUNS
    }

    /// Returns the median ratio.
    pub fn median(&self) -> f64 {
        self.median
    }

    /// Returns the ratio that a share of the runs does not exceed.
    pub fn quantile(&self, share: f64) -> f64 {
        self.recent.value_at_quantile(share) as f64 / 1_000.0
    }

    /// Returns the ratios as a message tells them.
    pub fn to_message(&self, route: Name) -> RouteRunTimes {
        let share = |i: usize| (i as f64 + 0.5) / MESSAGE_QUANTILES as f64;
        let permille = |i| self.recent.value_at_quantile(share(i)) as u32;
        RouteRunTimes {
            route,
            runs: self.recent.len() as u32,
            ratios: (0..MESSAGE_QUANTILES).map(permille).collect(),
        }
    }

    /// Returns the ratios of a message, or `None` if no planner can have sent it.
    pub fn from_message(row: &RouteRunTimes) -> Option<Self> {
        if !is_valid_message(row) {
            return None;
        }
        let (_, most) = RATIO_RANGE;
        let runs = u64::from(row.runs).min(GENERATION_RUNS);
        let mut ratios = Self::default();
        for &permille in &row.ratios {
            let value = u64::from(permille).min(most);
            let count = (runs as u32).div_ceil(MESSAGE_QUANTILES as u32);
            ratios.previous.saturating_record_n(value, count);
        }
        ratios.update();
        Some(ratios)
    }

    /// Takes recalled ratios as the generation before, if they rest on more runs than that.
    pub fn recall(&mut self, recalled: Self) {
        if recalled.previous.len() <= self.previous.len() {
            return;
        }
        self.previous = recalled.previous;
        self.update();
    }

    fn update(&mut self) {
        self.recent.clone_from(&self.previous);
        self.recent += &self.current;
        self.median = self.quantile(0.5);
    }
}

/// Returns whether a planner can have sent a row.
pub(in crate::runs) fn is_valid_message(row: &RouteRunTimes) -> bool {
    let (least, most) = RATIO_RANGE;
    // The values of a histogram are the upper ends of its steps, so that the largest lies above.
    let is_valid = |r: &u32| (least..=most + most / 50).contains(&u64::from(*r));
    row.ratios.len() == MESSAGE_QUANTILES
        && u64::from(row.runs) >= RELIABLE_RUNS
        && row.ratios.iter().all(is_valid)
        && row.ratios.is_sorted()
}

fn empty() -> Histogram<u32> {
    let (_, most) = RATIO_RANGE;
    Histogram::new_with_bounds(1, most, PRECISION).expect("the bounds are constants")
}
