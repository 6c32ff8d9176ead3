//! Services and their selectors, limits, rules and quotas.

use std::collections::BTreeMap;

use chervilring_wire::{Micros, Name, ServiceName, TeamName};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::unit::{DurationText, SizeText};

/// The default for [`Limits::queue`], in tasks.
const DEFAULT_QUEUE: u32 = 10_000;

/// The default for [`Limits::tasks`].
const DEFAULT_TASKS: u32 = 2_000;

/// The default for [`Limits::body_bytes`].
const DEFAULT_BODY_BYTES: u64 = 4 << 20;

/// The default for [`Rules::retry_percent`].
const DEFAULT_RETRY_PERCENT: u32 = 10;

/// A named kind of work, with the upstreams that can run it and its limits, rules and quotas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name, unique in a configuration.
    pub name: ServiceName,
    /// The upstreams that may run the tasks.
    #[serde(default)]
    pub selector: Selector,
    /// The limits on tasks that run or are queued.
    #[serde(default)]
    pub limits: Limits,
    /// The rules for deadlines, retries and hedges.
    pub rules: Rules,
    /// The quota of each team; a team without one is not limited.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub quotas: BTreeMap<TeamName, Quota>,
}

/// Selects among the upstreams that announce a service.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Selector {
    /// Labels, as `key=value`, all of which the upstream's worker must have. An empty list selects
    /// every worker.
    #[serde(default)]
    pub labels: Vec<Name>,
}

/// Limits on the tasks of a service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The maximum number of concurrent tasks of this service on one upstream; all of the
    /// upstream's slots when absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// The maximum number of tasks queued at one entry.
    pub queue: u32,
    /// The maximum number of tasks per job.
    pub tasks: u32,
    /// The maximum size of a task body, in bytes.
    #[serde(rename = "body")]
    #[serde_as(as = "SizeText")]
    pub body_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots: None,
            queue: DEFAULT_QUEUE,
            tasks: DEFAULT_TASKS,
            body_bytes: DEFAULT_BODY_BYTES,
        }
    }
}

/// Rules for the deadlines, retries and hedges of the tasks of a service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// Whether a request may be run again when it may already have run.
    pub idempotent: bool,
    /// The duration from submission to the deadline, for submissions that set no deadline.
    #[serde_as(as = "DurationText")]
    pub deadline: Micros,
    /// The retry budget, as a percentage of task starts.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// The hedge budget, as a percentage of task starts.
    #[serde(default)]
    pub hedge_percent: u32,
}

impl Rules {
    /// Creates rules with the default retry budget and no hedging.
    pub fn new(idempotent: bool, deadline: Micros) -> Self {
        Self {
            idempotent,
            deadline,
            retry_percent: DEFAULT_RETRY_PERCENT,
            hedge_percent: 0,
        }
    }
}

fn default_retry_percent() -> u32 {
    DEFAULT_RETRY_PERCENT
}

/// The limit on task starts of one team for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// The sustained rate, in task starts per second over all entries.
    pub rate: u32,
    /// The maximum burst after a pause, in task starts over all entries.
    pub burst: u32,
}
