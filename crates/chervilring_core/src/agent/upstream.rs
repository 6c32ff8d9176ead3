//! The upstream as its announcements and its calls show it.

use chervilring_wire::{AgentState, Micros, Name, ServiceName, Time};
use rustc_hash::FxHashMap;

use super::step::UpstreamEvent;

/// The run time assumed for a service before its first answer.
const FIRST_RUN: Micros = Micros::from_millis(100);

/// The upstream beside the agent.
#[derive(Debug, Default)]
pub(super) struct Upstream {
    /// The base URL.
    pub(super) url: Name,
    /// The services it does.
    pub(super) services: Vec<ServiceName>,
    /// Labels of the worker.
    pub(super) labels: Vec<Name>,
    /// Tasks it runs at once.
    pub(super) slots: u32,
    /// It takes work until then.
    pub(super) lease: Time,
    /// Whether it said that it leaves.
    left: bool,
    /// Mean run times by service.
    runs: FxHashMap<ServiceName, Micros>,
}

impl Upstream {
    /// Takes in what the upstream told; returns whether anything but the lease changed.
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
            let changed = !self.left;
            self.left = true;
            self.lease = now;
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
        self.lease = now + lease;
        self.left = false;
        changed
    }

    /// Returns whether the upstream takes work.
    pub(super) fn state(&self, now: Time) -> AgentState {
        if self.left {
            return AgentState::Leaving;
        }
        if now < self.lease {
            AgentState::Ready
        } else {
            AgentState::Down
        }
    }

    /// Takes the upstream as down until it announces itself again.
    pub(super) fn lose(&mut self, now: Time) {
        self.lease = self.lease.min(now);
    }

    /// Returns whether the upstream does this service.
    pub(super) fn offers(&self, service: &ServiceName) -> bool {
        self.services.contains(service)
    }

    /// Learns from a run, a quarter of it at a time.
    pub(super) fn learn(&mut self, service: &ServiceName, run: Micros) {
        let mean = self.runs.entry(service.clone()).or_insert(run);
        mean.0 = (mean.0 * 3 + run.0) / 4;
    }

    /// Returns the mean run time of a service.
    pub(super) fn run(&self, service: &ServiceName) -> Micros {
        self.runs.get(service).copied().unwrap_or(FIRST_RUN)
    }
}
