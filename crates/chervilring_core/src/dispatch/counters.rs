//! Counters of the dispatcher.

use serde::Serialize;

/// Counters since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct DispatchCounters {
    /// Submissions accepted.
    pub accepted: u64,
    /// Submissions refused at admission, for any reason.
    pub refused: u64,
    /// Submissions refused because the queue is full or delays them past their deadline.
    pub shed: u64,
    /// Submissions refused because a quota is used up.
    #[serde(rename = "quota")]
    pub over_quota: u64,
    /// Submissions that ended with the outputs of all tasks.
    pub completed: u64,
    /// Submissions that failed after they were accepted.
    pub failed: u64,
    /// Submissions cancelled by their caller.
    pub cancelled: u64,
    /// Submissions that reached their deadline.
    pub expired: u64,
    /// Attempts sent to agents.
    pub started: u64,
    /// Attempts that an agent refused without running them.
    #[serde(rename = "bounced")]
    pub refused_attempts: u64,
    /// Retries after an attempt that may have run.
    pub retried: u64,
    /// Hedges: second attempts sent while the first was running.
    pub hedged: u64,
    /// Second attempts that answered while another attempt was in flight.
    #[serde(rename = "rescued")]
    pub hedge_wins: u64,
    /// Answers to attempts that are unknown or no longer needed.
    #[serde(rename = "late")]
    pub late_answers: u64,
    /// Attempts that an agent was asked to cancel.
    #[serde(rename = "dropped")]
    pub cancelled_attempts: u64,
    /// Upstreams ejected for failures or silence.
    pub ejected: u64,
    /// Ejected upstreams that were restored.
    pub restored: u64,
    /// Agents declared lost.
    #[serde(rename = "lost")]
    pub lost_agents: u64,
}
