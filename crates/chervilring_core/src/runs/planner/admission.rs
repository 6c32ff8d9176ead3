//! How long a job may wait for its first task, under more load than there is room.
//!
//! The load that this answers: more work comes in than upstreams can do, for seconds. Jobs that
//! wait until they are late still cost their caller the wait, and hold up those behind them.

use chervilring_wire::{Micros, Time};

/// What a job asks of its wait.
#[derive(Debug, Clone, Copy)]
pub struct Hold {
    /// When it came in.
    pub arrived: Time,
    /// How long its objective gives it from its first sending.
    pub span: Micros,
    /// When its objective is missed.
    pub objective: Time,
    /// When its caller stops waiting.
    pub deadline: Time,
    /// How long its longest chain of tasks runs, by its declared size.
    pub chain: Micros,
    /// The share of the objective that it may wait.
    pub share: f64,
}

/// Returns until when a job may wait for its first task: a share of its objective, but not so long
/// that it would be late or its caller gone when it ends. One that is late anyway may wait until its
/// caller would be gone.
pub fn hold(ask: &Hold) -> Time {
    let share = Micros((ask.span.0 as f64 * ask.share) as u64);
    let timely = ask.objective.min(ask.deadline) - ask.chain;
    let latest = if timely > ask.arrived {
        timely
    } else {
        ask.deadline - ask.chain
    };
    (ask.arrived + share).min(latest).max(ask.arrived)
}
