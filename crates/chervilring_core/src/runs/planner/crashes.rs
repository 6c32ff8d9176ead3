//! Crashes of upstreams under the tasks that they run.
//!
//! A task may be what crashes the upstreams that start it. It may also have been near one that is, or
//! near upstreams that crash for reasons of their own, as all runs of an upstream end with it. So crashes
//! bound how often a task is started, and prove nothing about it: only ends that upstreams list as failed
//! make a job failed.

/// The number of upstreams that may crash under runs of a task before it is given up: it may be what
/// crashes them.
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

impl Crashes {
    /// Counts a crash; `has_started` says whether the run is known to have started.
    pub(super) fn record(&mut self, has_started: bool) {
        self.all += 1;
        self.under_run += u32::from(has_started);
    }

    /// Returns whether the task may not be started again.
    pub(super) fn is_exhausted(self) -> bool {
        self.under_run >= MAX_CRASHES || self.all >= MAX_SUSPECTED_CRASHES
    }
}
