//! The racks whose data is wanted by more work than is usual.
//!
//! It answers a load in which much work names the same rack for its data. Work that could run
//! anywhere then takes the room that this work needs, which elsewhere runs longer and, where that
//! is much longer, cannot meet its objective.

use std::collections::BTreeMap;

use chervilring_wire::{Micros, Name, ServiceName, Time};

use super::event::PlannerEvent;
use super::job::NewJob;
use super::state::{Planner, PlannerStep};
use super::upstream::Upstream;

/// The time over which demand is averaged.
const DEMAND_TIME: Micros = Micros::from_millis(700);

/// The share of a rack's capacity from which the demand for its data makes it hot.
const HOT_SHARE: f64 = 0.4;

/// The share of a rack's capacity below which it is no longer hot.
const COLD_SHARE: f64 = 0.25;

/// The share of its moment's weight below which demand is forgotten.
const FORGOTTEN_SHARE: f64 = 0.001;

/// The demand for the racks of the upstreams that are linked.
#[derive(Debug, Default)]
pub(super) struct RackDemands {
    services: BTreeMap<ServiceName, ServiceDemand>,
    /// The number of hot racks, over all services.
    hot_count: usize,
}

/// The demand of one service.
#[derive(Debug, Default)]
struct ServiceDemand {
    /// The work of all jobs, in thousandths of a core times microseconds.
    all: f64,
    /// The work of steps that name a rack, in the same unit.
    racks: BTreeMap<Name, RackDemand>,
    /// When the amounts were last decayed.
    updated: Time,
}

/// The demand for one rack.
#[derive(Debug, Default)]
struct RackDemand {
    work: f64,
    hot: bool,
}

impl ServiceDemand {
    /// Decays all amounts to a point in time.
    fn decay(&mut self, now: Time) {
        let age = self.updated.duration_until(now);
        let kept = (-(age.0 as f64) / DEMAND_TIME.0 as f64).exp();
        self.updated = now;
        self.all *= kept;
        self.racks.values_mut().for_each(|r| r.work *= kept);
    }
}

impl RackDemands {
    /// Returns whether a rack is hot for a service.
    fn is_hot(&self, service: &ServiceName, rack: &Name) -> bool {
        let service = self.services.get(service);
        let row = service.and_then(|s| s.racks.get(rack));
        row.is_some_and(|r| r.hot)
    }
}

impl Planner {
    /// Returns the number of racks that are hot.
    pub fn hot_racks(&self) -> usize {
        self.racks.hot_count
    }

    /// Returns whether a task leaves an upstream to the tasks whose data is there: one of its racks
    /// is hot, and none of them is the task's own.
    pub(super) fn leaves_rack(
        &self,
        service: &ServiceName,
        data_rack: Option<&Name>,
        labels: &[Name],
    ) -> bool {
        if self.racks.hot_count == 0 {
            return false;
        }
        let is_own = data_rack.is_some_and(|rack| labels.contains(rack));
        !is_own && labels.iter().any(|l| self.racks.is_hot(service, l))
    }

    /// Records the demand of a new job.
    pub(super) fn record_demand(&mut self, now: Time, submission: &NewJob) {
        let service = &submission.route.service;
        let named = submission.steps.iter().filter_map(|s| s.data_rack.as_ref());
        // Callers may name any rack. Only those of upstreams are counted.
        let known: Vec<&Name> = named
            .filter(|rack| self.has_rack(service.as_str(), rack))
            .collect();
        let row = self.racks.services.entry(service.clone()).or_default();
        row.decay(now);
        row.all += submission.work() as f64;
        for step in &submission.steps {
            let Some(rack) = step.data_rack.as_ref().filter(|r| known.contains(r)) else {
                continue;
            };
            row.racks.entry(rack.clone()).or_default().work += step.work() as f64;
        }
    }

    fn has_rack(&self, service: &str, rack: &Name) -> bool {
        let has_label = |u: &Upstream| {
            let state = u.state.as_ref();
            state.is_some_and(|(s, _)| s.labels.contains(rack))
        };
        let mut offering = self.links.values().filter(|u| u.offers(service));
        offering.any(has_label)
    }

    /// Decides which racks are hot.
    pub(super) fn update_racks(&mut self, now: Time) {
        let mut services = std::mem::take(&mut self.racks.services);
        for (service, demand) in &mut services {
            demand.decay(now);
            let used = self.used_cpu(service.as_str());
            for (rack, row) in &mut demand.racks {
                // A planner sees some of the work and all that is used: the share of the work that
                // names the rack is taken for the share of what is used.
                let wanted = used as f64 * row.work / demand.all.max(1.0);
                let capacity = self.rack_cpu(service.as_str(), rack);
                let limit = if row.hot { COLD_SHARE } else { HOT_SHARE };
                let hot = wanted > capacity as f64 * limit && capacity > 0;
                if hot == row.hot {
                    continue;
                }
                row.hot = hot;
                let event = PlannerEvent::RackChanged {
                    service: service.clone(),
                    rack: rack.clone(),
                    hot,
                    wanted: wanted as u64,
                    capacity,
                };
                self.steps.push(PlannerStep::Log(event));
            }
            let floor = demand.all * FORGOTTEN_SHARE;
            demand.racks.retain(|_, r| r.hot || r.work > floor);
        }
        services.retain(|_, s| s.all >= 1.0 || !s.racks.is_empty());
        let racks = services.values().flat_map(|s| s.racks.values());
        self.racks.hot_count = racks.filter(|r| r.hot).count();
        self.racks.services = services;
    }

    /// Returns the processor time that is used or waited for at the upstreams that accept runs of a
    /// service, in thousandths of a core.
    fn used_cpu(&self, service: &str) -> u64 {
        let accepting = self.links.values().filter(|u| u.accepts(service));
        let states = accepting.filter_map(|u| u.state.as_ref());
        let used = states.map(|(s, _)| {
            let queued: u64 = s.queued.iter().map(|q| q.demand.cpu).sum();
            s.capacity.cpu.saturating_sub(s.free.cpu) + queued
        });
        used.sum()
    }

    /// Returns the processor time of the upstreams of a rack that accept runs of a service, in
    /// thousandths of a core.
    fn rack_cpu(&self, service: &str, rack: &Name) -> u64 {
        let accepting = self.links.values().filter(|u| u.accepts(service));
        let states = accepting.filter_map(|u| u.state.as_ref());
        let here = states.filter(|(s, _)| s.labels.contains(rack));
        here.map(|(s, _)| s.capacity.cpu).sum()
    }
}
