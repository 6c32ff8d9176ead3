//! The load of an upstream by priority, as its runner tells it to planners.
//!
//! A planner sees its own jobs only. From the loads of its runners it learns how long work of each
//! priority waits at present, whichever planner it came through. Nothing is told while nothing waits,
//! and a load only when it has changed enough to matter; it is repeated while it lasts, so that planners can tell
//! it from one that is out of date.

use std::collections::BTreeMap;

use chervilring_wire::{ClassLoad, Micros, Resources, RunnerMessage, Time, UpstreamLoad};

use super::links::Link;
use super::state::{RunState, Runner, RunnerStep};
use super::state_updates::{change_threshold, is_far};
use crate::runs::bounds::LOAD_REPEAT;

/// The least time between two loads over a link.
const LOAD_INTERVAL: Micros = Micros::from_millis(50);

/// The weight of one wait in the moving average.
const WAIT_WEIGHT: f64 = 0.1;

/// How fast the average falls while nothing of the priority waits: to 1/e in this time.
const IDLE_TIME: Micros = Micros::from_millis(200);

/// The least wait, and the least change of one, that planners are told.
const WAIT_STEP: Micros = Micros::from_millis(10);

/// The moving average of the waits for room of one priority.
#[derive(Debug, Clone, Copy)]
struct MeanWait {
    micros: f64,
    /// When a run of the priority last waited.
    busy: Time,
}

impl MeanWait {
    fn at(&self, now: Time) -> f64 {
        let idle = now.duration_since(self.busy).0 as f64;
        self.micros * (-idle / IDLE_TIME.0 as f64).exp()
    }
}

/// The waits for room at a runner by priority.
#[derive(Debug, Default)]
pub(super) struct Waits {
    means: BTreeMap<u32, MeanWait>,
}

impl Waits {
    /// Records how long a run has waited until it got room, or was refused for the lack of it.
    pub(super) fn record(&mut self, now: Time, priority: u32, wait: Micros) {
        let row = self.means.entry(priority).or_insert(MeanWait {
            micros: 0.0,
            busy: now,
        });
        let mean = row.at(now);
        row.micros = mean + (wait.0 as f64 - mean) * WAIT_WEIGHT;
        row.busy = now;
    }

    /// Keeps the average of a priority of which runs wait now.
    fn keep(&mut self, now: Time, priority: u32) {
        if let Some(row) = self.means.get_mut(&priority) {
            row.busy = now;
        }
    }

    fn mean(&self, now: Time, priority: u32) -> Micros {
        let mean = self.means.get(&priority).map_or(0.0, |row| row.at(now));
        Micros(mean as u64)
    }
}

impl Runner {
    /// Returns the load by priority: of those whose runs wait, or waited shortly before.
    pub(super) fn class_loads(&mut self, now: Time) -> Vec<ClassLoad> {
        let mut rows: BTreeMap<u32, ClassLoad> = BTreeMap::new();
        let queued = self.runs.values().filter(|r| r.state == RunState::Queued);
        for run in queued {
            let row = rows.entry(run.class.priority).or_default();
            row.queued = row.queued.saturating_add(&run.demand);
        }
        for &priority in rows.keys() {
            self.waits.keep(now, priority);
        }
        for &priority in self.waits.means.keys() {
            rows.entry(priority).or_default();
        }
        for (&priority, row) in &mut rows {
            row.priority = priority;
            row.wait = self.waits.mean(now, priority);
        }
        let is_loaded = |row: &ClassLoad| row.wait >= WAIT_STEP || is_some(&row.queued);
        self.waits.means.retain(|_, mean| mean.at(now) >= 1.0);
        rows.into_values().filter(is_loaded).collect()
    }

    /// Tells the load to planners that know this message, where it has changed.
    pub(super) fn send_loads(&mut self, now: Time) {
        let threshold = change_threshold(self.links.len());
        let classes = self.class_loads(now);
        let Some(report) = self.upstream.as_ref().map(|u| &u.report) else {
            return;
        };
        let load = UpstreamLoad {
            service: report.service.clone(),
            classes,
        };
        let knowing = |l: &Link| l.hello_sent && l.knows_room;
        for (&link, row) in self.links.iter_mut().filter(|(_, l)| knowing(l)) {
            let due = LoadChange {
                sent: row.sent_load.as_ref(),
                load: &load,
                capacity: &report.capacity,
                threshold,
            };
            if !due.is_due(now) {
                continue;
            }
            row.sent_load = Some((load.clone(), now));
            let message = RunnerMessage::Load(load.clone());
            self.steps.push(RunnerStep::Send { link, message });
        }
    }
}

/// A load and the one that a planner was told last.
struct LoadChange<'a> {
    sent: Option<&'a (UpstreamLoad, Time)>,
    load: &'a UpstreamLoad,
    capacity: &'a Resources,
    threshold: f64,
}

impl LoadChange<'_> {
    /// Returns whether the load is to be told now.
    fn is_due(&self, now: Time) -> bool {
        let Some((sent, at)) = self.sent else {
            return !self.load.classes.is_empty();
        };
        let age = now.duration_since(*at);
        if age < LOAD_INTERVAL {
            return false;
        }
        let is_over = self.load.classes.is_empty();
        if is_over || sent.classes.is_empty() {
            return is_over != sent.classes.is_empty();
        }
        age >= LOAD_REPEAT || self.is_changed(sent)
    }

    /// Returns whether a priority waits for another time, or for another amount, than was told.
    fn is_changed(&self, sent: &UpstreamLoad) -> bool {
        let row = |load: &UpstreamLoad, priority: u32| {
            let found = load.classes.iter().find(|c| c.priority == priority);
            found.copied().unwrap_or_default()
        };
        let rows = sent.classes.iter().chain(&self.load.classes);
        rows.map(|c| (row(sent, c.priority), row(self.load, c.priority)))
            .any(|(old, new)| {
                let is_wait_far = old.wait.0.abs_diff(new.wait.0) >= WAIT_STEP.0;
                let far = |a, b| is_far(a, b, self.capacity, self.threshold);
                is_wait_far || far(&old.queued, &new.queued) || far(&old.reserved, &new.reserved)
            })
    }
}

/// Returns whether an amount is not zero.
fn is_some(amount: &Resources) -> bool {
    *amount != Resources::default()
}
