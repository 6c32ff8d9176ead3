//! The order in which waiting jobs are started.
//!
//! The load that this answers: a burst of one kind of job beside others. A job with little slack
//! misses its objective behind a few long ones, while a long one has room to wait.

use chervilring_wire::{Micros, Time};

/// Returns the point by which a job must be started to meet its objective: the earliest one goes
/// first.
pub fn urgency(objective: Time, chain: Micros) -> Time {
    objective - chain
}
