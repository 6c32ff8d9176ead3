//! The start timeout of jobs, which limits the queue under overload.
//!
//! When more work arrives than upstreams can do for seconds, jobs that wait until they are late
//! waste their callers' time and delay the jobs behind them.

use chervilring_wire::{Micros, Time};

/// The times of a job that determine its start deadline.
#[derive(Debug, Clone, Copy)]
pub struct JobTimes {
    /// When the job arrived.
    pub arrived: Time,
    /// How long the objective allows, counted from the first submission.
    pub objective_duration: Micros,
    /// When the objective is missed.
    pub objective: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// The declared run time of its longest chain of dependent steps.
    pub critical_path: Micros,
    /// The share of the objective that it may wait.
    pub wait_share: f64,
}

/// Returns the latest time at which the first task of a job may start: after a share of its
/// objective, but early enough to finish before the objective and the caller's deadline. For a job
/// that is late anyway only the caller's deadline limits the share.
pub fn start_deadline(times: &JobTimes) -> Time {
    let share = Micros((times.objective_duration.0 as f64 * times.wait_share) as u64);
    let timely = times.objective.min(times.deadline) - times.critical_path;
    let latest = if timely > times.arrived {
        timely
    } else {
        times.deadline - times.critical_path
    };
    (times.arrived + share).min(latest).max(times.arrived)
}
