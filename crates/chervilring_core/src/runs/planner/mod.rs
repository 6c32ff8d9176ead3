//! The decisions of a planner: which jobs are admitted, and when and where their tasks run.

mod admission;
mod candidates;
mod choice;
mod claims;
mod crashes;
mod evacuation;
mod event;
mod explain;
mod health;
mod job;
mod job_ends;
mod job_memory;
mod links;
mod mean_speed;
mod messages;
mod order;
mod periodic;
mod placing;
mod queue_timeouts;
mod ratios;
mod replicas;
mod resubmission;
mod retry_after;
mod run_ends;
mod run_times;
mod sending;
mod settings;
mod state;
mod straggler;
mod upstream;

pub use admission::{JobTimes, start_deadline};
pub use choice::{Candidate, Choice, Obstacle, TaskTimes, choose_upstream, obstacle};
pub use event::{LossCause, PlannerEvent};
pub use explain::{
    ChoiceReason, ExpectedRun, Explanation, JobOrder, Outcome, StepExplanation, UpstreamExplanation,
};
pub use health::Health;
pub use job::{Caller, NewJob, Step};
pub use links::LinkNo;
pub use ratios::Ratios;
pub(super) use ratios::is_valid_message;
pub use resubmission::{JobArrival, ResubmissionDetector};
pub use retry_after::{Drain, retry_after};
pub(super) use run_times::MAX_ROUTES;
pub use settings::PlannerSettings;
pub use state::{JobAnswer, Planner, PlannerStep, Refusal};
pub use straggler::Pace;
