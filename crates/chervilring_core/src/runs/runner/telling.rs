//! Which changes of an upstream planners are told at once.
//!
//! The load that this answers: many upstreams and many planners. Each start and end changes what is
//! free; told to every planner, each task costs as many messages as there are planners, and those on
//! small hosts do nothing but read them. What changes little is told with what is sent anyway, at
//! the latest with the next heartbeat.

use chervilring_wire::{Resources, UpstreamState};

/// The share of an upstream that may change untold, by planner beyond the first.
const GRAIN: f64 = 1.0 / 64.0;

/// The largest share that may change untold.
const MOST_GRAIN: f64 = 0.25;

/// While this share of an upstream is free and nothing waits, planners need to know no more.
const PLENTY: f64 = 0.5;

/// Returns the share of an upstream that may change without being told to so many planners.
pub fn grain(planners: usize) -> f64 {
    (planners.saturating_sub(1) as f64 * GRAIN).min(MOST_GRAIN)
}

/// Returns whether a state differs from the one that was told by more than a share of the upstream,
/// and planners would choose otherwise.
pub fn differs(told: &UpstreamState, state: &UpstreamState, grain: f64) -> bool {
    let kind = |s: &UpstreamState| (s.accepting, s.capacity, s.start_seq);
    if kind(told) != kind(state) || told.service != state.service || told.labels != state.labels {
        return true;
    }
    if is_plenty(told) && is_plenty(state) {
        return false;
    }
    let queue = |s: &UpstreamState| {
        let rows = s.queued.iter();
        rows.fold(Resources::default(), |sum, q| sum.saturating_add(&q.demand))
    };
    let all = &state.capacity;
    is_far(&told.free, &state.free, all, grain) || is_far(&queue(told), &queue(state), all, grain)
}

/// Returns whether two amounts are more than a share of the whole apart.
fn is_far(a: &Resources, b: &Resources, all: &Resources, grain: f64) -> bool {
    let far = |a: u64, b: u64, all: u64| a.abs_diff(b) as f64 > all as f64 * grain;
    far(a.cpu, b.cpu, all.cpu) || far(a.memory, b.memory, all.memory) || far(a.gpu, b.gpu, all.gpu)
}

/// Returns whether there is room for much more.
fn is_plenty(state: &UpstreamState) -> bool {
    let half = |free: u64, all: u64| free as f64 >= all as f64 * PLENTY;
    let (free, all) = (&state.free, &state.capacity);
    let room = half(free.cpu, all.cpu) && half(free.memory, all.memory) && half(free.gpu, all.gpu);
    room && state.queued.is_empty()
}
