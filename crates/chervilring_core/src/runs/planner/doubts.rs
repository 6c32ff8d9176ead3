//! Upstreams with doubts: starts that they have not answered, so that more may go the same way.
//!
//! Answers the load of jobs of several tasks while some upstreams leave starts unanswered. The answer
//! of such a job waits for its slowest task, so it goes to other upstreams first. A single task is
//! delayed much less often, and leaves the other upstreams to those jobs.

use super::job::Step;
use super::upstream::Upstream;

/// How far an upstream with doubts goes behind others, compared with the free share. More than the
/// preferences among upstreams without a wait make together, and less than a long wait.
const DOUBT_WEIGHT: f64 = 2.0;

impl Upstream {
    /// Returns whether tasks of a step go to other upstreams first because of doubts.
    pub(super) fn is_doubtful(&self, step: &Step) -> bool {
        self.doubts > 0 && step.count > 1
    }
}

/// Returns by how much the rating of an upstream falls.
pub(super) fn doubt_malus(is_doubtful: bool) -> f64 {
    if is_doubtful { DOUBT_WEIGHT } else { 0.0 }
}
