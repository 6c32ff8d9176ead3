//! The run times of routes that planners have learnt, kept for planners that start.

use std::collections::BTreeMap;

use chervilring_wire::{Micros, Name, RouteRunTimes, RunnerMessage, Time};

use super::state::{Runner, RunnerStep};
use crate::runs::planner::{LinkNo, MAX_ROUTES, is_valid_message};

/// How long run times are kept that no planner tells any more: their route may be gone.
const MAX_AGE: Micros = Micros::from_secs(600);

/// The run times that were told last, by route.
#[derive(Debug, Default)]
pub(super) struct StoredRunTimes {
    rows: BTreeMap<Name, (RouteRunTimes, Time)>,
}

impl StoredRunTimes {
    /// Stores what a planner tells. Rows that no planner can mean are dropped.
    pub(super) fn store(&mut self, now: Time, rows: Vec<RouteRunTimes>) {
        self.rows
            .retain(|_, (_, told)| now.duration_since(*told) < MAX_AGE);
        for row in rows.into_iter().take(MAX_ROUTES) {
            let has_place = self.rows.len() < MAX_ROUTES || self.rows.contains_key(&row.route);
            if has_place && is_valid_message(&row) {
                self.rows.insert(row.route.clone(), (row, now));
            }
        }
    }

    fn of_last(&self, now: Time) -> Vec<RouteRunTimes> {
        let rows = self.rows.values();
        let young = rows.filter(|(_, told)| now.duration_since(*told) < MAX_AGE);
        young.map(|(row, _)| row.clone()).collect()
    }
}

impl Runner {
    /// Tells a planner that knows the message what is kept, if anything.
    pub(super) fn tell_run_times(&mut self, now: Time, link: LinkNo) {
        let rows = self.run_times.of_last(now);
        if rows.is_empty() {
            return;
        }
        let message = RunnerMessage::RunTimes(rows);
        self.steps.push(RunnerStep::Send { link, message });
    }
}
