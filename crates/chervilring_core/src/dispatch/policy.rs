//! Load-balancing policies.

use super::pool::Pool;

/// Conditions under which a lane is picked for a task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PickRequest {
    /// Tasks in the queue, including the one to be placed.
    pub(crate) queued: usize,
    /// Row of an agent to avoid if another one is available.
    pub(crate) avoid: Option<usize>,
}

/// A lane picked for a task of the queue.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pick {
    /// Index of the lane.
    pub(crate) lane: usize,
    /// Tasks at the front of the queue that finish earlier if they wait for other lanes.
    pub(crate) skip: usize,
}

impl Pick {
    /// Picks a lane for the task at the front of the queue.
    fn front(lane: usize) -> Self {
        Self { lane, skip: 0 }
    }
}

/// State that a policy keeps between picks.
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

    /// Returns a random number below `bound`.
    ///
    /// # Panics
    ///
    /// Panics if `bound` is zero.
    pub(crate) fn random_below(&mut self, bound: usize) -> usize {
        self.rng.usize(0..bound)
    }
}

/// A load-balancing policy.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Name in reports and on the command line.
    pub name: &'static str,
    /// Whether tasks are sent to upstreams without a free slot and queue there.
    pub(crate) push: bool,
    /// Picks a lane for a task of the queue; with `None`, all tasks wait.
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

    /// Returns the policy with the given name.
    pub fn by_name(name: &str) -> Option<Self> {
        Self::all().into_iter().find(|p| p.name == name)
    }

    /// Earliest expected finish, by learnt run times.
    ///
    /// A task waits for a fast upstream rather than start on a slow one that would finish it later.
    pub fn expected_finish() -> Self {
        Self {
            name: "expected-finish",
            push: false,
            choose: |pool, _, request| pool.earliest_finish(request),
        }
    }

    /// A random upstream, with a free slot or not.
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

    /// Upstreams in turn, with a free slot or not.
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

    /// The upstream with the fewest tasks per slot.
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

    /// The upstream with fewer tasks per slot out of two random ones.
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

    /// A random upstream with a free slot: slots pull tasks from the queue.
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
