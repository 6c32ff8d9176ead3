//! Settings of a planner's decisions.

use chervilring_wire::Micros;

/// The settings of a planner.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannerSettings {
    /// The share of its objective that a job may wait before its first task is started.
    pub hold: f64,
    /// The seed of the choice between equal upstreams.
    pub seed: u64,
    /// When a refused caller is told to come back.
    pub comeback: Micros,
    /// How long callers wait at the least before they send a job again that got no answer.
    pub resend: Micros,
    /// How many times longer a task runs away from the rack of its data.
    pub far: f64,
}

/// A caller who hears of a refusal within this share of the objective can still go elsewhere.
const HOLD_SHARE: f64 = 0.25;

/// Bursts last for seconds: a caller who comes back sooner meets the same one.
const COMEBACK: Micros = Micros::from_secs(1);

/// What the users' first deployments say of their callers.
const RESEND: Micros = Micros::from_millis(1_300);

/// How much longer a task is taken to run away from the rack of its data, where that is not set.
const FAR: f64 = 1.5;

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            hold: HOLD_SHARE,
            seed: 1,
            comeback: COMEBACK,
            resend: RESEND,
            far: FAR,
        }
    }
}
