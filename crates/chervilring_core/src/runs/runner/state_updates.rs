//! Which changes of an upstream's state are sent to planners at once.
//!
//! This bounds the cost with many upstreams and many planners. Each start and end changes the free
//! resources; if each change went to every planner, each task would cost as many messages as there
//! are planners, and planners on small hosts would spend all their time reading them. Small changes
//! are sent along with other messages, at the latest with the next heartbeat.

use chervilring_wire::{Resources, UpstreamState};

/// The fraction of an upstream that may change without a message, per planner beyond the first.
const THRESHOLD_PER_PLANNER: f64 = 1.0 / 64.0;

/// The upper limit of that fraction.
const MAX_THRESHOLD: f64 = 0.25;

/// While this fraction of an upstream is free and nothing is queued, planners need no exact
/// figures.
const AMPLE_SHARE: f64 = 0.5;

/// The ratio of two speeds below which planners are told of the change at once.
const FAR_SPEED: f64 = 0.6;

/// Returns the fraction of an upstream that may change without a message to this many planners.
pub fn change_threshold(planners: usize) -> f64 {
    (planners.saturating_sub(1) as f64 * THRESHOLD_PER_PLANNER).min(MAX_THRESHOLD)
}

/// Returns whether a state differs from the last sent one by more than a fraction of the upstream,
/// and in a way that affects planners' decisions.
pub fn is_significant_change(sent: &UpstreamState, state: &UpstreamState, threshold: f64) -> bool {
    let fixed = |s: &UpstreamState| (s.accepting, s.capacity, s.start_seq);
    if fixed(sent) != fixed(state) || sent.service != state.service || sent.labels != state.labels {
        return true;
    }
    if is_speed_far(sent.speed, state.speed) {
        return true;
    }
    if is_ample(sent) && is_ample(state) {
        return false;
    }
    let queue = |s: &UpstreamState| {
        let rows = s.queued.iter();
        rows.fold(Resources::default(), |sum, q| sum.saturating_add(&q.demand))
    };
    let all = &state.capacity;
    is_far(&sent.free, &state.free, all, threshold)
        || is_far(&queue(sent), &queue(state), all, threshold)
}

/// Returns whether speeds differ so much that other tasks meet their objective.
fn is_speed_far(sent: u32, speed: u32) -> bool {
    let (low, high) = (sent.min(speed), sent.max(speed));
    f64::from(low) < f64::from(high) * FAR_SPEED
}

/// Returns whether two amounts differ by more than a fraction of the total.
pub(super) fn is_far(a: &Resources, b: &Resources, all: &Resources, threshold: f64) -> bool {
    let far = |a: u64, b: u64, all: u64| a.abs_diff(b) as f64 > all as f64 * threshold;
    far(a.cpu, b.cpu, all.cpu) || far(a.memory, b.memory, all.memory) || far(a.gpu, b.gpu, all.gpu)
}

/// Returns whether ample resources are free and nothing is queued.
fn is_ample(state: &UpstreamState) -> bool {
    let half = |free: u64, all: u64| free as f64 >= all as f64 * AMPLE_SHARE;
    let (free, all) = (&state.free, &state.capacity);
    let ample = half(free.cpu, all.cpu) && half(free.memory, all.memory) && half(free.gpu, all.gpu);
    ample && state.queued.is_empty()
}
