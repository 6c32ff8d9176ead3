//! The dispatcher's part of the status document for operators.

use chervilring_wire::{AgentId, DomainName, ServiceName, TeamName};
use serde::Serialize;

/// The state of the dispatcher.
#[derive(Debug, Clone, Default, Serialize)]
pub struct DispatchStatus {
    /// Submissions held.
    pub submissions: usize,
    /// Attempts in flight at agents.
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
    /// Tasks in the queue.
    pub queued: usize,
    /// Tasks in the queue, by team.
    pub teams: Vec<(TeamName, usize)>,
    /// Upstreams that may be given work.
    pub upstreams: usize,
}

/// State of an agent, as known to the dispatcher.
#[derive(Debug, Clone, Serialize)]
pub struct AgentStatus {
    /// The agent.
    pub agent: AgentId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether the agent may be given work, or why not.
    pub state: &'static str,
    /// Slots of the agent's upstream.
    pub slots: u32,
    /// Attempts that this entry has at the agent.
    #[serde(rename = "own")]
    pub own_attempts: u32,
    /// Attempts that other entries have at the agent, as last reported.
    #[serde(rename = "others")]
    pub other_attempts: u32,
    /// Expected run times by service, in milliseconds.
    #[serde(rename = "runs")]
    pub run_times: Vec<(ServiceName, f64)>,
}
