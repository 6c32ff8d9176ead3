//! Counts of calls.

use serde::{Deserialize, Serialize};

/// What is asked by a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    Range,
    TxnRead,
    TxnWrite,
    LeaseGrant,
    LeaseKeepalive,
    LeaseRevoke,
    Watch,
}

impl CallKind {
    /// Returns whether the call is counted against the rate of writes.
    pub(super) fn writes(self) -> bool {
        !matches!(self, Self::Range | Self::TxnRead | Self::Watch)
    }
}

/// How many calls have come in, by kind, answered or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Ranges.
    pub range: u64,
    /// Transactions that can only read.
    pub txn_read: u64,
    /// Transactions that may write.
    pub txn_write: u64,
    /// Leases taken out.
    pub lease_grant: u64,
    /// Leases renewed.
    pub lease_keepalive: u64,
    /// Leases given back.
    pub lease_revoke: u64,
    /// Watches set up; one that waits is one call.
    pub watch: u64,
    /// Of all these, calls refused for their rate.
    pub limited: u64,
    /// Of all these, calls whose answer was withheld by a fault.
    pub failed: u64,
}

impl Counts {
    /// Returns the number of all calls.
    pub fn total(&self) -> u64 {
        let leases = self.lease_grant + self.lease_keepalive + self.lease_revoke;
        self.range + self.txn_read + self.txn_write + leases + self.watch
    }

    /// Returns the calls that came in after an earlier count.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            range: self.range - earlier.range,
            txn_read: self.txn_read - earlier.txn_read,
            txn_write: self.txn_write - earlier.txn_write,
            lease_grant: self.lease_grant - earlier.lease_grant,
            lease_keepalive: self.lease_keepalive - earlier.lease_keepalive,
            lease_revoke: self.lease_revoke - earlier.lease_revoke,
            watch: self.watch - earlier.watch,
            limited: self.limited - earlier.limited,
            failed: self.failed - earlier.failed,
        }
    }

    pub(super) fn add(&mut self, kind: CallKind) {
        let count = match kind {
            CallKind::Range => &mut self.range,
            CallKind::TxnRead => &mut self.txn_read,
            CallKind::TxnWrite => &mut self.txn_write,
            CallKind::LeaseGrant => &mut self.lease_grant,
            CallKind::LeaseKeepalive => &mut self.lease_keepalive,
            CallKind::LeaseRevoke => &mut self.lease_revoke,
            CallKind::Watch => &mut self.watch,
        };
        *count += 1;
    }
}
