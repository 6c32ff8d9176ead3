//! What the dispatcher tells operators.

use chervilring_wire::{AgentId, DomainName, ServiceName, TeamName};
use serde::Serialize;

/// The state of the dispatcher.
#[derive(Debug, Clone, Default, Serialize)]
pub struct DispatchStatus {
    /// Submissions in hand.
    pub submissions: usize,
    /// Attempts at agents.
    pub running: usize,
    /// The services, by name.
    pub services: Vec<ServiceStatus>,
    /// The agents, by name.
    pub agents: Vec<AgentStatus>,
}

/// The state of a service.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: ServiceName,
    /// Tasks that wait for an upstream.
    pub queued: usize,
    /// Tasks that wait, by team.
    pub teams: Vec<(TeamName, usize)>,
    /// Upstreams that may be given work.
    pub upstreams: usize,
}

/// An agent, as the dispatcher sees it.
#[derive(Debug, Clone, Serialize)]
pub struct AgentStatus {
    /// The agent.
    pub agent: AgentId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it may be given work, or why not.
    pub state: &'static str,
    /// Slots of its upstream.
    pub slots: u32,
    /// Attempts that this entry has there.
    #[serde(rename = "own")]
    pub own_attempts: u32,
    /// Attempts that other entries have there, as last reported.
    #[serde(rename = "others")]
    pub other_attempts: u32,
    /// Learnt run times by service, in milliseconds.
    #[serde(rename = "runs")]
    pub run_times: Vec<(ServiceName, f64)>,
}
