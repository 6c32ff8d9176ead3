//! The run times of tasks as they are, learnt for each route from ended runs.
//!
//! Callers declare run times before they know them: single ones are off, and those of a route may all
//! be too long or too short. Upstreams count as sound at the usual speed of their service, as the
//! scale of speeds is that of the declared run times.

use chervilring_wire::{
    Micros, Name, PlannerMessage, RouteRunTimes, RunEnd, RunKey, ServiceName, Time,
};
use rustc_hash::{FxHashMap, FxHashSet};

use super::job::{Job, NewJob, Task};
use super::links::LinkNo;
use super::ratios::Ratios;
use super::replicas::replica_holders;
use super::state::{Planner, PlannerStep};
use super::upstream::Upstream;
use crate::runs::route::RouteTable;

/// The largest number of routes in a message and in the tables of planners and runners.
pub(in crate::runs) const MAX_ROUTES: usize = 64;

/// The time between two messages with run times for runners to keep.
const STORE_INTERVAL: Micros = Micros::from_secs(2);

/// The share of runs that are shorter than the run time by which a started job is given up. The other
/// tasks of such a job are done, so that a fair chance is worth a run.
const HOPEFUL_SHARE: f64 = 0.25;

/// The ratio from which run times clearly differ from those declared: the scale of speeds is not
/// known better.
const CLEAR_RATIO: f64 = 1.15;

/// What a planner has learnt of run times.
#[derive(Debug, Clone, Default)]
pub(super) struct RunTimes {
    routes: FxHashMap<Name, Ratios>,
    /// The routes in force, once they are known.
    in_force: Option<FxHashSet<Name>>,
    /// The usual speed of the upstreams of each service.
    usual_speeds: FxHashMap<ServiceName, f64>,
    /// When run times are next sent to a runner.
    next_store: Time,
    /// The number of messages sent, by which runners take turns.
    stores: usize,
}

impl RunTimes {
    /// Returns the learnt ratios of a route; `None` as long as there are too few.
    fn of_route(&self, route: &str) -> Option<&Ratios> {
        self.routes.get(route).filter(|r| r.is_reliable())
    }

    /// Returns the usual speed of a service's upstreams.
    fn usual_speed(&self, service: &ServiceName) -> f64 {
        self.usual_speeds.get(service).copied().unwrap_or(1.0)
    }

    /// Returns the expected ratio of the run times of a route: one, unless they clearly differ from
    /// those declared.
    fn expected_ratio(&self, route: &str) -> f64 {
        let learnt = self.of_route(route).map_or(1.0, Ratios::median);
        if learnt.ln().abs() < CLEAR_RATIO.ln() {
            return 1.0;
        }
        learnt
    }

    /// Returns whether a route may have an entry.
    fn may_keep(&self, route: &Name) -> bool {
        let in_force = self.in_force.as_ref();
        in_force.is_none_or(|names| names.contains(route))
            && (self.routes.len() < MAX_ROUTES || self.routes.contains_key(route))
    }

    fn record(&mut self, route: &Name, ratio: f64) {
        if !self.may_keep(route) {
            return;
        }
        self.routes.entry(route.clone()).or_default().record(ratio);
    }

    /// Returns the factor from a declared run time to the expected one at speed one, in the scale of
    /// reported speeds.
    pub(super) fn factor(&self, route: &str, service: &ServiceName) -> f64 {
        let Some(learnt) = self.of_route(route) else {
            return 1.0;
        };
        let factor = learnt.median() * self.usual_speed(service);
        if factor.ln().abs() < CLEAR_RATIO.ln() {
            return 1.0;
        }
        factor
    }
}

impl Planner {
    /// Sets the routes in force: what was learnt of others is dropped.
    pub fn set_routes(&mut self, table: &RouteTable) {
        let names: FxHashSet<Name> = table.routes().iter().map(|r| r.name.clone()).collect();
        self.run_times.routes.retain(|name, _| names.contains(name));
        self.run_times.in_force = Some(names);
    }

    /// Returns the expected run time of a job's longest chain of steps on sound upstreams near its
    /// data.
    pub(super) fn expected_path(&self, submission: &NewJob) -> Micros {
        let ratio = self.run_times.expected_ratio(&submission.route.name);
        scale(submission.critical_path(), ratio)
    }

    /// Returns the time for which a task needs room at least if it is to have a fair chance to end, at
    /// a speed.
    pub(super) fn hopeful_run_time(&self, job: &Job, declared: Micros, speed: f64) -> Micros {
        let route = &job.submission.route;
        let learnt = self.run_times.of_route(&route.name);
        let usual_speed = self.run_times.usual_speed(&route.service);
        let factor = learnt.map_or(1.0, |r| r.quantile(HOPEFUL_SHARE) * usual_speed);
        scale(declared, factor / speed)
    }

