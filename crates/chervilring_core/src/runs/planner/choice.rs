//! The choice of the upstream that runs a task.
//!
//! Upstreams differ much in speed, and most of them are busy. A slow upstream still meets the
//! objective of a short task and leaves a fast one free for a long task that needs it.

use chervilring_wire::{Micros, Time};

/// A margin on top of the expected run time for delays in transit and wrong declarations.
const MARGIN: Micros = Micros::from_millis(12);

/// The share of the expected run time that is reserved for wrong declarations.
const RESERVE: f64 = 0.08;

/// An upstream that could run a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The expected run time of the task there.
    pub run_time: Micros,
    /// How long the task is expected to wait there for capacity.
    pub queue_wait: Micros,
    /// Whether the task may be placed there at all.
    pub allowed: bool,
    /// Whether its queue is full of runs that go ahead of the task.
    pub queue_full: bool,
    /// The share of its processor that is free. Negative if more is requested than free.
    pub free_share: f64,
}

/// The times that a placement of a task must meet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TaskTimes {
    /// The time of the choice.
    pub now: Time,
    /// When the objective of the job is missed.
    pub objective: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// The latest time at which the task may start on an upstream.
    pub start_deadline: Time,
    /// Whether tasks of the job have started, so that a late result is better than none.
    pub job_started: bool,
}

/// The result of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Places the task on the candidate with this index.
    Place(usize),
    /// Waits, as no candidate is good enough yet.
    Wait,
}

/// Why a task is not placed on a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// It has as many runs as it may be sent.
    NotAllowed,
    /// Its queue is full of runs that go ahead.
    QueueFull,
    /// The task would end after the objective of its job.
    Late,
    /// The task would wait for longer than its job may wait.
    LongWait,
}

/// Chooses among candidates; `tie` returns a random number that decides between similar ones.
///
/// Among candidates that meet the objective, those without a wait are preferred, then slow ones
/// over fast ones, then those with more free processor time, so that planners that choose at the
/// same time seldom choose the same one. A started job that is late goes to the candidate where it
/// ends first, but only if no candidate can meet the objective. A job that has not started and can
/// only be late goes to one with spare capacity.
pub fn choose_upstream(
    candidates: &[Candidate],
    times: &TaskTimes,
    mut tie: impl FnMut() -> f64,
) -> Choice {
    let mut best: Option<(usize, f64)> = None;
    let mut reachable = false;
    for (index, candidate) in candidates.iter().enumerate().filter(|(_, o)| o.allowed) {
        reachable = reachable || latest_end(candidate, Micros(0), times) <= times.objective;
        if obstacle(candidate, times).is_some() {
            continue;
        }
        let score = rate(candidate, times) + tie() * RANDOM_WEIGHT;
        if best.is_none_or(|(_, best_score)| score > best_score) {
            best = Some((index, score));
        }
    }
    if let Some((index, _)) = best {
        return Choice::Place(index);
    }
    if reachable {
        return Choice::Wait;
    }
    choose_late(candidates, times).map_or(Choice::Wait, Choice::Place)
}

/// Returns why a task cannot be placed on a candidate so that its job is in time, if there is a
/// reason.
pub fn obstacle(candidate: &Candidate, times: &TaskTimes) -> Option<Obstacle> {
    if !candidate.allowed {
        return Some(Obstacle::NotAllowed);
    }
    if candidate.queue_full {
        return Some(Obstacle::QueueFull);
    }
    if latest_end(candidate, candidate.queue_wait, times) > times.objective {
        return Some(Obstacle::Late);
    }
    if times.now + candidate.queue_wait > times.start_deadline {
        return Some(Obstacle::LongWait);
    }
    None
}

/// Chooses for a task of a job that can only be late.
fn choose_late(candidates: &[Candidate], times: &TaskTimes) -> Option<usize> {
    let end = |candidate: &Candidate| times.now + candidate.queue_wait + candidate.run_time;
    let has_spare = |candidate: &Candidate| {
        candidate.queue_wait == Micros(0) && candidate.free_share >= LATE_FREE_SHARE
    };
    let fits = |candidate: &Candidate| {
        let usable = candidate.allowed && !candidate.queue_full && end(candidate) < times.deadline;
        usable && (times.job_started || has_spare(candidate))
    };
    let usable = candidates.iter().enumerate().filter(|(_, o)| fits(o));
    usable.min_by_key(|(_, o)| end(o)).map(|(index, _)| index)
}

/// The free share below which an upstream is left to jobs that can still meet their objective.
const LATE_FREE_SHARE: f64 = 0.3;

/// The weight of the random number compared with the free share.
const RANDOM_WEIGHT: f64 = 0.2;

/// The weight of the preference for slow upstreams that are fast enough.
const SLOW_WEIGHT: f64 = 0.5;

/// The weight of the wait for capacity, as a share of the time left until the objective.
const WAIT_WEIGHT: f64 = 8.0;

/// Returns the latest end of a task on a candidate after a wait.
fn latest_end(candidate: &Candidate, wait: Micros, times: &TaskTimes) -> Time {
    let reserve = Micros((candidate.run_time.0 as f64 * RESERVE) as u64);
    times.now + wait + candidate.run_time + reserve + MARGIN
}

/// Rates a candidate; higher is better.
fn rate(candidate: &Candidate, times: &TaskTimes) -> f64 {
    let remaining = times.now.duration_until(times.objective).0.max(1) as f64;
    let slow = SLOW_WEIGHT * (candidate.run_time.0 as f64 / remaining);
    let wait = WAIT_WEIGHT * (candidate.queue_wait.0 as f64 / remaining);
    candidate.free_share + slow - wait
}
