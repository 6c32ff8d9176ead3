//! The table of attempts in flight at agents.

use chervilring_wire::{TaskKey, Time};
use rustc_hash::FxHashMap;

/// One attempt in flight at an agent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    /// Row of the agent.
    pub(crate) agent: usize,
    /// Row of the service.
    pub(crate) service: usize,
    /// Lane of the agent in the pool of the service.
    pub(crate) lane: usize,
    /// Time at which the attempt was sent.
    pub(crate) sent_at: Time,
    /// Row of the submission; absent once its answer is no longer needed.
    pub(crate) submission: Option<usize>,
    /// Time at which the attempt is removed, once its answer is no longer needed.
    pub(crate) expiry: Time,
}

/// All attempts in flight, by key.
pub(crate) type Attempts = FxHashMap<TaskKey, Attempt>;