    /// Measures a run that has ended, if its start is known.
    pub(super) fn measure_run(&mut self, now: Time, link: LinkNo, run: &RunKey, end: RunEnd) {
        let Some((seq, index)) = self.runs.get(run).copied() else {
            return;
        };
        let (Some(job), Some(upstream)) = (self.jobs.get_mut(&seq), self.links.get(&link)) else {
            return;
        };
        let route = &job.submission.route;
        let task = &mut job.tasks[index];
        let Some(started) = task.running_since.filter(|(n, _)| *n == run.attempt) else {
            return;
        };
        let declared = job.submission.steps[task.step].declared_runtime;
        let usual_speed = self.run_times.usual_speed(&route.service);
        let relative_speed = upstream.mean_speed.value() / usual_speed;
        let distance = task.sent_runtime.0.max(1) as f64 / declared.0.max(1) as f64;
        let work = scale(started.1.duration_until(now), relative_speed / distance);
        match end {
            RunEnd::Done => {
                let ratio = work.0 as f64 / declared.0.max(1) as f64;
                self.run_times.record(&route.name, ratio);
                task.work = Some(task.failed_work + work);
            }
            RunEnd::Failed if self.is_healthy(now, link) => {
                if let Some(job) = self.jobs.get_mut(&seq) {
                    job.tasks[index].failed_work = job.tasks[index].failed_work + work;
                }
            }
            RunEnd::Failed | RunEnd::Stopped | RunEnd::Lapsed => {}
        }
    }

    /// Returns whether an upstream gets as many runs as it can take: its failed runs are then the
    /// tasks' own failures.
    fn is_healthy(&self, now: Time, link: LinkNo) -> bool {
        let upstream = self.links.get(&link);
        let profile = upstream.and_then(|u| self.profiles.get(&u.name));
        profile.is_some_and(|p| p.health.run_limit(now).is_none())
    }

    /// Returns how long the objective of a job allows, by the run times of its tasks as they were.
    /// Tasks that were not measured count as expected.
    pub(super) fn true_objective(&self, job: &Job) -> Micros {
        let route = &job.submission.route;
        let ratio = self.run_times.expected_ratio(&route.name);
        let chain = job.submission.longest_chain(|step, row| {
            let work = |t: &Task| t.work.unwrap_or(scale(row.declared_runtime, ratio));
            let tasks = job.tasks.iter().filter(|t| t.step == step);
            tasks.map(work).max().unwrap_or_default()
        });
        scale(chain, route.slack_factor) + route.target_duration
    }

    /// Updates the usual speeds of services. They are those that run times are declared for as long as
    /// a third of the upstreams are at least as fast, and a third at most.
    pub(super) fn update_usual_speeds(&mut self) {
        let mut speeds: FxHashMap<&ServiceName, Vec<f64>> = FxHashMap::default();
        for upstream in self.links.values() {
            let Some((state, _)) = &upstream.state else {
                continue;
            };
            let rows = speeds.entry(&state.service).or_default();
            rows.push(upstream.mean_speed.value());
        }
        let usual = |(service, mut rows): (&ServiceName, Vec<f64>)| {
            rows.sort_unstable_by(f64::total_cmp);
            let last = rows.len() - 1;
            (
                service.clone(),
                1.0_f64.clamp(rows[last / 3], rows[last * 2 / 3]),
            )
        };
        self.run_times.usual_speeds = speeds.into_iter().map(usual).collect();
    }

    /// Sends what was learnt to the next of a few runners, which keep it for planners that start.
    pub(super) fn store_run_times(&mut self, now: Time) {
        if now < self.run_times.next_store {
            return;
        }
        self.run_times.next_store = now + STORE_INTERVAL;
        let learnt = self.run_times.routes.iter();
        let row = |(route, ratios): (&Name, &Ratios)| ratios.to_message(route.clone());
        let rows: Vec<RouteRunTimes> = learnt.filter(|(_, r)| r.is_reliable()).map(row).collect();
        let knowing = self.links.iter().filter(|(_, u)| u.source.knows_room());
        let holders = replica_holders(knowing.map(|(&link, u)| (link, &u.name)));
        if rows.is_empty() || holders.is_empty() {
            return;
        }
        self.run_times.stores += 1;
        let link = holders[self.run_times.stores % holders.len()];
        let message = PlannerMessage::StoreRunTimes(rows);
        self.steps.push(PlannerStep::Send { link, message });
    }

    /// Takes in what a runner has kept of routes of which this planner has seen less.
    pub(super) fn recall_run_times(&mut self, rows: &[RouteRunTimes]) {
        for row in rows.iter().take(MAX_ROUTES) {
            let known = self.run_times.routes.get(&row.route);
            if !self.run_times.may_keep(&row.route) || known.is_some_and(Ratios::is_settled) {
                continue;
            }
            let Some(recalled) = Ratios::from_message(row) else {
                continue;
            };
            let ratios = self.run_times.routes.entry(row.route.clone()).or_default();
            ratios.recall(recalled);
        }
    }
}

impl Upstream {
    /// Returns the expected run time of a task there, with the factor of its route.
    pub(super) fn expected_run(&self, declared: Micros, factor: f64) -> Micros {
        scale(declared, factor / self.speed())
    }
}

fn scale(time: Micros, factor: f64) -> Micros {
    Micros((time.0 as f64 * factor) as u64)
}
