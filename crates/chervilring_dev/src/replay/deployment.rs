//! The hosts and latencies that traces are played on.

use chervilring_wire::{DomainName, Micros, Name};
use serde::{Deserialize, Serialize};

use super::rng::Rng;

/// The slowest worker takes this many times as long as the fastest.
const SPREAD: f64 = 8.0;

/// A worker with its upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// The name.
    pub name: Name,
    /// The failure domain.
    pub domain: DomainName,
    /// The rack, counted over all domains.
    pub rack: u32,
    /// Tasks it runs at once.
    pub slots: u32,
    /// Connections it accepts at once.
    pub connections: u32,
    /// Its run times over those of a worker of middling speed.
    pub slowness: f64,
}

/// The hosts of one user and the latencies between them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Deployment {
    /// The user.
    pub name: Name,
    /// The service that the workers do.
    pub service: Name,
    /// The failure domains; an entry stands in each.
    pub domains: Vec<DomainName>,
    /// The workers.
    pub workers: Vec<Worker>,
    /// One way within a failure domain.
    #[serde(rename = "near_us")]
    pub near: Micros,
    /// One way between failure domains.
    #[serde(rename = "far_us")]
    pub far: Micros,
    /// One way to callers.
    #[serde(rename = "caller_us")]
    pub caller: Micros,
}

impl Deployment {
    /// Returns the hosts of Grupo Mototaller Andino.
    pub fn mototaller() -> Self {
        let domains = ["medellin-norte", "envigado", "bello"];
        Self::build("mototaller", "workshop", domains, 500)
    }

    /// Returns the hosts of Vuepoint Orthoptics.
    pub fn vuepoint() -> Self {
        let domains = ["port-louis", "curepipe", "reduit"];
        Self::build("vuepoint", "realignment", domains, 1_000)
    }

    fn build(name: &str, service: &str, domains: [&str; 3], far: u64) -> Self {
        let mut rng = Rng::new(name.len() as u64);
        let count = 11;
        let step = SPREAD.ln() / f64::from(count - 1);
        let mut speeds: Vec<f64> = (0..count)
            .map(|i| (step * f64::from(i)).exp() / SPREAD.sqrt())
            .collect();
        for i in (1..speeds.len()).rev() {
            speeds.swap(i, rng.below(i + 1));
        }
        let workers = speeds.into_iter().enumerate().map(|(i, slowness)| Worker {
            name: format!("worker-{}", i + 1).into(),
            domain: domains[(i / 3) % 3].into(),
            rack: (i / 3) as u32,
            slots: 8,
            connections: 64,
            slowness,
        });
        Self {
            name: name.into(),
            service: service.into(),
            workers: workers.collect(),
            domains: domains.iter().map(|&d| d.into()).collect(),
            near: Micros(100),
            far: Micros(far),
            caller: Micros::from_millis(3),
        }
    }

    /// Returns the latency one way between two failure domains.
    pub fn hop(&self, a: &DomainName, b: &DomainName) -> Micros {
        if a == b { self.near } else { self.far }
    }

    /// Returns the work done in a second, in seconds of a worker of middling speed.
    pub fn capacity(&self) -> f64 {
        let workers = self.workers.iter();
        workers.map(|w| f64::from(w.slots) / w.slowness).sum()
    }

    /// Returns the slowness of the fastest worker.
    pub fn fastest(&self) -> f64 {
        let workers = self.workers.iter();
        workers.map(|w| w.slowness).fold(f64::INFINITY, f64::min)
    }

    /// Returns the shortest round trip between a caller and an upstream.
    pub fn round_trip(&self) -> Micros {
        Micros(2 * (self.caller.0 + self.near.0))
    }
}
