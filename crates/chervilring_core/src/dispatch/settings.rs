//! Settings of the dispatcher.

use chervilring_wire::{DomainName, Micros};

use super::policy::Policy;

/// Settings of a [`Dispatcher`](super::Dispatcher), built from defaults.
#[derive(Debug, Clone)]
pub struct DispatchSettings {
    pub(crate) domain: DomainName,
    pub(crate) seed: u64,
    pub(crate) policy: Policy,
    pub(crate) suspect_after: Micros,
    pub(crate) lost_after: Micros,
    pub(crate) reconnect_grace: Micros,
    pub(crate) ejected_percent: u32,
    pub(crate) max_bytes: u64,
}

impl DispatchSettings {
    /// Creates the settings for an entry in the given failure domain.
    pub fn new(domain: DomainName) -> Self {
        Self {
            domain,
            seed: 1,
            policy: Policy::default(),
            suspect_after: Micros::from_millis(1_500),
            lost_after: Micros::from_secs(5),
            reconnect_grace: Micros::from_secs(1),
            ejected_percent: 30,
            max_bytes: 512 << 20,
        }
    }

    /// Returns the failure domain of the entry.
    pub fn domain(&self) -> &DomainName {
        &self.domain
    }

    /// Sets the seed of the random numbers that policies use.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the load-balancing policy.
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the silence after which an agent gets no new work.
    pub fn suspect_after(mut self, duration: Micros) -> Self {
        self.suspect_after = duration;
        self
    }

    /// Sets the silence after which an agent is declared lost.
    pub fn lost_after(mut self, duration: Micros) -> Self {
        self.lost_after = duration;
        self
    }

    /// Sets how long an agent may take to reconnect after its link broke.
    pub fn reconnect_grace(mut self, duration: Micros) -> Self {
        self.reconnect_grace = duration;
        self
    }

    /// Sets the share of a service's upstreams that may be ejected at once, in percent.
    pub fn ejected_percent(mut self, percent: u32) -> Self {
        self.ejected_percent = percent.min(100);
        self
    }

    /// Sets the most bytes of task bodies that are held at once.
    pub fn max_bytes(mut self, max_bytes: u64) -> Self {
        self.max_bytes = max_bytes;
        self
    }
}
