//! Links to the agents.

use chervilring_wire::{
    AgentId, AgentMessage, Announce, AnnounceAck, EntryMessage, Now, Revision, Ring, RingVersion,
    StartBatch, TaskAnswer, TaskKey, TaskStart,
};
use rustc_hash::FxHashMap;

use super::{Change, Entry, EntryStep};

/// The agents whose link is up.
#[derive(Debug, Default)]
pub(super) struct AgentTable {
    table: FxHashMap<AgentId, Agent>,
}

#[derive(Debug, Default)]
struct Agent {
    /// The configuration that the agent has in force.
    revision: Revision,
    /// The newest configuration that was sent to it.
    sent: Revision,
}

impl AgentTable {
    /// Returns each agent with the configuration it has in force.
    pub(super) fn revisions(&self) -> impl Iterator<Item = (&AgentId, Revision)> {
        self.table.iter().map(|(id, agent)| (id, agent.revision))
    }
}

impl Entry {
    /// Takes in an announcement and returns the answer to it.
    pub fn announce(&mut self, now: Now, announce: &Announce) -> AnnounceAck {
        self.dispatcher.announce(now.mono, announce);
        if let Some(agent) = self.agents.table.get_mut(&announce.agent) {
            agent.revision = announce.revision;
            if announce.revision.max(agent.sent) < self.config.revision {
                self.send_agent_config(&announce.agent);
            }
        }
        AnnounceAck {
            entry: self.id.clone(),
            ring: self.ring().version,
            revision: self.config.revision,
        }
    }

    /// Takes in that the link to an agent is up.
    pub fn agent_up(&mut self, now: Now, agent: &AgentId) {
        self.agents.table.insert(agent.clone(), Agent::default());
        let ring = EntryMessage::Ring(self.ring().clone());
        self.send_agent(agent, ring);
        self.send_agent_config(agent);
        self.membership.agent_up(now, agent);
        self.dispatcher.connect(now.mono, agent);
        if self.membership.may_use(agent) {
            self.dispatcher.allow(agent);
        }
        let change = Change::AgentUp(agent.clone());
        self.steps.push(EntryStep::Change(change));
    }

    /// Takes in that the link to an agent is down.
    pub fn agent_down(&mut self, now: Now, agent: &AgentId) {
        if self.agents.table.remove(agent).is_none() {
            return;
        }
        self.dispatcher.disconnect(now.mono, agent);
        let change = Change::AgentDown(agent.clone());
        self.steps.push(EntryStep::Change(change));
    }

    /// Takes in a message of an agent.
    pub fn agent_message(&mut self, now: Now, from: &AgentId, message: AgentMessage) {
        match message {
            AgentMessage::Answers(answers) => self.answers(now, from, answers),
            AgentMessage::Adopted {
                ring,
                started,
                whole,
            } => self
                .membership
                .agent_adopted(now, from, ring, &started, whole),
            AgentMessage::Load(load) => self.dispatcher.load(now.mono, from, load),
        }
    }

    fn answers(&mut self, now: Now, from: &AgentId, answers: Vec<TaskAnswer>) {
        let keys: Vec<TaskKey> = answers.iter().map(|answer| answer.key).collect();
        self.dispatcher.answers(now.mono, from, answers);
        self.send_agent(from, EntryMessage::Received(keys));
    }

    /// Starts tasks at an agent.
    pub(super) fn start(&mut self, ring: RingVersion, agent: AgentId, tasks: Vec<TaskStart>) {
        let message = EntryMessage::Start(StartBatch { ring, tasks });
        self.steps.push(EntryStep::Agent { to: agent, message });
    }

    pub(super) fn cancel_at(&mut self, agent: AgentId, keys: Vec<TaskKey>) {
        let message = EntryMessage::Cancel(keys);
        self.steps.push(EntryStep::Agent { to: agent, message });
    }

    /// Returns how many agents' links are up.
    pub fn agents_up(&self) -> usize {
        self.agents.table.len()
    }

    /// Tells all agents of a new ring.
    pub(super) fn push_ring(&mut self, ring: &Ring) {
        let agents: Vec<AgentId> = self.agents.table.keys().cloned().collect();
        for agent in agents {
            self.send_agent(&agent, EntryMessage::Ring(ring.clone()));
        }
    }

    /// Tells all agents of a new configuration.
    pub(super) fn push_config(&mut self) {
        let agents: Vec<AgentId> = self.agents.table.keys().cloned().collect();
        for agent in agents {
            self.send_agent_config(&agent);
        }
    }

    fn send_agent_config(&mut self, to: &AgentId) {
        let Some(blob) = self.revisions.blob() else {
            return;
        };
        if let Some(agent) = self.agents.table.get_mut(to) {
            agent.sent = blob.revision;
        }
        self.send_agent(to, EntryMessage::Config(blob));
    }

    fn send_agent(&mut self, to: &AgentId, message: EntryMessage) {
        self.steps.push(EntryStep::Agent {
            to: to.clone(),
            message,
        });
    }
}
