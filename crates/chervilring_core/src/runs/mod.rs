//! Jobs of tasks that take resources and run under leases.
//!
//! A [`Planner`] takes callers' jobs and decides which upstream runs which task, when, and what is
//! refused. A [`Runner`] stands beside an upstream, has the last word on its capacity and keeps
//! its lease alive. Nothing of a job is stored: a run belongs to the link between its planner and
//! its runner and ends with it, so that a caller who sends a job again finds nothing of it running.

mod bounds;
pub mod planner;
mod route;
pub mod runner;
mod speed;

pub use bounds::{BEAT, LEASE, LINK_SILENCE, PAUSE_LIMIT, RUN_GONE};
pub use planner::Planner;
pub use route::{Route, RouteTable};
pub use runner::Runner;
pub use speed::{Speed, run_at};
