//! The upstreams that tasks of a step may use, as a placement counts on them.

use chervilring_wire::{Micros, Name, Resources, Time, UpstreamState};

use super::choice::Candidate;
use super::claims::is_room_short;
use super::job::{Job, Step};
use super::links::LinkNo;
use super::state::Planner;
use super::upstream::{Upstream, expected_wait};

/// A candidate upstream during placement.
pub(super) struct UpstreamSlot<'a> {
    pub(super) link: LinkNo,
    pub(super) name: &'a Name,
    state: &'a UpstreamState,
    /// The resources of runs that are not running yet and go ahead of the tasks.
    pub(super) requested: Resources,
    /// The run time of a task there at speed one: longer outside the rack that holds its data.
    pub(super) declared_runtime: Micros,
    /// The expected run time of a task there.
    pub(super) run_time: Micros,
    /// How many more runs it may be sent.
    pub(super) max_runs: u32,
}

impl UpstreamSlot<'_> {
    /// Returns whether room is short there for what is requested.
    pub(super) fn is_short(&self) -> bool {
        is_room_short(self.state, &self.requested)
    }

    /// Returns the candidate for one task, which must not go to the upstream of the runner `avoid`.
    pub(super) fn candidate(&self, demand: &Resources, avoid: Option<&Name>) -> Candidate {
        let requested = self.requested.saturating_add(demand);
        let total_cpu = self.state.capacity.cpu.max(1) as f64;
        // A runner queues at most as much as its upstream can run at once.
        let queue = requested.saturating_sub(&self.state.free);
        let queue_full = !self.state.capacity.can_fit(&queue);
        Candidate {
            run_time: self.run_time,
            queue_wait: expected_wait(self.state, &requested),
            allowed: self.max_runs > 0 && avoid != Some(self.name),
            queue_full,
            free_share: (self.state.free.cpu as f64 - self.requested.cpu as f64) / total_cpu,
        }
    }
}

impl Planner {
    /// Returns the upstreams that tasks of a step may use.
    pub(super) fn slots<'a>(&'a self, now: Time, job: &Job, step: usize) -> Vec<UpstreamSlot<'a>> {
        let service = job.submission.route.service.as_str();
        let accepting = self.links.iter().filter(|(_, u)| u.accepts(service));
        let route = &job.submission.route;
        let factor = self.run_times.factor(&route.name, &route.service);
        let slot = |(&link, upstream)| self.slot(now, job, step, link, upstream, factor);
        accepting.filter_map(slot).collect()
    }

    /// Returns an upstream as a place for tasks of a step, unless it could never run one. `factor` is
    /// the learned one from declared run times to expected ones.
    fn slot<'a>(
        &'a self,
        now: Time,
        job: &Job,
        step: usize,
        link: LinkNo,
        upstream: &'a Upstream,
        factor: f64,
    ) -> Option<UpstreamSlot<'a>> {
        let row = &job.submission.steps[step];
        let (state, _) = upstream.state.as_ref()?;
        if !could_run(state, row) {
            return None;
        }
        let declared_runtime = self.runtime_at(row, state);
        let run_time = upstream.expected_run(declared_runtime, factor);
        let remaining = upstream.remaining(now, job, run_time);
        Some(UpstreamSlot {
            link,
            name: &upstream.name,
            state,
            requested: upstream.resources_ahead(remaining),
            declared_runtime,
            run_time,
            max_runs: self.max_runs(now, job, step, link, upstream)?,
        })
    }

    /// Returns how many more runs of a step an upstream may be sent.
    fn max_runs(
        &self,
        now: Time,
        job: &Job,
        step: usize,
        link: LinkNo,
        upstream: &Upstream,
    ) -> Option<u32> {
        let profile = self.profiles.get(&upstream.name)?;
        let by_health = profile.health.run_limit(now);
        let by_health = by_health.map_or(u32::MAX, |limit| limit.saturating_sub(upstream.runs));
        let by_step = job.submission.steps[step].worker_limit;
        let by_step = by_step.map_or(u32::MAX, |limit| {
            limit.saturating_sub(job.count_at(step, link))
        });
        Some(by_health.min(by_step))
    }

    /// Returns the run time of a task of a step on an upstream at speed one.
    fn runtime_at(&self, step: &Step, state: &UpstreamState) -> Micros {
        let is_near = |rack: &Name| state.labels.contains(rack);
        if step.data_rack.as_ref().is_none_or(is_near) {
            return step.declared_runtime;
        }
        Micros((step.declared_runtime.0 as f64 * self.settings.remote_factor) as u64)
    }
}

/// Returns whether an upstream without other load could run a task of a step.
pub(super) fn could_run(state: &UpstreamState, step: &Step) -> bool {
    let has_label = step
        .required_label
        .as_ref()
        .is_none_or(|l| state.labels.contains(l));
    has_label && state.capacity.can_fit(&step.demand)
}
