//! Counters of an entry.

use chervilring_wire::Reason;
use rustc_hash::FxHashMap;

/// What an entry has counted since its start.
#[derive(Debug, Default)]
pub struct EntryCounters {
    /// Submissions taken in from callers here.
    pub submitted: u64,
    /// Submissions passed to their home.
    pub forwarded: u64,
    /// Submissions whose id was known already.
    pub resubmitted: u64,
    /// Submissions answered in full.
    pub completed: u64,
    /// Accepted submissions that failed.
    pub failed: u64,
    /// Refused submissions and queries, by reason.
    pub refused: FxHashMap<Reason, u64>,
    /// Answers dropped to keep within the limit.
    pub dropped: u64,
    /// Replies that came when nobody waited any more.
    pub late: u64,
}

impl EntryCounters {
    /// Counts a refusal.
    pub(super) fn refuse(&mut self, reason: Reason) {
        *self.refused.entry(reason).or_default() += 1;
    }
}
