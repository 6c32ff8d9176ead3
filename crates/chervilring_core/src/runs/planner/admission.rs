//! Until when it is of use to begin a job.
//!
//! The load that this answers: more work comes in than upstreams can do. Jobs that begin too late
//! cost upstreams their run and their caller the wait, and hold up those behind them.

use chervilring_wire::{Micros, Time};

/// What a job asks of its wait.
#[derive(Debug, Clone, Copy)]
pub struct Hold {
    /// When it came in.
    pub arrived: Time,
    /// When its objective is missed.
    pub objective: Time,
    /// When its caller stops waiting.
    pub deadline: Time,
    /// How long its longest chain of tasks runs, by its declared size.
    pub chain: Micros,
}

/// Returns until when a job may wait for its first task: as long as it can be in time, or, if it is
/// late anyway, until its caller would be gone when it ends.
pub fn hold(ask: &Hold) -> Time {
    let timely = ask.objective.min(ask.deadline) - ask.chain;
    let latest = if timely > ask.arrived {
        timely
    } else {
        ask.deadline - ask.chain
    };
    latest.max(ask.arrived)
}
