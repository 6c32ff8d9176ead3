//! The state of the upstream, as known from its announcements and its calls.

use chervilring_wire::{AgentState, Micros, Name, ServiceName, Time};
use rustc_hash::FxHashMap;

use super::step::UpstreamEvent;

/// The run time assumed for a service before its first answer.
const DEFAULT_RUN_TIME: Micros = Micros::from_millis(100);

/// The upstream beside the agent.
#[derive(Debug, Default)]
pub(super) struct Upstream {
    /// The base URL.
    pub(super) url: Name,
    /// The services that it provides.
    pub(super) services: Vec<ServiceName>,
    /// Labels of the worker.
    pub(super) labels: Vec<Name>,
    /// The number of tasks that it runs at once.
    pub(super) slots: u32,
    /// The time until which it accepts work without a further announcement.
    pub(super) lease_deadline: Time,
    /// Whether it has announced that it leaves.
    leaving: bool,
    /// Moving averages of the run times, by service.
    mean_run_times: FxHashMap<ServiceName, Micros>,
}

impl Upstream {
    /// Applies an event and returns whether anything but the lease changed.
    pub(super) fn apply(&mut self, now: Time, event: UpstreamEvent) -> bool {
        let UpstreamEvent::Announce {
            url,
            services,
            labels,
            slots,
            connections,
            lease,
        } = event
        else {
            let changed = !self.leaving;
            self.leaving = true;
            self.lease_deadline = now;
            return changed;
        };
        let slots = slots.min(connections);
        let changed = self.state(now) != AgentState::Ready
            || (&self.url, &self.services, &self.labels, self.slots)
                != (&url, &services, &labels, slots);
        self.url = url;
        self.services = services;
        self.labels = labels;
        self.slots = slots;
        self.lease_deadline = now + lease;
        self.leaving = false;
        changed
    }

    /// Returns whether the upstream accepts work.
    pub(super) fn state(&self, now: Time) -> AgentState {
        if self.leaving {
            return AgentState::Leaving;
        }
        if now < self.lease_deadline {
            AgentState::Ready
        } else {
            AgentState::Down
        }
    }

    /// Treats the upstream as down until its next announcement.
    pub(super) fn mark_down(&mut self, now: Time) {
        self.lease_deadline = self.lease_deadline.min(now);
    }

    /// Returns whether the upstream provides this service.
    pub(super) fn offers(&self, service: &ServiceName) -> bool {
        self.services.contains(service)
    }

    /// Updates the moving average of a service's run time; the new value has a weight of 1/4.
    pub(super) fn record_run_time(&mut self, service: &ServiceName, run_time: Micros) {
        let mean = self
            .mean_run_times
            .entry(service.clone())
            .or_insert(run_time);
        mean.0 = (mean.0 * 3 + run_time.0) / 4;
    }

    /// Returns the moving average of a service's run time.
    pub(super) fn mean_run_time(&self, service: &ServiceName) -> Micros {
        self.mean_run_times
            .get(service)
            .copied()
            .unwrap_or(DEFAULT_RUN_TIME)
    }
}
