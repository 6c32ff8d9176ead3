//! The table of agents that have announced themselves or connected.

use chervilring_wire::{AgentId, AgentState, DomainName, Load, Name, ServiceName, Time};
use rustc_hash::FxHashMap;

use super::speed::{LaneSpeed, UpstreamSpeed};

/// Liveness of an agent, judged by its messages and its link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// Messages arrive, or the link is up.
    Alive,
    /// Silent for too long to be given new work.
    Suspect,
    /// Silent or disconnected for too long, or replaced by a later incarnation.
    Lost,
    /// The row is vacant.
    Removed,
}

/// State of an agent, as known to this entry.
#[derive(Debug)]
pub(crate) struct AgentRow {
    pub(crate) id: AgentId,
    pub(crate) domain: DomainName,
    pub(crate) state: AgentState,
    pub(crate) services: Vec<ServiceName>,
    pub(crate) labels: Vec<Name>,
    pub(crate) load: Load,
    /// Attempts that this entry has at the agent.
    pub(crate) own_attempts: u32,
    /// Attempts that other entries have at the agent, as last reported.
    pub(crate) other_attempts: u32,
    /// Whether the link to the agent is up.
    pub(crate) connected: bool,
    /// Whether the peers know that this entry may start work at the agent.
    pub(crate) start_allowed: bool,
    /// Arrival of the last message.
    pub(crate) last_heard: Time,
    /// Deadline for the agent to reconnect after its link broke.
    pub(crate) reconnect_deadline: Time,
    /// The agent gets no new work before this time, after a refusal.
    pub(crate) paused_until: Time,
    /// Whether the agent is alive, suspect or lost.
    pub(crate) liveness: Liveness,
    /// Learnt speed of the agent's upstream.
    pub(crate) speed: UpstreamSpeed,
    /// Speeds learnt from the previous incarnation, by row of the service.
    pub(crate) inherited: Vec<(usize, LaneSpeed)>,
    /// Mean round trip to the agent, in microseconds.
    pub(crate) round_trip: f64,
    /// Lanes of the agent: row of the service and index in its pool.
    pub(crate) lanes: Vec<(usize, usize)>,
}

impl AgentRow {
    pub(crate) fn new(id: AgentId, now: Time) -> Self {
        Self {
            id,
            domain: "".into(),
            state: AgentState::Down,
            services: Vec::new(),
            labels: Vec::new(),
            load: Load::default(),
            own_attempts: 0,
            other_attempts: 0,
            connected: false,
            start_allowed: false,
            last_heard: now,
            reconnect_deadline: Time::NEVER,
            paused_until: Time::default(),
            liveness: Liveness::Alive,
            speed: UpstreamSpeed::default(),
            inherited: Vec::new(),
            round_trip: 0.0,
            lanes: Vec::new(),
        }
    }

    /// Returns whether the agent may be given work.
    pub(crate) fn usable(&self) -> bool {
        self.state == AgentState::Ready
            && self.connected
            && self.start_allowed
            && self.liveness == Liveness::Alive
    }

    /// Returns the state shown to operators: ready, or why the agent gets no work.
    pub(crate) fn state_name(&self) -> &'static str {
        match self.state {
            _ if self.liveness == Liveness::Lost => "lost",
            AgentState::Down => "down",
            AgentState::Leaving => "leaving",
            AgentState::Ready if !self.connected => "not-connected",
            AgentState::Ready if self.liveness == Liveness::Suspect => "suspect",
            AgentState::Ready if !self.start_allowed => "not-allowed-yet",
            AgentState::Ready => "ready",
        }
    }
}

/// All agents, in rows that are reused.
#[derive(Debug, Default)]
pub(crate) struct Agents {
    pub(crate) rows: Vec<AgentRow>,
    index: FxHashMap<AgentId, usize>,
    /// Row of the latest incarnation of each agent name.
    latest: FxHashMap<Name, usize>,
    vacant: Vec<usize>,
}

impl Agents {
    pub(crate) fn find(&self, id: &AgentId) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// Adds a row for an agent and returns it.
    pub(crate) fn add(&mut self, id: &AgentId, now: Time) -> usize {
        let new = AgentRow::new(id.clone(), now);
        let row = if let Some(row) = self.vacant.pop() {
            self.rows[row] = new;
            row
        } else {
            self.rows.push(new);
            self.rows.len() - 1
        };
        self.index.insert(id.clone(), row);
        row
    }

    /// Returns whether the row holds the latest known incarnation of its agent.
    pub(crate) fn is_latest(&self, row: usize) -> bool {
        self.latest.get(&self.rows[row].id.name) == Some(&row)
    }

    /// Makes this incarnation the latest of its name and returns the row of the previous one.
    ///
    /// An incarnation older than the latest is marked as lost instead.
    pub(crate) fn replace_latest(&mut self, id: &AgentId) -> Option<usize> {
        let row = self.find(id)?;
        let previous = self.latest.get(&id.name).copied();
        let Some(previous) = previous else {
            self.latest.insert(id.name.clone(), row);
            return None;
        };
        if self.rows[previous].id.incarnation > id.incarnation {
            // A late message of an earlier incarnation.
            self.rows[row].liveness = Liveness::Lost;
            return None;
        }
        self.latest.insert(id.name.clone(), row);
        Some(previous)
    }

    /// Removes an agent and frees its row.
    pub(crate) fn remove(&mut self, row: usize) {
        let id = self.rows[row].id.clone();
        self.index.remove(&id);
        if self.latest.get(&id.name) == Some(&row) {
            self.latest.remove(&id.name);
        }
        self.rows[row].liveness = Liveness::Removed;
        self.vacant.push(row);
    }

    /// Returns the rows in use.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &AgentRow> {
        self.rows.iter().filter(|r| r.liveness != Liveness::Removed)
    }
}
