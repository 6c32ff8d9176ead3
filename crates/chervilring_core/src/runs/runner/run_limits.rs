//! How long runs go on without a word of their planner.
//!
//! A planner starts the tasks of a lost link elsewhere after a fixed time. By then the lease has ended what
//! runs, however late this process, its calls or the end of the link are: it is never extended beyond the
//! time by which a run must have ended, until the upstream has confirmed its stop.

use chervilring_wire::{Micros, Time};

use super::links::Link;
use super::state::{Run, RunState, Runner};
use crate::runs::bounds::{LEASE_DURATION, MAX_UNHEARD_TIME};

/// The shortest extension of a lease; a shorter one would have expired on its way.
const MIN_LEASE: Micros = Micros::from_millis(20);

impl Link {
    /// Returns by when the runs of the link must have ended unless more heartbeats are acknowledged.
    fn run_limit(&self) -> Time {
        self.confirmed() + MAX_UNHEARD_TIME
    }
}

impl Run {
    /// Returns whether the current upstream may have it active.
    fn may_be_active(&self) -> bool {
        match self.state {
            RunState::Queued
            | RunState::Claimed(_)
            | RunState::Stopped(_)
            | RunState::Detached(_) => false,
            RunState::Unconfirmed(_)
            | RunState::Starting
            | RunState::Running(_)
            | RunState::Stopping => true,
        }
    }

    /// Takes the run off its link, which is lost.
    pub(super) fn unlink(&mut self, lost: &Link) {
        self.link = None;
        self.end_by = self.end_by.min(lost.run_limit());
    }

    /// Records that the run has to end.
    pub(super) fn limit_to(&mut self, end_by: Time) {
        self.end_by = self.end_by.min(end_by);
    }
}

impl Runner {
    /// Returns the end of a lease that is extended now, on the upstream's clock; `None` if it must not be
    /// extended, or the clock is not known.
    pub(super) fn extend_lease(&mut self, now: Time) -> Option<u64> {
        let left = now.duration_until(self.lease_limit());
        let lease = &mut self.upstream.as_mut()?.lease;
        let duration = self.max_lease.min(LEASE_DURATION);
        let duration = duration.min(lease.certain_duration(left));
        if duration < MIN_LEASE {
            return None;
        }
        lease.extend(now, duration)
    }

    /// Returns by when the lease must have ended, because a run must have.
    fn lease_limit(&self) -> Time {
        let limit = |run: &Run| {
            let link = run.link.and_then(|l| self.links.get(&l));
            link.map_or(run.end_by, |l| run.end_by.min(l.run_limit()))
        };
        let active = self.runs.values().filter(|r| r.may_be_active());
        active.map(limit).min().unwrap_or(Time::NEVER)
    }
}
