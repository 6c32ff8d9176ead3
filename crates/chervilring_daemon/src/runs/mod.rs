//! The daemons that run jobs of tasks under leases: planners and runners.
//!
//! What callers, upstreams and the store speak is not decided here: a daemon is given a
//! [`CallerDialect`] or a [`WorkerDialect`], and a [`Registry`].

mod calls;
mod dialect;
mod keeper;
mod limits;
mod operator;
mod pause;
mod planner;
mod planner_log;
mod planner_report;
mod ports;
mod registry;
mod runner;
mod runner_log;
mod runner_report;
mod settings;
#[cfg(test)]
mod tests;
mod times;
mod told;

pub use dialect::{CallerCall, CallerDialect, WorkerDialect, WorkerNotice};
pub use limits::HostLimits;
pub use planner::run_planner;
pub use registry::{EvacuationReading, OperatorChange, OperatorReading, Registry, StoreEvent};
pub use runner::run_runner;
pub use settings::{PlannerConfig, Reload, RunnerConfig};
