//! The lanes of each agent, one for each service that it does.

use chervilring_wire::{AgentId, Load, ServiceName, Time};

use super::agents::AgentRow;
use super::dispatcher::Dispatcher;

impl Dispatcher {
    /// Returns the row of an agent, a new one if need be. Earlier lives of it are lost by then.
    pub(crate) fn enter(&mut self, now: Time, id: &AgentId) -> usize {
        if let Some(row) = self.agents.find(id) {
            return row;
        }
        let row = self.agents.add(id, now);
        let Some(older) = self.agents.older(id) else {
            return row;
        };
        let before = &self.agents.rows[older];
        let speeds = before.lanes.iter().map(|&(service, lane)| {
            let mut speed = self.services[service].pool.lanes[lane].speed;
            speed.fade();
            (service, speed)
        });
        let learnt = speeds.collect();
        let (speed, trip) = (before.speed, before.trip);
        let new = &mut self.agents.rows[row];
        (new.learnt, new.speed, new.trip) = (learnt, speed, trip);
        self.lose(now, older);
        row
    }

    /// Takes away an agent that was lost long ago.
    pub(crate) fn remove_agent(&mut self, agent: usize) {
        for (service, lane) in std::mem::take(&mut self.agents.rows[agent].lanes) {
            self.services[service].pool.remove(lane);
        }
        self.agents.remove(agent);
    }

    /// Returns the expected run times on an agent, in milliseconds.
    pub(crate) fn runs(&self, row: &AgentRow) -> Vec<(ServiceName, f64)> {
        let runs = row.lanes.iter().map(|&(service, lane)| {
            let service = &self.services[service];
            let speed = service.pool.lanes[lane].speed;
            let run = speed.run(&service.pool.speed, &row.speed);
            (service.service.name.clone(), run / 1_000.0)
        });
        runs.collect()
    }

    /// Gives an agent a lane in each service that it does.
    pub(crate) fn match_services(&mut self, now: Time, agent: usize) {
        let row = &self.agents.rows[agent];
        let mut lanes = row.lanes.clone();
        let old = &row.learnt;
        for (index, service) in self.services.iter_mut().enumerate() {
            let selector = &service.service.selector;
            let does = service.open
                && row.services.contains(&service.service.name)
                && selector.labels.iter().all(|l| row.labels.contains(l));
            let known = lanes.iter().position(|&(s, _)| s == index);
            if let (false, Some(place)) = (does, known)
                && service.pool.lanes[lanes[place].1].own == 0
            {
                service.pool.remove(lanes.swap_remove(place).1);
            }
            if does && known.is_none() {
                let lane = service.pool.add(agent);
                if let Some(speed) = old.iter().find(|(s, _)| *s == index) {
                    service.pool.lanes[lane].speed = speed.1;
                }
                lanes.push((index, lane));
            }
        }
        self.agents.rows[agent].lanes = lanes;
        self.refresh(now, agent);
    }

    pub(crate) fn take_load(&mut self, now: Time, agent: usize, load: Load) {
        let row = &mut self.agents.rows[agent];
        row.load = load;
        row.others = (load.running + load.waiting).saturating_sub(row.own);
        self.refresh(now, agent);
    }

    /// Carries an agent's state over to its lanes.
    pub(crate) fn refresh(&mut self, now: Time, agent: usize) {
        let row = &self.agents.rows[agent];
        let usable = row.usable();
        let slots = row.load.slots;
        let free = slots.saturating_sub(row.own + row.others);
        for &(service, lane) in &row.lanes {
            let service = &mut self.services[service];
            let limit = service.service.limits.slots.unwrap_or(slots);
            let (pool, index) = (&mut service.pool, lane);
            let lane = &mut pool.lanes[index];
            lane.span = row.trip + lane.speed.run(&pool.speed, &row.speed);
            lane.usable = usable && !lane.health.is_out();
            lane.all = f64::from(slots);
            lane.mine = f64::from(slots.saturating_sub(row.others));
            lane.fill = (row.own + row.others) * 1_000 / slots.max(1);
            let most = limit.min(lane.health.window());
            let room = free.min(most.saturating_sub(lane.own));
            let room = if self.settings.policy.push { 1 } else { room };
            let open = lane.usable && now >= row.closed;
            lane.open = if open { room } else { 0 };
            pool.settle(index);
        }
    }
}
