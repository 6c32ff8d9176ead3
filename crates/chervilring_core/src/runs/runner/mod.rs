//! The decisions of a runner: the final check of an upstream's capacity, its lease, and its runs.

mod call;
mod claims;
mod dialer;
mod evacuation;
mod event;
mod incarnations;
mod lease;
mod link_systems;
mod links;
mod lists;
mod pace;
mod record;
mod replacement;
mod retries;
mod run_limits;
mod run_times;
mod starts;
mod state;
mod state_updates;
mod stops;
mod systems;
mod upstream;

pub use call::{
    CallOutcome, CallRefusal, ListedEnd, ListedRun, RunLists, UpstreamCall, UpstreamIncarnation,
};
pub use dialer::{DialAction, Dialer, PLANNERS_PER_RUNNER};
pub use event::{ClaimEnd, GoneReason, RunnerEvent};
pub use lease::Lease;
pub use pace::{Progress, RunPace, expected_speed};
pub use record::UpstreamRecord;
pub use state::{Runner, RunnerStep};
pub use state_updates::{change_threshold, is_significant_change};
pub use upstream::{Availability, Report};
