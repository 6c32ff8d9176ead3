//! Routes from callers' requests to services.

use std::sync::Arc;

use chervilring_wire::{Micros, Name, ServiceName};

/// A route: which requests it matches, and the limits and objective of its jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name of the route.
    pub name: Name,
    /// The host that requests must name; empty for any.
    pub host: Name,
    /// The prefix that the path must have.
    pub prefix: Name,
    /// The service that runs the tasks.
    pub service: ServiceName,
    /// The priority of its jobs; zero is the most urgent.
    pub priority: u32,
    /// How many times a task may fail before its job fails.
    pub max_attempts: u32,
    /// The objective's factor on the duration of a job's longest chain of tasks.
    pub slack_factor: f64,
    /// The time that the objective allows in addition.
    pub target_duration: Micros,
    /// The timeout of a job whose caller names no deadline.
    pub default_timeout: Micros,
}

/// The routes of one version of the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RouteTable {
    /// The version of the configuration.
    pub version: u64,
    /// The largest request body, in bytes.
    pub max_body: usize,
    routes: Vec<Arc<Route>>,
}

impl RouteTable {
    /// Creates a table of routes.
    pub fn new(version: u64, max_body: usize, mut routes: Vec<Route>) -> Self {
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        Self {
            version,
            max_body,
            routes: routes.into_iter().map(Arc::new).collect(),
        }
    }

    /// Returns the route with the longest prefix that matches a path at a host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let matches = |route: &&Arc<Route>| {
            let same_host = route.host.is_empty() || route.host.eq_ignore_ascii_case(name);
            same_host && path.starts_with(&*route.prefix)
        };
        self.routes.iter().find(matches)
    }

    /// Returns all routes, in the order of descending prefix length.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }
}
