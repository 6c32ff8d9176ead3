//! The lanes of each agent, one for each service that it runs.

use chervilring_wire::{AgentId, Load, ServiceName, Time};

use super::agents::AgentRow;
use super::dispatcher::Dispatcher;

impl Dispatcher {
    /// Returns the row of an agent and adds one for a new incarnation.
    ///
    /// The previous incarnation is declared lost. Its round trip and learnt speeds are inherited, the
    /// run times of each service with reduced weight.
    pub(crate) fn find_or_add_agent(&mut self, now: Time, id: &AgentId) -> usize {
        if let Some(row) = self.agents.find(id) {
            return row;
        }
        let row = self.agents.add(id, now);
        let Some(earlier) = self.agents.replace_latest(id) else {
            return row;
        };
        let previous = &self.agents.rows[earlier];
        let speeds = previous.lanes.iter().map(|&(service, lane)| {
            let mut speed = self.services[service].pool.lanes[lane].speed;
            speed.decay();
            (service, speed)
        });
        let inherited = speeds.collect();
        let (speed, round_trip) = (previous.speed, previous.round_trip);
        let new = &mut self.agents.rows[row];
        (new.inherited, new.speed, new.round_trip) = (inherited, speed, round_trip);
        self.lose_agent(now, earlier);
        row
    }

    /// Removes an agent and its lanes.
    pub(crate) fn remove_agent(&mut self, agent: usize) {
        for (service, lane) in std::mem::take(&mut self.agents.rows[agent].lanes) {
            self.services[service].pool.remove(lane);
        }
        self.agents.remove(agent);
    }

    /// Returns the expected run times at an agent by service, in milliseconds.
    pub(crate) fn run_times(&self, row: &AgentRow) -> Vec<(ServiceName, f64)> {
        let run_times = row.lanes.iter().map(|&(service, lane)| {
            let service = &self.services[service];
            let speed = service.pool.lanes[lane].speed;
            let run_time = speed.run_time(&service.pool.speed, &row.speed);
            (service.service.name.clone(), run_time / 1_000.0)
        });
        run_times.collect()
    }

    /// Adds and removes lanes so that an agent has one in each service that it runs.
    ///
    /// A lane with attempts in flight is kept.
    pub(crate) fn update_lanes(&mut self, now: Time, agent: usize) {
        let row = &self.agents.rows[agent];
        let mut lanes = row.lanes.clone();
        let inherited = &row.inherited;
        for (index, service) in self.services.iter_mut().enumerate() {
            let selector = &service.service.selector;
            let matches = service.active
                && row.services.contains(&service.service.name)
                && selector.labels.iter().all(|l| row.labels.contains(l));
            let existing = lanes.iter().position(|&(s, _)| s == index);
            if let (false, Some(position)) = (matches, existing)
                && service.pool.lanes[lanes[position].1].own_attempts == 0
            {
                service.pool.remove(lanes.swap_remove(position).1);
            }
            if matches && existing.is_none() {
                let lane = service.pool.add(agent);
                if let Some(speed) = inherited.iter().find(|(s, _)| *s == index) {
                    service.pool.lanes[lane].speed = speed.1;
                }
                lanes.push((index, lane));
            }
        }
        self.agents.rows[agent].lanes = lanes;
        self.refresh_lanes(now, agent);
    }

    /// Records the load that an agent reports.
    pub(crate) fn set_load(&mut self, now: Time, agent: usize, load: Load) {
        let row = &mut self.agents.rows[agent];
        row.load = load;
        row.other_attempts = (load.running + load.waiting).saturating_sub(row.own_attempts);
        self.refresh_lanes(now, agent);
    }

    /// Recomputes latency, slots and capacity of the lanes of an agent.
    pub(crate) fn refresh_lanes(&mut self, now: Time, agent: usize) {
        let row = &self.agents.rows[agent];
        let usable = row.usable();
        let slots = row.load.slots;
        let free = slots.saturating_sub(row.own_attempts + row.other_attempts);
        for &(service, lane) in &row.lanes {
            let service = &mut self.services[service];
            let limit = service.service.limits.slots.unwrap_or(slots);
            let (pool, index) = (&mut service.pool, lane);
            let lane = &mut pool.lanes[index];
            lane.latency = row.round_trip + lane.speed.run_time(&pool.speed, &row.speed);
            lane.usable = usable && !lane.health.is_ejected();
            lane.total_slots = f64::from(slots);
            lane.available_slots = f64::from(slots.saturating_sub(row.other_attempts));
            lane.utilization = (row.own_attempts + row.other_attempts) * 1_000 / slots.max(1);
            let max_own = limit.min(lane.health.window());
            let capacity = free.min(max_own.saturating_sub(lane.own_attempts));
            let capacity = if self.settings.policy.push {
                1
            } else {
                capacity
            };
            let accepting = lane.usable && now >= row.paused_until;
            lane.capacity = if accepting { capacity } else { 0 };
            pool.reindex(index);
        }
    }
}
