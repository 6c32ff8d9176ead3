//! Settings of a planner and their default values.

use chervilring_wire::Micros;

/// Settings of a planner.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannerSettings {
    /// The share of its objective that a job may wait until its first task starts.
    pub wait_share: f64,
    /// The seed of the random choice between equal upstreams.
    pub seed: u64,
    /// The delay after which a refused caller should retry.
    pub retry_after: Micros,
    /// The shortest delay after which callers resubmit a job that got no answer.
    pub resubmit_delay: Micros,
    /// The factor by which a task's run time grows outside the rack that holds its data.
    pub remote_factor: f64,
    /// Whether tasks of urgent wide jobs claim room at two upstreams where it is short.
    pub claims: bool,
    /// The memory that jobs may take, in bytes. One job alone may take more.
    pub job_memory: usize,
}

/// A caller that is refused within this share of its objective still has time to retry elsewhere.
const WAIT_SHARE: f64 = 0.25;

/// Bursts last for seconds: a caller that retries sooner meets the same burst.
const RETRY_AFTER: Micros = Micros::from_secs(1);

/// Callers of the first deployments resubmit no sooner than this.
const RESUBMIT_DELAY: Micros = Micros::from_millis(1_300);

/// The default growth of the run time outside the rack that holds the task's data.
const REMOTE_FACTOR: f64 = 1.5;

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            wait_share: WAIT_SHARE,
            seed: 1,
            retry_after: RETRY_AFTER,
            resubmit_delay: RESUBMIT_DELAY,
            remote_factor: REMOTE_FACTOR,
            claims: true,
            job_memory: usize::MAX,
        }
    }
}
