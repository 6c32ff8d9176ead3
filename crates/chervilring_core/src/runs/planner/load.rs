//! What a planner knows of the load of a service from its runners, and the decision to refuse at once.
//!
//! It answers loads under which a job that finds no place waits for its share of the objective only to be
//! refused then. Runners tell all their planners the same waits, so that all planners refuse the same kinds
//! of work at the same load, whichever way their callers came.

use std::collections::BTreeMap;

use chervilring_wire::{Micros, Time, UpstreamLoad};

use super::event::PlannerEvent;
use super::links::LinkNo;
use super::state::{Planner, PlannerStep};
use crate::runs::bounds::LOAD_REPEAT;

/// The age from which a load counts as not told: two repetitions are missing.
const LOAD_AGE: Micros = Micros(LOAD_REPEAT.0 * 2 + LOAD_REPEAT.0 / 2);

/// Once a priority is refused, it is until its wait has fallen to this share of what jobs may wait.
const RESUME_SHARE: f64 = 0.75;

/// How often a job of a priority that is refused is tried all the same.
const PROBE_INTERVAL: Micros = Micros::from_millis(50);

/// How long work of one priority waits at the upstreams of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadView {
    /// The number of upstreams that accept runs of the service.
    pub upstreams: usize,
    /// The wait at each of those whose runner has told it lately.
    pub waits: Vec<Micros>,
}

impl LoadView {
    /// Returns the wait that is reached at most upstreams of the service, or zero if that is not known.
    pub fn expected_wait(&self) -> Micros {
        let mut waits = self.waits.clone();
        waits.sort_unstable_by_key(|wait| std::cmp::Reverse(*wait));
        let majority = self.upstreams / 2;
        waits.get(majority).copied().unwrap_or_default()
    }
}

/// The priorities whose jobs are refused at once, with when the next one is tried all the same.
#[derive(Debug, Default)]
pub struct LoadGate {
    refused: BTreeMap<u32, Time>,
}

impl LoadGate {
    /// Returns whether a job that finds no place and may wait for `allowed` is refused now.
    pub fn refuses(&mut self, now: Time, priority: u32, expected: Micros, allowed: Micros) -> bool {
        let next_probe = self.refused.get(&priority).copied();
        let limit = match next_probe {
            Some(_) => Micros((allowed.0 as f64 * RESUME_SHARE) as u64),
            None => allowed,
        };
        if expected <= limit {
            self.refused.remove(&priority);
            return false;
        }
        let is_probe = next_probe.is_some_and(|at| now >= at);
        if is_probe || next_probe.is_none() {
            self.refused.insert(priority, now + PROBE_INTERVAL);
        }
        !is_probe
    }
}

impl Planner {
    pub(super) fn update_load(&mut self, now: Time, link: LinkNo, load: UpstreamLoad) {
        if let Some(upstream) = self.links.get_mut(&link) {
            upstream.load = Some((load, now));
        }
    }

    /// Returns how long work of a priority waits at the upstreams of a service, as runners tell.
    pub fn load_view(&self, now: Time, service: &str, priority: u32) -> LoadView {
        let accepting = self.links.values().filter(|u| u.accepts(service));
        let mut view = LoadView::default();
        for upstream in accepting {
            view.upstreams += 1;
            let told = upstream.load.as_ref();
            let fresh = told.filter(|(_, at)| now.duration_since(*at) < LOAD_AGE);
            let classes = fresh.iter().flat_map(|(load, _)| &load.classes);
            let row = classes.filter(|c| c.priority == priority).map(|c| c.wait);
            view.waits.extend(row.max());
        }
        view
    }

    /// Returns whether a job of which nothing was sent is refused at once: no upstream has a place for it,
    /// and at most of them work of its priority waits longer than it may.
    pub(super) fn is_hopeless(&mut self, now: Time, seq: u64) -> bool {
        let Some(job) = self.jobs.get(&seq) else {
            return false;
        };
        let (id, route) = (job.submission.id, &job.submission.route);
        let (priority, allowed) = (route.priority, now.duration_until(job.start_deadline));
        let view = self.load_view(now, route.service.as_str(), priority);
        let expected = view.expected_wait();
        if !self.load_gate.refuses(now, priority, expected, allowed) {
            return false;
        }
        let event = PlannerEvent::Hopeless {
            job: id,
            priority,
            expected,
            allowed,
        };
        self.steps.push(PlannerStep::Log(event));
        true
    }
}
