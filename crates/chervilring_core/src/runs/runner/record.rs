//! The record of an upstream that is stored for the runner's next incarnation.
//!
//! It is needed when all processes are lost and restart under the usual load. Without a record,
//! slow upstreams look like any other, and the jobs placed on them until their speed is known miss
//! their objectives.

use chervilring_wire::{Micros, Time};
use serde::{Deserialize, Serialize};

use super::state::{Runner, RunnerStep};
use super::upstream::Report;
use crate::runs::speed::Speed;

/// The minimum interval between two records that differ only in speed.
const MIN_STORE_INTERVAL: Micros = Micros::from_secs(2);

/// The minimum change of the speed, as a fraction of the stored one, that is stored.
const MIN_SPEED_CHANGE: f64 = 0.15;

/// The stored facts about an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Its last report.
    pub report: Report,
    /// Its speed.
    pub speed: Speed,
}

impl Runner {
    /// Stores the record of the upstream.
    pub(super) fn store_record(&mut self, now: Time) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        self.stored_speed = (self.speed.permille(), now + MIN_STORE_INTERVAL);
        let record = UpstreamRecord {
            report: upstream.report.clone(),
            speed: self.speed,
        };
        self.steps.push(RunnerStep::StoreRecord(record));
    }

    /// Stores the record if the speed differs enough from the stored one.
    pub(super) fn store_speed_if_changed(&mut self, now: Time) {
        let (stored, due) = self.stored_speed;
        let speed = self.speed.permille();
        let far = f64::from(speed.abs_diff(stored)) > f64::from(stored) * MIN_SPEED_CHANGE;
        if now >= due && far {
            self.store_record(now);
        }
    }
}
