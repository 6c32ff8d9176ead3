//! Crashes of upstreams under the tasks that they run.
//!
//! A task may be what crashes the upstreams that start it. It may also have been near one that is,
//! as all runs of an upstream end with it.

/// The number of upstreams that may crash under runs of a task before it counts as failed: it may be
/// what crashes them.
const MAX_CRASHES: u32 = 2;

/// The number of upstreams that may crash while they have a run of a task, started or not, before it
/// is given up.
const MAX_SUSPECTED_CRASHES: u32 = 3;

/// The number of upstreams that crashed while they had a run of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Crashes {
    /// Those where the run is known to have started.
    pub(super) under_run: u32,
    /// All of them: a start whose answer was lost with the upstream may have been what crashed it.
    pub(super) all: u32,
}

/// What crashes of upstreams mean for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CrashVerdict {
    /// It may be started again.
    Retry,
    /// It counts as failed.
    Failed,
    /// It is not started again, although it is not known whether its runs had started.
    GiveUp,
}

impl Crashes {
    /// Counts a crash; `has_started` says whether the run is known to have started.
    pub(super) fn record(&mut self, has_started: bool) {
        self.all += 1;
        self.under_run += u32::from(has_started);
    }

    /// Returns what the crashes so far mean.
    pub(super) fn verdict(self) -> CrashVerdict {
        if self.under_run >= MAX_CRASHES {
            CrashVerdict::Failed
        } else if self.all >= MAX_SUSPECTED_CRASHES {
            CrashVerdict::GiveUp
        } else {
            CrashVerdict::Retry
        }
    }
}
