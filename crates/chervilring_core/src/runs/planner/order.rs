//! The urgency of waiting jobs, by which planners order them and runners their tasks.

use chervilring_wire::{Micros, Time, Urgency};

use super::job::{Job, NewJob};
use super::state::Planner;
use super::upstream::Upstream;
use crate::runs::order::WorkOrder;

impl Job {
    /// Returns the urgency of a task that runs for `run_time`.
    pub(super) fn urgency(&self, now: Time, run_time: Micros) -> Urgency {
        let latest_start = self.objective - run_time;
        if let Some(first) = self.first_urgency(now < latest_start) {
            return first;
        }
        Urgency {
            priority: self.submission.route.priority,
            slack: now.duration_until(latest_start),
            work: self.work,
            started: self.started_at.is_some(),
            timely: now < latest_start,
        }
    }
}

impl Upstream {
    /// Returns the time by which the runner orders a task of a job that runs for `run_time`: runners
    /// that do not know the order of work go by how long the run may wait.
    pub(super) fn remaining(&self, now: Time, job: &Job, run_time: Micros) -> Micros {
        if self.source.knows_room() {
            return WorkOrder::new(now, &job.urgency(now, run_time)).remaining(now);
        }
        now.duration_until(job.latest_useful_start(now, run_time))
    }
}

impl Planner {
    /// Returns how long a job would keep all processors busy that accept its runs: the delay that it
    /// imposes on the work behind it. Zero as long as none does.
    pub(super) fn relative_work(&self, submission: &NewJob) -> Micros {
        let total_cpu = self.total_cpu(submission.route.service.as_str());
        let time = submission.work().checked_div(total_cpu);
        Micros(time.unwrap_or_default())
    }

    /// Returns the processors of all upstreams that accept runs of a service, in thousandths of a core.
    pub(super) fn total_cpu(&self, service: &str) -> u64 {
        let accepting = self.links.values().filter(|u| u.accepts(service));
        let states = accepting.filter_map(|u| u.state.as_ref());
        states.fold(0, |sum: u64, (s, _)| sum.saturating_add(s.capacity.cpu))
    }
}
