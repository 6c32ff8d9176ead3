//! Settings of planners and runners.

use std::net::{IpAddr, SocketAddr};

use chervilring_wire::{DomainName, Micros, Name};

use super::limits::HostLimits;

/// The settings of a planner.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannerConfig {
    /// The name, kept over restarts.
    pub name: Name,
    /// The failure domain.
    pub domain: DomainName,
    /// Where callers come in.
    pub callers: SocketAddr,
    /// Where the balancer asks whether to send callers here.
    pub ready: SocketAddr,
    /// Where runners come in.
    pub runners: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// How long a planned stop may take.
    pub grace: Micros,
    /// How long callers wait before they send a job again, if that is set.
    pub resend: Option<Micros>,
    /// How many times longer a task runs away from the rack of its data, if that is set.
    pub far: Option<f64>,
    /// What the host has for the process.
    pub limits: HostLimits,
}

/// The settings of a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerConfig {
    /// The name, kept over restarts.
    pub name: Name,
    /// The failure domain.
    pub domain: DomainName,
    /// Where the upstream reports.
    pub reports: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Hosts on which planners may be found without the store.
    pub seeds: Vec<IpAddr>,
    /// The port at which planners take links.
    pub port: u16,
    /// The longest lease that the upstream accepts.
    pub lease: Micros,
    /// How long a planned stop may take.
    pub grace: Micros,
    /// What the host has for the process.
    pub limits: HostLimits,
}

/// Reads settings again: new ones, none where they are as before, or why they are not usable.
pub type Reload<T> = Box<dyn FnMut() -> eyre::Result<Option<T>> + Send>;
