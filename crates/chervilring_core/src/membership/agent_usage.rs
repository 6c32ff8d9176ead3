//! The agents that this entry uses, or will use once its peers know.

use chervilring_wire::AgentId;
use rustc_hash::FxHashMap;

#[derive(Debug)]
struct Used {
    round: u32,
    waits: u32,
}

/// The agents of this entry.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    agents: FxHashMap<AgentId, Used>,
    rounds: u32,
    fresh: Vec<AgentId>,
}

impl Usage {
    /// Adds an agent that waits for `waits` peers, and returns its round.
    pub(crate) fn add(&mut self, agent: &AgentId, waits: u32) -> u32 {
        self.rounds += 1;
        let round = self.rounds;
        self.agents.insert(agent.clone(), Used { round, waits });
        if waits == 0 {
            self.fresh.push(agent.clone());
        }
        round
    }

    /// Notes that one peer less is waited for.
    pub(crate) fn released(&mut self, agent: &AgentId, round: u32) {
        let Some(used) = self.agents.get_mut(agent) else {
            return;
        };
        if used.round != round || used.waits == 0 {
            return;
        }
        used.waits -= 1;
        if used.waits == 0 {
            self.fresh.push(agent.clone());
        }
    }

    /// Removes an agent and returns whether it was there.
    pub(crate) fn remove(&mut self, agent: &AgentId) -> bool {
        self.agents.remove(agent).is_some()
    }

    /// Returns whether an agent is wanted, allowed or not.
    pub(crate) fn contains(&self, agent: &AgentId) -> bool {
        self.agents.contains_key(agent)
    }

    /// Returns an earlier life of an agent that is still in the table.
    pub(crate) fn earlier(&self, agent: &AgentId) -> Option<AgentId> {
        let earlier = |a: &&AgentId| a.name == agent.name && a.incarnation < agent.incarnation;
        self.agents.keys().find(earlier).cloned()
    }

    /// Returns whether no peer is waited for.
    pub(crate) fn allowed(&self, agent: &AgentId) -> bool {
        self.agents.get(agent).is_some_and(|used| used.waits == 0)
    }

    /// Drains the agents that have become allowed.
    pub(crate) fn drain(&mut self) -> Vec<AgentId> {
        let fresh = std::mem::take(&mut self.fresh);
        fresh.into_iter().filter(|a| self.allowed(a)).collect()
    }

    /// Returns all agents with their rounds, in a fixed order.
    pub(crate) fn all(&self) -> Vec<(AgentId, u32)> {
        let mut all: Vec<_> = self.agents.iter().collect();
        all.sort_unstable_by_key(|(agent, _)| *agent);
        let pair = |(agent, used): (&AgentId, &Used)| (agent.clone(), used.round);
        all.into_iter().map(pair).collect()
    }

    /// Returns the number of agents, and of those allowed.
    pub(crate) fn count(&self) -> (usize, usize) {
        let allowed = self.agents.values().filter(|used| used.waits == 0);
        (self.agents.len(), allowed.count())
    }
}
