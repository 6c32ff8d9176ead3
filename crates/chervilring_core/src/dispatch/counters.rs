//! Counts of what the dispatcher did.

use serde::Serialize;

/// Counters since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct DispatchCounters {
    /// Submissions accepted.
    pub accepted: u64,
    /// Submissions refused at once, for whichever reason.
    pub refused: u64,
    /// Submissions refused for a full queue or a deadline that the queue puts out of reach.
    pub shed: u64,
    /// Submissions refused over a quota.
    #[serde(rename = "quota")]
    pub over_quota: u64,
    /// Submissions answered in full.
    pub completed: u64,
    /// Submissions that failed after they were accepted.
    pub failed: u64,
    /// Submissions that their caller cancelled.
    pub cancelled: u64,
    /// Submissions that ran into their deadline.
    pub expired: u64,
    /// Attempts sent to agents.
    pub started: u64,
    /// Attempts that an agent refused as not run.
    #[serde(rename = "bounced")]
    pub refused_attempts: u64,
    /// Attempts sent again after one that may have run.
    pub retried: u64,
    /// Second attempts sent while the first was running.
    pub hedged: u64,
    /// Second attempts that answered first.
    #[serde(rename = "rescued")]
    pub hedge_wins: u64,
    /// Answers to attempts that nobody waits for.
    #[serde(rename = "late")]
    pub late_answers: u64,
    /// Attempts asked to be dropped.
    #[serde(rename = "dropped")]
    pub cancelled_attempts: u64,
    /// Upstreams taken out for failing or for slowness.
    pub ejected: u64,
    /// Ejected upstreams taken back in.
    pub restored: u64,
    /// Agents given up as lost.
    #[serde(rename = "lost")]
    pub lost_agents: u64,
}
