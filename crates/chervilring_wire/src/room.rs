//! What planners and runners tell each other about room that is short: the order of work, claims
//! and run times. Only processes that say that they know these messages are sent them.

use serde::{Deserialize, Serialize};

use crate::id::Name;
use crate::run::StartRuns;
use crate::time::Micros;

/// What decides which of several runs goes first where there is not room for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Urgency {
    /// The priority of the route; zero is the most urgent.
    pub priority: u32,
    /// How long the run may wait and still meet its job's objective. A duration and not a deadline,
    /// because the clocks of different hosts are not comparable.
    pub slack: Micros,
    /// How long the whole job would keep everything busy that its planner can reach.
    pub work: Micros,
    /// Whether other tasks of the job have started: their work is lost if this one comes too late.
    pub started: bool,
    /// Whether the job can still meet its objective.
    pub timely: bool,
}

/// Runs of one job to start, with what decides their order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderedStart {
    /// The runs.
    pub start: StartRuns,
    /// What decides their order.
    pub urgency: Urgency,
}

/// Runs of one job for which room is claimed, to be confirmed or given back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRuns {
    /// The runs. They may wait for room as long as a start with this queue timeout may.
    pub start: OrderedStart,
    /// How long the room is kept for them once it is there. Not a deadline, as above.
    pub hold: Micros,
}

/// How the run times of a route's tasks compare with those that callers declare.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRunTimes {
    /// The name of the route.
    pub route: Name,
    /// The number of runs on which the ratios rest.
    pub runs: u32,
    /// The ratios of true to declared run times, in thousandths and in ascending order. Each stands for
    /// an equal share of the runs.
    pub ratios: Vec<u32>,
}
