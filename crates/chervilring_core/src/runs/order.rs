//! The order of work where there is not room for all of it.
//!
//! Planners order waiting jobs by it, and runners queued runs, so that the same work gives way
//! everywhere. It answers bursts in which urgent short work would wait behind less urgent work that
//! came before it: by latest start alone, work that has waited long goes before all that is new.

use chervilring_wire::{Micros, Time, Urgency};

/// How much longer work may wait than that of the next more urgent priority.
const PRIORITY_STEP: Micros = Micros::from_millis(150);

/// The place of work in the order; the least goes first.
///
/// Each step of priority counts as a later due time. Work is therefore put behind only by work that
/// arrives until its own due time has come as near as that of new work: nothing waits without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkOrder {
    /// Work that can no longer meet its objective goes last.
    late: bool,
    due: Time,
}

impl WorkOrder {
    /// Returns the place of work with this urgency at a point in time.
    pub fn new(now: Time, urgency: &Urgency) -> Self {
        // Other tasks of a started job are spent in vain if this one comes too late.
        let steps = if urgency.started { 0 } else { urgency.priority };
        let handicap = Micros(PRIORITY_STEP.0.saturating_mul(u64::from(steps)));
        Self {
            late: !urgency.timely,
            due: now + urgency.slack + handicap + urgency.work,
        }
    }

    /// Returns a place before all work that is due later than now.
    pub(super) fn first(now: Time) -> Self {
        Self {
            late: false,
            due: now,
        }
    }

    /// Returns the time until the work is due; none is set for work that is late.
    pub fn remaining(&self, now: Time) -> Micros {
        if self.late {
            return Micros(u64::MAX);
        }
        now.duration_until(self.due)
    }
}

/// Returns the urgency of runs whose planner tells only how long they may wait.
pub(super) fn unknown_urgency(queue_timeout: Micros) -> Urgency {
    Urgency {
        priority: 1,
        slack: queue_timeout,
        work: Micros::default(),
        started: false,
        timely: true,
    }
}
