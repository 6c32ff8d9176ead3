//! How long runs may wait at their runner, and how often they are refused there for room.
//!
//! It answers loads under which nearly every upstream is full and what planners believe of their room
//! is wrong. A run that was placed on free room and finds none is handed back while it can still be in
//! time elsewhere, but no task goes from runner to runner: what it needs then is its turn.

use chervilring_wire::{Micros, RefuseReason, Time, Urgency};

use super::choice::{Candidate, TaskTimes};
use super::event::LossCause;
use super::job::{Job, Task, TaskState};

/// After this many refusals for room a task waits wherever it is placed, and goes first.
const MAX_ROOM_REFUSALS: u32 = 2;

/// The part of its time that a run waits for room that was believed free, as a divisor. Enough is left
/// for two more placements.
const FREE_ROOM_DIVISOR: u64 = 4;

impl Task {
    /// Counts a refusal for room.
    pub(super) fn record_loss(&mut self, cause: LossCause) {
        let is_room = cause == LossCause::Refused(RefuseReason::Room);
        self.room_refusals += u32::from(is_room);
    }
}

impl Job {
    /// Returns whether a task was refused for room so often that it waits for its turn and goes first.
    fn is_refused_often(&self) -> bool {
        let refused = |t: &Task| t.state != TaskState::Done && t.room_refusals >= MAX_ROOM_REFUSALS;
        self.tasks.iter().any(refused)
    }

    /// Returns the urgency of a task that goes before all work that has not been refused as often, if
    /// it may.
    pub(super) fn first_urgency(&self, timely: bool) -> Option<Urgency> {
        let may_go_first = timely || self.started_at.is_some();
        (may_go_first && self.is_refused_often()).then_some(Urgency {
            priority: self.submission.route.priority,
            slack: Micros::default(),
            work: Micros::default(),
            started: true,
            timely: true,
        })
    }

    /// Returns how long a run that runs for `run_time` may wait at a runner that orders runs by their
    /// urgency. `can_move` says that it is placed on free room and that others have room as well.
    pub(super) fn queue_timeout(&self, now: Time, run_time: Micros, can_move: bool) -> Micros {
        if self.is_refused_often() {
            return now.duration_until(self.submission.deadline - run_time);
        }
        let longest = now.duration_until(self.latest_useful_start(now, run_time));
        if can_move {
            return Micros(longest.0 / FREE_ROOM_DIVISOR);
        }
        longest
    }
}

/// Returns whether a task that is placed on a candidate should soon move on if it finds no room there.
pub(super) fn can_move(candidates: &[Candidate], chosen: usize, times: &TaskTimes) -> bool {
    let is_free = |c: &Candidate| c.allowed && c.queue_wait == Micros::default();
    let is_timely = |c: &Candidate| times.now + c.run_time <= times.objective;
    let mut others = candidates.iter().enumerate().filter(|(i, _)| *i != chosen);
    is_free(&candidates[chosen]) && others.any(|(_, c)| is_free(c) && is_timely(c))
}
