//! The routes by which callers reach services.

use std::sync::Arc;

use chervilring_wire::{Micros, Name, ServiceName};

/// A route: where jobs come in, and what is promised of them.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name.
    pub name: Name,
    /// The host that callers ask for; empty for any.
    pub host: Name,
    /// What the path begins with.
    pub prefix: Name,
    /// The service that does the work.
    pub service: ServiceName,
    /// How urgent its jobs are; zero comes first.
    pub priority: u32,
    /// How often a task may fail before its job has failed.
    pub attempts: u32,
    /// How many times its longest chain of tasks a job may take to meet its objective.
    pub slack: f64,
    /// What a job may take beyond that to meet its objective.
    pub target: Micros,
    /// How long a job may take when its caller names no deadline.
    pub timeout: Micros,
}

/// The routes of one version of the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RouteTable {
    /// The version.
    pub version: u64,
    /// The largest body that callers may send, in bytes.
    pub body: usize,
    routes: Vec<Arc<Route>>,
}

impl RouteTable {
    /// Creates a table.
    pub fn new(version: u64, body: usize, mut routes: Vec<Route>) -> Self {
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        Self {
            version,
            body,
            routes: routes.into_iter().map(Arc::new).collect(),
        }
    }

    /// Returns the route with the longest prefix of a path at a host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let fits = |route: &&Arc<Route>| {
            let here = route.host.is_empty() || route.host.eq_ignore_ascii_case(name);
            here && path.starts_with(&*route.prefix)
        };
        self.routes.iter().find(fits)
    }

    /// Returns all routes, those with the longest prefix first.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }
}
