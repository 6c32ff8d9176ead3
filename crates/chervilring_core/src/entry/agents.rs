//! Links to the agents.

use std::collections::BTreeSet;

use chervilring_wire::{
    AgentConfig, AgentId, AgentMessage, Announce, AnnounceAck, EntryMessage, Micros, Now, Revision,
    Ring, RingVersion, ServiceName, StartBatch, TaskAnswer, TaskKey, TaskStart, Time,
};
use rustc_hash::FxHashMap;

use super::{Change, Entry, EntryStep};

/// How long an agent's link may be down before the agent counts as gone.
const GONE: Micros = Micros::from_secs(60);

/// The agents whose link is up.
#[derive(Debug, Default)]
pub(super) struct AgentTable {
    table: FxHashMap<AgentId, Agent>,
    /// Agents whose link is down, and when they count as gone.
    down: BTreeSet<(Time, AgentId)>,
}

#[derive(Debug, Default)]
struct Agent {
    /// The configuration that the agent has in force.
    revision: Revision,
    /// The newest configuration that was sent to it.
    sent: Revision,
    /// The services of its upstream.
    services: Vec<ServiceName>,
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
        self.dispatcher.handle_announce(now.mono, announce);
        if let Some(agent) = self.agents.table.get_mut(&announce.agent) {
            agent.revision = announce.revision;
            let known = agent.services == announce.services;
            if !known || announce.revision.max(agent.sent) < self.config.revision {
                agent.services.clone_from(&announce.services);
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
        self.agents.down.retain(|(_, down)| down != agent);
        let ring = EntryMessage::Ring(self.ring().clone());
        self.send_agent(agent, ring);
        self.send_agent_config(agent);
        self.membership.add_agent(now, agent);
        self.dispatcher.agent_connected(now.mono, agent);
        if self.membership.may_use(agent) {
            self.dispatcher.allow_starts(agent);
        }
        let change = Change::AgentUp(agent.clone());
        self.steps.push(EntryStep::Change(change));
    }

    /// Takes in that the link to an agent is down.
    pub fn agent_down(&mut self, now: Now, agent: &AgentId) {
        if self.agents.table.remove(agent).is_none() {
            return;
        }
        self.agents.down.insert((now.mono + GONE, agent.clone()));
        self.dispatcher.agent_disconnected(now.mono, agent);
        let change = Change::AgentDown(agent.clone());
        self.steps.push(EntryStep::Change(change));
    }

    /// Takes in a message of an agent.
    pub fn agent_message(&mut self, now: Now, from: &AgentId, message: AgentMessage) {
        match message {
            AgentMessage::Answers(answers) => self.answers(now, from, answers),
            AgentMessage::Installed {
                ring,
                started,
                complete: whole,
            } => self
                .membership
                .agent_installed(now, from, ring, &started, whole),
            AgentMessage::Load(load) => self.dispatcher.update_load(now.mono, from, load),
        }
    }

    fn answers(&mut self, now: Now, from: &AgentId, answers: Vec<TaskAnswer>) {
        let keys: Vec<TaskKey> = answers.iter().map(|answer| answer.key).collect();
        self.dispatcher.handle_answers(now.mono, from, answers);
        self.send_agent(from, EntryMessage::AckAnswers(keys));
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

    /// Sends an agent the limits of its services, or of all while its services are not known: it
    /// takes them in place of those that it has.
    fn send_agent_config(&mut self, to: &AgentId) {
        let Some(agent) = self.agents.table.get_mut(to) else {
            return;
        };
        if !self.revisions.is_loaded() {
            return;
        }
        agent.sent = self.config.revision;
        let concerns = |name| agent.services.is_empty() || agent.services.contains(name);
        let services = self.config.services.values().filter(|s| concerns(&s.name));
        let caps = services.filter_map(|s| Some((s.name.clone(), s.limits.slots?)));
        let config = AgentConfig {
            revision: self.config.revision,
            limits: caps.collect(),
        };
        self.send_agent(to, EntryMessage::Config(config));
    }

    /// Tells the membership of agents whose link has been down for long: they are not used again,
    /// and a later home need not wait for their reports.
    pub(super) fn forget_agents(&mut self, now: Now) {
        while let Some((due, _)) = self.agents.down.first() {
            if *due > now.mono {
                break;
            }
            if let Some((_, agent)) = self.agents.down.pop_first() {
                self.membership.remove_agent(now, &agent);
            }
        }
    }

    fn send_agent(&mut self, to: &AgentId, message: EntryMessage) {
        self.steps.push(EntryStep::Agent {
            to: to.clone(),
            message,
        });
    }
}
