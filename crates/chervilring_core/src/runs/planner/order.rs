//! The order in which waiting jobs are placed.
//!
//! Orders jobs by their latest start and not by arrival. In a burst, a job with little slack would
//! miss its objective behind a few long jobs that have time to wait.

use chervilring_wire::{Micros, Time};

/// Returns the time by which a job must start to meet its objective. The job with the earliest time
/// goes first.
pub fn latest_start(objective: Time, critical_path: Micros) -> Time {
    objective - critical_path
}
