//! Hosts of workers: the real agent, with a fake upstream behind it.

use chervilring_core::agent::{Agent, AgentSettings, UpstreamEvent};
use chervilring_wire::{AgentId, Incarnation, Micros, Time};

use super::deployment::Worker;

/// How long an upstream takes work without announcing itself again.
pub(crate) const LEASE: Micros = Micros::from_secs(3);

/// How an upstream behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mood {
    /// It does its work.
    Well,
    /// It fails all that it is given, at once.
    Failing,
    /// It never answers.
    Mute,
}

/// A worker's host.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) worker: Worker,
    /// The agent; absent while the host is down.
    pub(crate) agent: Option<Agent>,
    /// Counts the lives of the agent.
    pub(crate) life: u64,
    pub(crate) mood: Mood,
    /// A factor to the worker's own run times.
    pub(crate) factor: f64,
    /// How long it is away once it has stopped, while it stops.
    pub(crate) away: Option<Micros>,
    /// When it began to leave.
    pub(crate) left: Option<Time>,
    /// When the agent's next wake-up is due.
    pub(crate) wake: Time,
}

impl Host {
    pub(crate) fn new(worker: &Worker) -> Self {
        Self {
            worker: worker.clone(),
            agent: None,
            life: 0,
            mood: Mood::Well,
            factor: 1.0,
            away: None,
            left: None,
            wake: Time::NEVER,
        }
    }

    /// Returns the agent in its present life.
    pub(crate) fn id(&self) -> AgentId {
        AgentId {
            name: self.worker.name.clone(),
            incarnation: Incarnation(self.life),
        }
    }

    /// Starts the next life of the agent.
    pub(crate) fn boot(&mut self, now: Time) {
        self.life += 1;
        self.away = None;
        self.left = None;
        self.wake = Time::NEVER;
        let settings = AgentSettings::new(self.id(), self.worker.domain.clone());
        self.agent = Some(Agent::new(settings, now));
    }

    /// Has the upstream announce itself to the agent.
    pub(crate) fn renew(&mut self, now: Time, service: &str) {
        let event = UpstreamEvent::Announce {
            url: "http://127.0.0.1:1".into(),
            services: vec![service.into()],
            labels: Vec::new(),
            slots: self.worker.slots,
            connections: self.worker.connections,
            lease: LEASE,
        };
        if self.left.is_some() {
            return;
        }
        if let Some(agent) = &mut self.agent {
            agent.upstream_event(now, event);
        }
    }

    /// Returns how long a task takes, given its run time on a worker of middling speed.
    pub(crate) fn run(&self, size: u32) -> Micros {
        let run = f64::from(size) * self.worker.slowness * self.factor;
        Micros(run as u64)
    }
}
