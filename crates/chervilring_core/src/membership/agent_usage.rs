//! The agents that this entry uses, or will use once its peers have acknowledged them.

use chervilring_wire::AgentId;
use rustc_hash::FxHashMap;

#[derive(Debug)]
struct UsedAgent {
    generation: u32,
    pending_acks: u32,
}

/// The agents of this entry.
#[derive(Debug, Default)]
pub(crate) struct AgentUsage {
    agents: FxHashMap<AgentId, UsedAgent>,
    last_generation: u32,
    newly_allowed: Vec<AgentId>,
}

impl AgentUsage {
    /// Adds an agent that waits for the acknowledgements of `pending_acks` peers, and returns its
    /// generation.
    pub(crate) fn add(&mut self, agent: &AgentId, pending_acks: u32) -> u32 {
        self.last_generation += 1;
        let generation = self.last_generation;
        self.agents.insert(
            agent.clone(),
            UsedAgent {
                generation,
                pending_acks,
            },
        );
        if pending_acks == 0 {
            self.newly_allowed.push(agent.clone());
        }
        generation
    }

    /// Records the acknowledgement of an agent by one peer.
    pub(crate) fn record_ack(&mut self, agent: &AgentId, generation: u32) {
        let Some(used) = self.agents.get_mut(agent) else {
            return;
        };
        if used.generation != generation || used.pending_acks == 0 {
            return;
        }
        used.pending_acks -= 1;
        if used.pending_acks == 0 {
            self.newly_allowed.push(agent.clone());
        }
    }

    /// Removes an agent and returns whether it was there.
    pub(crate) fn remove(&mut self, agent: &AgentId) -> bool {
        self.agents.remove(agent).is_some()
    }

    /// Returns whether an agent is in the table, allowed or not.
    pub(crate) fn contains(&self, agent: &AgentId) -> bool {
        self.agents.contains_key(agent)
    }

    /// Returns an earlier incarnation of an agent that is still in the table.
    pub(crate) fn earlier_incarnation(&self, agent: &AgentId) -> Option<AgentId> {
        let earlier = |a: &&AgentId| a.name == agent.name && a.incarnation < agent.incarnation;
        self.agents.keys().find(earlier).cloned()
    }

    /// Returns whether all peers have acknowledged the agent, so that work may be started on it.
    pub(crate) fn allowed(&self, agent: &AgentId) -> bool {
        self.agents
            .get(agent)
            .is_some_and(|used| used.pending_acks == 0)
    }

    /// Drains the agents that have become allowed.
    pub(crate) fn drain_allowed(&mut self) -> Vec<AgentId> {
        let newly_allowed = std::mem::take(&mut self.newly_allowed);
        newly_allowed
            .into_iter()
            .filter(|a| self.allowed(a))
            .collect()
    }

    /// Returns all agents with their generations, in a fixed order.
    pub(crate) fn all(&self) -> Vec<(AgentId, u32)> {
        let mut all: Vec<_> = self.agents.iter().collect();
        all.sort_unstable_by_key(|(agent, _)| *agent);
        let pair = |(agent, used): (&AgentId, &UsedAgent)| (agent.clone(), used.generation);
        all.into_iter().map(pair).collect()
    }

    /// Returns the number of agents, and how many of them are allowed.
    pub(crate) fn count(&self) -> (usize, usize) {
        let allowed = self.agents.values().filter(|used| used.pending_acks == 0);
        (self.agents.len(), allowed.count())
    }
}
