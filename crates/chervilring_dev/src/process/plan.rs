//! What a cluster is made of.

use std::path::{Path, PathBuf};

/// The failure domains that processes are dealt out to.
pub(super) const DOMAINS: [&str; 3] = ["norte", "envigado", "bello"];

/// What a cluster is made of.
#[derive(Debug, Clone)]
pub struct ClusterPlan {
    pub(super) binary: PathBuf,
    pub(super) entries: usize,
    pub(super) workers: Vec<WorkerPlan>,
    pub(super) entry_flags: Vec<(String, String)>,
    pub(super) agent_flags: Vec<(String, String)>,
}

/// An agent with its upstream.
#[derive(Debug, Clone)]
pub struct WorkerPlan {
    pub(super) speed: f64,
    pub(super) slots: u32,
    pub(super) connections: u32,
    pub(super) services: Vec<String>,
}

impl ClusterPlan {
    /// Creates the plan of a cluster without entries and workers, of the developers' program at
    /// `binary`.
    pub fn new(binary: &Path) -> Self {
        Self {
            binary: binary.to_owned(),
            entries: 0,
            workers: Vec::new(),
            entry_flags: Vec::new(),
            agent_flags: Vec::new(),
        }
    }

    /// Sets the number of entries.
    pub fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// Adds an agent with its upstream.
    pub fn worker(mut self, worker: WorkerPlan) -> Self {
        self.workers.push(worker);
        self
    }

    /// Adds a flag of all entries.
    pub fn entry_flag(mut self, flag: &str, value: &str) -> Self {
        self.entry_flags.push((flag.to_owned(), value.to_owned()));
        self
    }

    /// Adds a flag of all agents.
    pub fn agent_flag(mut self, flag: &str, value: &str) -> Self {
        self.agent_flags.push((flag.to_owned(), value.to_owned()));
        self
    }
}

impl WorkerPlan {
    /// Creates the plan of a worker whose upstream does one service at speed one, on eight slots.
    pub fn new(service: &str) -> Self {
        Self {
            speed: 1.0,
            slots: 8,
            connections: 64,
            services: vec![service.to_owned()],
        }
    }

    /// Sets how many times as fast as declared the upstream works.
    pub fn speed(mut self, speed: f64) -> Self {
        self.speed = speed;
        self
    }

    /// Sets how many tasks the upstream runs at once.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets how many connections the upstream accepts.
    pub fn connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    /// Adds a service.
    pub fn service(mut self, service: &str) -> Self {
        self.services.push(service.to_owned());
        self
    }
}
