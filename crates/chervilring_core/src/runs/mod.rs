//! Jobs of tasks that take resources and run under leases.
//!
//! A [`Planner`] accepts callers' jobs and decides which upstream runs which task, when, and what
//! is refused. A [`Runner`] stands beside an upstream, makes the final check of its capacity and
//! keeps its lease alive. Jobs are not stored: a run belongs to the link between its planner and
//! its runner and ends with it, so that no earlier run of a job is still active when its caller
//! submits the job again.

mod bounds;
mod evacuation;
mod order;
pub mod planner;
mod route;
pub mod runner;
mod speed;

pub use bounds::{HEARTBEAT_INTERVAL, LEASE_DURATION, LINK_TIMEOUT, MAX_ORPHAN_TIME, PAUSE_LIMIT};
pub use evacuation::EvacuationSource;
pub use order::WorkOrder;
pub use planner::Planner;
pub use route::{Route, RouteTable};
pub use runner::Runner;
pub use speed::{Speed, expected_run_time};
