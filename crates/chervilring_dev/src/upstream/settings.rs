//! Settings of the upstream stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Settings of an [`Upstream`](super::Upstream), built from defaults.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// The name that it puts into its answers.
    pub name: String,
    /// Where it is called.
    pub addr: SocketAddr,
    /// The base URL of its agent's HTTP interface; it announces itself to nobody when absent.
    pub agent: Option<String>,
    /// The services that it does.
    pub services: Vec<String>,
    /// Labels of its worker, as `key=value`.
    pub labels: Vec<String>,
    /// Tasks that it runs at once.
    pub slots: u32,
    /// Connections that it accepts at once.
    pub connections: u32,
    /// How long it takes work without a further announcement.
    pub lease: Duration,
    /// How many times as fast as declared it works.
    pub speed: f64,
}

impl UpstreamSettings {
    /// Creates settings of an upstream for one service, on a port that the system chooses.
    pub fn new(name: &str, service: &str) -> Self {
        Self {
            name: name.into(),
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            agent: None,
            services: vec![service.into()],
            labels: Vec::new(),
            slots: 8,
            connections: 64,
            lease: Duration::from_secs(3),
            speed: 1.0,
        }
    }

    /// Sets where it is called.
    pub fn addr(mut self, addr: SocketAddr) -> Self {
        self.addr = addr;
        self
    }

    /// Sets the agent that it announces itself to.
    pub fn agent(mut self, url: &str) -> Self {
        self.agent = Some(url.trim_end_matches('/').into());
        self
    }

    /// Sets the services that it does.
    pub fn services(mut self, services: Vec<String>) -> Self {
        self.services = services;
        self
    }

    /// Sets the labels of its worker.
    pub fn labels(mut self, labels: Vec<String>) -> Self {
        self.labels = labels;
        self
    }

    /// Sets how many tasks it runs at once.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets how many connections it accepts at once.
    pub fn connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    /// Sets how long it takes work without a further announcement.
    pub fn lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self
    }

    /// Sets how many times as fast as declared it works.
    pub fn speed(mut self, speed: f64) -> Self {
        self.speed = speed;
        self
    }
}
