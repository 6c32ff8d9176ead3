//! The agents that have announced themselves or connected.

use chervilring_wire::{AgentId, AgentState, DomainName, Load, Name, ServiceName, Time};
use rustc_hash::FxHashMap;

use super::speed::{LaneSpeed, UpstreamSpeed};

/// Whether an agent is thought to be alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// It was heard of lately.
    Alive,
    /// It was silent for too long to be given new work.
    Suspect,
    /// It was given up.
    Lost,
    /// Its row is vacant.
    Removed,
}

/// An agent, as this entry knows it.
#[derive(Debug)]
pub(crate) struct AgentRow {
    pub(crate) id: AgentId,
    pub(crate) domain: DomainName,
    pub(crate) state: AgentState,
    pub(crate) services: Vec<ServiceName>,
    pub(crate) labels: Vec<Name>,
    pub(crate) load: Load,
    /// Attempts of this entry there.
    pub(crate) own_attempts: u32,
    /// Attempts of other entries there, as last reported.
    pub(crate) other_attempts: u32,
    /// Whether the link is up.
    pub(crate) connected: bool,
    /// Whether the peers know that this entry may start work there.
    pub(crate) start_allowed: bool,
    /// When it was last heard of.
    pub(crate) last_heard: Time,
    /// Until when it must come back after its link broke.
    pub(crate) reconnect_deadline: Time,
    /// No new work before this, after a refusal.
    pub(crate) paused_until: Time,
    /// Whether it is thought to be alive.
    pub(crate) liveness: Liveness,
    /// What is learnt of its upstream's speed.
    pub(crate) speed: UpstreamSpeed,
    /// What was learnt in its last life, by row of the service.
    pub(crate) inherited: Vec<(usize, LaneSpeed)>,
    /// The round trip to it, in microseconds.
    pub(crate) round_trip: f64,
    /// The lanes it has: row of the service, index in its pool.
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

    /// Returns whether it may be given work.
    pub(crate) fn usable(&self) -> bool {
        self.state == AgentState::Ready
            && self.connected
            && self.start_allowed
            && self.liveness == Liveness::Alive
    }

    /// Returns why it may not be given work, or that it may.
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

/// All agents.
#[derive(Debug, Default)]
pub(crate) struct Agents {
    pub(crate) rows: Vec<AgentRow>,
    index: FxHashMap<AgentId, usize>,
    /// The row of the last life of each name.
    latest: FxHashMap<Name, usize>,
    vacant: Vec<usize>,
}

impl Agents {
    pub(crate) fn find(&self, id: &AgentId) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// Adds a row for an agent.
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

    /// Returns whether no later life of this agent is known.
    pub(crate) fn is_latest(&self, row: usize) -> bool {
        self.latest.get(&self.rows[row].id.name) == Some(&row)
    }

    /// Returns the row of the last life before this one, and keeps this one as the last.
    pub(crate) fn replace_latest(&mut self, id: &AgentId) -> Option<usize> {
        let row = self.find(id)?;
        let previous = self.latest.get(&id.name).copied();
        let Some(previous) = previous else {
            self.latest.insert(id.name.clone(), row);
            return None;
        };
        if self.rows[previous].id.incarnation > id.incarnation {
            // A late message of an earlier life.
            self.rows[row].liveness = Liveness::Lost;
            return None;
        }
        self.latest.insert(id.name.clone(), row);
        Some(previous)
    }

    /// Forgets an agent; its row is used again.
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
