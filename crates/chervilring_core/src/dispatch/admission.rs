//! Admission control: the checks that a submission passes before it is queued.

use chervilring_wire::{AgentState, Micros, Reason, Time};

use super::agents::Liveness;
use super::dispatcher::{Dispatcher, ServiceRow};
use super::pool::Lane;
use super::work::Work;

/// Share of the expected latency on the fastest upstream that the shortest tasks need.
const SHORTEST_TASK_SHARE: f64 = 0.15;

/// Share of the time until its deadline that the expected finish of a submission may take.
const MAX_DEADLINE_SHARE: f64 = 0.6;

/// Shortest retry delay given to a refused caller.
const MIN_RETRY_AFTER: Micros = Micros::from_millis(20);

/// Longest retry delay given to a refused caller.
const MAX_RETRY_AFTER: Micros = Micros::from_secs(60);

/// Retry delay given to callers while no upstream is available.
const NO_UPSTREAM_RETRY: Micros = Micros::from_secs(1);

/// Reason for a refusal, and the delay after which a retry is worthwhile.
type Refusal = (Reason, Option<Micros>);

impl Dispatcher {
    /// Checks whether a submission can be accepted; returns the row of its service.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal and, where a retry can succeed, its delay.
    pub(crate) fn admit(&mut self, now: Time, work: &Work) -> Result<usize, Refusal> {
        let row = self.service_index.get(&work.service).copied();
        let Some(index) = row.filter(|&r| self.services[r].active) else {
            return Err((Reason::UnknownService, None));
        };
        let tasks = work.bodies.len();
        if self.services[index].service.quotas.contains_key(&work.team) {
            self.demand.record(now, &work.team, tasks);
        }
        let row = &self.services[index];
        self.check_size(row, work)?;
        if self.submissions.find(work.id).is_some() {
            return Err((Reason::IdReused, None));
        }
        self.check_upstreams(row)?;
        check_deadline(now, row, work, self.demand.entry_count())?;
        self.check_capacity(row, work)?;
        self.check_quota(now, index, work)?;
        Ok(index)
    }

    /// Refuses submissions that exceed the limits of the service.
    fn check_size(&self, row: &ServiceRow, work: &Work) -> Result<(), Refusal> {
        let limits = &row.service.limits;
        let largest = work.bodies.iter().map(|b| b.len() as u64).max();
        let too_many = work.bodies.len() > limits.tasks.min(limits.queue) as usize;
        let too_large = largest.is_some_and(|b| b > limits.body_bytes);
        if too_many || too_large || work.bytes() > self.settings.max_bytes {
            return Err((Reason::TooLarge, None));
        }
        Ok(())
    }

    /// Refuses submissions while no upstream of the service is up.
    fn check_upstreams(&self, row: &ServiceRow) -> Result<(), Refusal> {
        let has_upstream = |lane: &Lane| {
            let agent = self.agents.rows.get(lane.agent);
            agent.is_some_and(|a| a.state == AgentState::Ready && a.liveness != Liveness::Lost)
        };
        if row.pool.usable() > 0 || row.pool.lanes.iter().any(has_upstream) {
            return Ok(());
        }
        Err((Reason::NoUpstream, Some(NO_UPSTREAM_RETRY)))
    }

    /// Refuses submissions that do not fit in the queue or in the memory for task bodies.
    fn check_capacity(&self, row: &ServiceRow, work: &Work) -> Result<(), Refusal> {
        let queued = row.queue.len() + work.bodies.len();
        let excess = queued.saturating_sub(row.service.limits.queue as usize);
        if excess > 0 {
            return Err((Reason::Overload, Some(drain_time(row, excess))));
        }
        if self.body_bytes + work.bytes() > self.settings.max_bytes {
            let half = row.queue.len() / 2 + 1;
            return Err((Reason::Overload, Some(drain_time(row, half))));
        }
        Ok(())
    }

    /// Charges the tasks to the quota of the team, if it has one.
    fn check_quota(&mut self, now: Time, index: usize, work: &Work) -> Result<(), Refusal> {
        let row = &mut self.services[index];
        let Some(&quota) = row.service.quotas.get(&work.team) else {
            return Ok(());
        };
        let tasks = work.bodies.len();
        let acquired = row
            .quotas
            .try_acquire(now, &work.team, quota, tasks, &self.demand);
        acquired.map_err(|wait| {
            (
                Reason::Quota,
                Some(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)),
            )
        })
    }
}

/// Refuses submissions that cannot finish by their deadline, either on idle upstreams or behind the
/// queued tasks.
fn check_deadline(now: Time, row: &ServiceRow, work: &Work, entries: u32) -> Result<(), Refusal> {
    let remaining = now.duration_until(work.deadline).0 as f64;
    let min_latency = row.pool.min_latency();
    if remaining <= min_latency.unwrap_or_default() * SHORTEST_TASK_SHARE {
        return Err((Reason::Deadline, None));
    }
    // Slots held by other entries become free again, so the rate is at least a fair share of all
    // slots.
    let fair_rate = row.pool.full_rate() / f64::from(entries);
    let rate = row.pool.rate().max(fair_rate);
    if rate <= 0.0 {
        return Ok(());
    }
    let tasks = work.bodies.len() as f64;
    let min_time = tasks / rate * SHORTEST_TASK_SHARE;
    if min_time > remaining {
        return Err((Reason::Deadline, None));
    }
    let ahead = row.queue.tasks_ahead(&work.team, work.bodies.len()) as f64;
    let finish = (ahead + tasks) / rate + min_latency.unwrap_or_default();
    let excess = finish - remaining * MAX_DEADLINE_SHARE;
    if excess > 0.0 {
        let wait = Micros(excess as u64).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        return Err((Reason::Deadline, Some(wait)));
    }
    Ok(())
}

/// Returns the expected time until `tasks` tasks have left the queue, as a retry delay.
fn drain_time(row: &ServiceRow, tasks: usize) -> Micros {
    let rate = row.pool.rate().max(1e-9);
    Micros((tasks as f64 / rate) as u64).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
