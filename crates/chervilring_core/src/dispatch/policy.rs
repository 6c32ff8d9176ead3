//! Ways of choosing an upstream.

use super::pool::Pool;

/// What a task asks of a choice.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PickRequest {
    /// Tasks in the queue, this one included.
    pub(crate) queued: usize,
    /// The row of an agent that should not get the task.
    pub(crate) avoid: Option<usize>,
}

/// A choice.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pick {
    /// The lane.
    pub(crate) lane: usize,
    /// Tasks at the front of the queue that do better to wait for other lanes.
    pub(crate) skip: usize,
}

impl Pick {
    /// Picks a lane for the task at the front of the queue.
    fn front(lane: usize) -> Self {
        Self { lane, skip: 0 }
    }
}

/// The source of chance of a choice, and the place in a round.
#[derive(Debug, Clone)]
pub(crate) struct PolicyState {
    rng: fastrand::Rng,
    pub(crate) turn: usize,
}

impl PolicyState {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            turn: 0,
        }
    }

    /// Returns a number below `bound`, which must not be zero.
    pub(crate) fn random_below(&mut self, bound: usize) -> usize {
        self.rng.usize(0..bound)
    }
}

/// A way of choosing an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// The name by which reports call it.
    pub name: &'static str,
    /// Whether tasks are sent to upstreams without a free slot, to wait there.
    pub(crate) push: bool,
    /// Picks a lane for a task of the queue; none lets all wait.
    pub(crate) choose: fn(&Pool, &mut PolicyState, PickRequest) -> Option<Pick>,
}

impl Default for Policy {
    fn default() -> Self {
        Self::expected_finish()
    }
}

impl Policy {
    /// Returns all policies, the default one first.
    pub fn all() -> Vec<Self> {
        vec![
            Self::expected_finish(),
            Self::random(),
            Self::round_robin(),
            Self::least_outstanding(),
            Self::two_choices(),
            Self::pull(),
        ]
    }

    /// Returns the policy of this name.
    pub fn by_name(name: &str) -> Option<Self> {
        Self::all().into_iter().find(|p| p.name == name)
    }

    /// Earliest expected finish, by learnt run times; a task waits for a fast upstream rather
    /// than start on a slow one that would finish it later.
    pub fn expected_finish() -> Self {
        Self {
            name: "expected-finish",
            push: false,
            choose: |pool, _, request| pool.earliest_finish(request),
        }
    }

    /// Any upstream, whether it has a free slot or not.
    pub fn random() -> Self {
        Self {
            name: "random",
            push: true,
            choose: |pool, state, request| {
                let available = pool.available_lanes(request.avoid);
                (!available.is_empty())
                    .then(|| Pick::front(available[state.random_below(available.len())]))
            },
        }
    }

    /// One upstream after the other, whether it has a free slot or not.
    pub fn round_robin() -> Self {
        Self {
            name: "round-robin",
            push: true,
            choose: |pool, state, request| {
                let available = pool.available_lanes(request.avoid);
                state.turn += 1;
                let lane = available.get(state.turn % available.len().max(1));
                lane.copied().map(Pick::front)
            },
        }
    }

    /// The upstream with the fewest tasks for its slots.
    pub fn least_outstanding() -> Self {
        Self {
            name: "least-outstanding",
            push: true,
            choose: |pool, state, request| {
                let available = pool.available_lanes(request.avoid);
                let least = available.iter().map(|&l| pool.utilization(l)).min()?;
                let ties: Vec<_> = available
                    .into_iter()
                    .filter(|&l| pool.utilization(l) == least)
                    .collect();
                Some(Pick::front(ties[state.random_below(ties.len())]))
            },
        }
    }

    /// The one with fewer tasks for its slots out of two taken at random.
    pub fn two_choices() -> Self {
        Self {
            name: "two-choices",
            push: true,
            choose: |pool, state, request| {
                let available = pool.available_lanes(request.avoid);
                if available.is_empty() {
                    return None;
                }
                let first = available[state.random_below(available.len())];
                let second = available[state.random_below(available.len())];
                let lane = if pool.utilization(second) < pool.utilization(first) {
                    second
                } else {
                    first
                };
                Some(Pick::front(lane))
            },
        }
    }

    /// Any upstream with a free slot: slots pull tasks from the queue.
    pub fn pull() -> Self {
        Self {
            name: "pull",
            push: false,
            choose: |pool, state, request| {
                let available = pool.available_lanes(request.avoid);
                (!available.is_empty())
                    .then(|| Pick::front(available[state.random_below(available.len())]))
            },
        }
    }
}
