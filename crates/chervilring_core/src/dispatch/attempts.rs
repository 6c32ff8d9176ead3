//! The attempts that are at agents.

use chervilring_wire::{TaskKey, Time};
use rustc_hash::FxHashMap;

/// One attempt at an agent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    /// The row of the agent.
    pub(crate) agent: usize,
    /// The row of the service.
    pub(crate) service: usize,
    /// The lane of the agent in the service's pool.
    pub(crate) lane: usize,
    /// When it was sent.
    pub(crate) sent_at: Time,
    /// The row of its submission; absent once nobody waits for the answer.
    pub(crate) submission: Option<usize>,
    /// When it is forgotten, once nobody waits for the answer.
    pub(crate) expiry: Time,
}

/// All attempts at agents.
pub(crate) type Attempts = FxHashMap<TaskKey, Attempt>;
