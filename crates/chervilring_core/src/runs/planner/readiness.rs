//! Whether a planner whose loop runs late still asks for new work.
//!
//! It answers hosts of unequal size that get equal parts of the callers: one that is short of processor
//! slows every job that it has. It says for a while that it is not ready, so that the balancer hands new
//! work to others. A planner that is never ready serves nobody, so this is bounded: to less than an eighth of
//! the time, and by chance, as planners that are late together must not all turn callers away.

use chervilring_wire::{Micros, Time};

use super::event::PlannerEvent;
use super::state::{Planner, PlannerStep};

/// The time over which lateness is judged.
const WINDOW: Micros = Micros::from_secs(1);

/// How many windows in a row must be late.
const LATE_WINDOWS: u32 = 2;

/// The least number of looks at the clock by which a window is judged.
const MIN_LOOKS: u32 = 5;

/// How long the planner is not ready then. Balancers look once a second and take two misses to notice.
const UNREADY_TIME: Micros = Micros::from_millis(3_000);

/// How long it is ready in any case from then on.
const READY_TIME: Micros = Micros(UNREADY_TIME.0 * 9);

/// The share of late windows after which the planner says so.
const UNREADY_SHARE: f64 = 0.3;

/// The part of the shortest objective by which the loop may be late.
const LATE_PART: u64 = 3;

/// That the planner has begun to say that it is not ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lateness {
    /// By how much the loop was late, on average.
    pub mean: Micros,
    /// By how much it may be late.
    pub limit: Micros,
}

/// The lateness of a planner's loop.
#[derive(Debug, Default)]
pub struct LoopWatch {
    window_end: Time,
    looks: u32,
    total: u64,
    late_windows: u32,
    unready_until: Time,
    next_unready: Time,
}

impl LoopWatch {
    /// Records that what was due at `due` is done now. `objective` is the shortest time that any route
    /// allows on top of its tasks, and `random` lies from zero to one. Returns a value when the planner ceases to
    /// be ready.
    pub fn record(
        &mut self,
        now: Time,
        due: Time,
        objective: Micros,
        random: f64,
    ) -> Option<Lateness> {
        if now >= self.window_end {
            let judged = self.judge(now, objective, random);
            self.window_end = now + WINDOW;
            (self.looks, self.total) = (0, 0);
            if judged.is_some() {
                return judged;
            }
        }
        if now >= due {
            self.looks += 1;
            self.total += now.duration_since(due).0;
        }
        None
    }

    /// Returns whether callers may be sent here.
    pub fn is_ready(&self, now: Time) -> bool {
        now >= self.unready_until
    }

    /// Judges the window that has ended.
    fn judge(&mut self, now: Time, objective: Micros, random: f64) -> Option<Lateness> {
        let mean = Micros(self.total / u64::from(self.looks.max(1)));
        let limit = Micros(objective.0 / LATE_PART);
        let is_late = self.looks >= MIN_LOOKS && mean > limit;
        self.late_windows = if is_late { self.late_windows + 1 } else { 0 };
        let is_due = self.late_windows >= LATE_WINDOWS && now >= self.next_unready;
        if !is_due || random >= UNREADY_SHARE {
            return None;
        }
        self.unready_until = now + UNREADY_TIME;
        self.next_unready = self.unready_until + READY_TIME;
        Some(Lateness { mean, limit })
    }
}

impl Planner {
    /// Records that what was due at `due` is done now, where routes allow no less than `objective` on top
    /// of the time of their tasks.
    pub fn record_lateness(&mut self, now: Time, due: Time, objective: Micros) {
        let random = self.random.f64();
        if let Some(lateness) = self.loop_watch.record(now, due, objective, random) {
            let event = PlannerEvent::Unready { lateness };
            self.steps.push(PlannerStep::Log(event));
        }
    }

    /// Returns whether the planner's loop is in time, so that callers may be sent here.
    pub fn is_in_time(&self, now: Time) -> bool {
        self.loop_watch.is_ready(now)
    }
}
