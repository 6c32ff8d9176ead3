//! Faults on demand.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// The faults in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "faults are switched one by one"
)]
pub struct Faults {
    /// Tasks take this many times as long.
    pub slow: f64,
    /// Tasks begin and never end.
    pub hang: bool,
    /// Tasks are answered by an error at once.
    pub fail: bool,
    /// Tasks are refused as not run, at once.
    pub refuse: bool,
    /// Tasks run, and the connection is closed in place of an answer.
    pub drop: bool,
    /// Tasks run, and the connection is closed in the middle of the answer.
    pub cut: bool,
    /// Announcements are not renewed.
    pub mute: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            hang: false,
            fail: false,
            refuse: false,
            drop: false,
            cut: false,
            mute: false,
        }
    }
}

/// The faults in force, with a way to wait for a change.
#[derive(Debug, Default)]
pub(super) struct FaultSwitch {
    faults: Mutex<Faults>,
    changed: Condvar,
}

impl FaultSwitch {
    /// Returns the faults in force.
    pub(super) fn get(&self) -> Faults {
        self.lock().clone()
    }

    /// Puts faults in force.
    pub(super) fn set(&self, faults: Faults) {
        *self.lock() = faults;
        self.changed.notify_all();
    }

    /// Works for `span`, stretched by the faults in force at the start; hangs while that is asked
    /// for, as far as `limit`.
    pub(super) fn work(&self, span: Duration, limit: Duration) {
        let slow = self.get().slow.max(0.0);
        std::thread::sleep(span.mul_f64(slow));
        let until = Instant::now() + limit;
        let mut faults = self.lock();
        while faults.hang {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let waited = self.changed.wait_timeout(faults, left);
            faults = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
