//! The check of each submission before it is accepted.

use chervilring_wire::{AgentState, Micros, Reason, Time};

use super::agents::Life;
use super::dispatcher::{Dispatcher, ServiceRow};
use super::pool::Lane;
use super::work::Work;

/// The share of the expected span on the fastest upstream that the shortest tasks take.
const SHORTEST_SHARE: f64 = 0.15;

/// The share of the span until its deadline that the expected finish of a submission may take.
const CERTAIN_SHARE: f64 = 0.6;

/// The shortest span after which a caller is asked to come back.
const SOONEST: Micros = Micros::from_millis(20);

/// The longest span after which a caller is asked to come back.
const LATEST: Micros = Micros::from_secs(60);

/// When a caller is asked to come back while no upstream is up.
const NO_UPSTREAM: Micros = Micros::from_secs(1);

/// Why a submission is refused, and when to come back.
type Refusal = (Reason, Option<Micros>);

impl Dispatcher {
    /// Checks whether a submission can be accepted; returns the row of its service.
    pub(crate) fn admit(&mut self, now: Time, work: &Work) -> Result<usize, Refusal> {
        let row = self.names.get(&work.service).copied();
        let Some(index) = row.filter(|&r| self.services[r].open) else {
            return Err((Reason::UnknownService, None));
        };
        let tasks = work.bodies.len();
        if self.services[index].service.quotas.contains_key(&work.team) {
            self.demand.ask(now, &work.team, tasks);
        }
        let row = &self.services[index];
        self.check_size(row, work)?;
        if self.submissions.find(work.id).is_some() {
            return Err((Reason::IdReused, None));
        }
        self.check_upstreams(row)?;
        check_deadline(now, row, work, self.demand.entries())?;
        self.check_room(row, work)?;
        self.check_quota(now, index, work)?;
        Ok(index)
    }

    /// Refuses what is larger than the service ever takes.
    fn check_size(&self, row: &ServiceRow, work: &Work) -> Result<(), Refusal> {
        let limits = &row.service.limits;
        let longest = work.bodies.iter().map(|b| b.len() as u64).max();
        let many = work.bodies.len() > limits.tasks.min(limits.queue) as usize;
        let large = longest.is_some_and(|b| b > limits.body_bytes);
        if many || large || work.bytes() > self.settings.bytes {
            return Err((Reason::TooLarge, None));
        }
        Ok(())
    }

    /// Refuses work that no upstream does at present.
    fn check_upstreams(&self, row: &ServiceRow) -> Result<(), Refusal> {
        let up = |lane: &Lane| {
            let agent = self.agents.rows.get(lane.agent);
            agent.is_some_and(|a| a.state == AgentState::Ready && a.life != Life::Lost)
        };
        if row.pool.usable() > 0 || row.pool.lanes.iter().any(up) {
            return Ok(());
        }
        Err((Reason::NoUpstream, Some(NO_UPSTREAM)))
    }

    /// Refuses what finds the queue or the memory for it full.
    fn check_room(&self, row: &ServiceRow, work: &Work) -> Result<(), Refusal> {
        let queued = row.queue.len() + work.bodies.len();
        let over = queued.saturating_sub(row.service.limits.queue as usize);
        if over > 0 {
            return Err((Reason::Overload, Some(drain_span(row, over))));
        }
        if self.bytes + work.bytes() > self.settings.bytes {
            let half = row.queue.len() / 2 + 1;
            return Err((Reason::Overload, Some(drain_span(row, half))));
        }
        Ok(())
    }

    /// Has the team pay for the tasks.
    fn check_quota(&mut self, now: Time, index: usize, work: &Work) -> Result<(), Refusal> {
        let row = &mut self.services[index];
        let Some(&quota) = row.service.quotas.get(&work.team) else {
            return Ok(());
        };
        let tasks = work.bodies.len();
        let paid = row.quotas.pay(now, &work.team, quota, tasks, &self.demand);
        paid.map_err(|wait| (Reason::Quota, Some(wait.clamp(SOONEST, LATEST))))
    }
}

/// Refuses what cannot be done by its deadline, on an empty system or behind what waits.
fn check_deadline(now: Time, row: &ServiceRow, work: &Work, entries: u32) -> Result<(), Refusal> {
    let left = now.duration_until(work.deadline).0 as f64;
    let shortest = row.pool.shortest();
    if left <= shortest.unwrap_or_default() * SHORTEST_SHARE {
        return Err((Reason::Deadline, None));
    }
    // What other entries hold now they will not hold for ever: a fair share is to be had.
    let fair = row.pool.whole_rate() / f64::from(entries);
    let rate = row.pool.rate().max(fair);
    if rate <= 0.0 {
        return Ok(());
    }
    let tasks = work.bodies.len() as f64;
    let alone = tasks / rate * SHORTEST_SHARE;
    if alone > left {
        return Err((Reason::Deadline, None));
    }
    let ahead = row.queue.ahead(&work.team, work.bodies.len()) as f64;
    let finish = (ahead + tasks) / rate + shortest.unwrap_or_default();
    let excess = finish - left * CERTAIN_SHARE;
    if excess > 0.0 {
        let wait = Micros(excess as u64).clamp(SOONEST, LATEST);
        return Err((Reason::Deadline, Some(wait)));
    }
    Ok(())
}

/// Returns the span after which so many tasks will have left the queue.
fn drain_span(row: &ServiceRow, tasks: usize) -> Micros {
    let rate = row.pool.rate().max(1e-9);
    Micros((tasks as f64 / rate) as u64).clamp(SOONEST, LATEST)
}
