//! What is kept of an upstream for the next life of its runner.
//!
//! The load that this answers: all processes are lost and start again under the usual load. Without a
//! record the slow upstreams look like any other, and the jobs that they get until that is learnt are
//! late.

use chervilring_wire::{Micros, Time};
use serde::{Deserialize, Serialize};

use super::state::{Runner, RunnerStep};
use super::worker::Report;
use crate::runs::speed::Speed;

/// The least time between two records that differ by the speed only.
const KEEP_AGAIN: Micros = Micros::from_secs(2);

/// The share by which the speed must differ from the one that was kept.
const KEEP_SHARE: f64 = 0.15;

/// What is known of an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// What it said of itself.
    pub report: Report,
    /// How fast it is.
    pub speed: Speed,
}

impl Runner {
    /// Has what is known of the upstream kept.
    pub(super) fn keep_record(&mut self, now: Time) {
        let Some(worker) = &self.worker else {
            return;
        };
        self.kept_speed = (self.speed.permille(), now + KEEP_AGAIN);
        let record = Record {
            report: worker.report.clone(),
            speed: self.speed,
        };
        self.steps.push(RunnerStep::Keep(record));
    }

    /// Has the speed kept if it is far from the one that was.
    pub(super) fn keep_speed(&mut self, now: Time) {
        let (kept, due) = self.kept_speed;
        let speed = self.speed.permille();
        let far = f64::from(speed.abs_diff(kept)) > f64::from(kept) * KEEP_SHARE;
        if now >= due && far {
            self.keep_record(now);
        }
    }
}
