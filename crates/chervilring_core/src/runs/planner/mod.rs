//! The decisions of a planner: which jobs are admitted, and when and where their tasks run.

mod admission;
mod candidates;
mod choice;
mod claims;
mod crashes;
mod evacuation;
mod event;
mod health;
mod job;
mod job_ends;
mod links;
mod messages;
mod order;
mod periodic;
mod placing;
mod queue_timeouts;
mod replicas;
mod resubmission;
mod run_ends;
mod sending;
mod settings;
mod spares;
mod state;
mod straggler;
mod upstream;

pub use admission::{JobTimes, start_deadline};
pub use choice::{Candidate, Choice, TaskTimes, choose_upstream};
pub use event::{LossCause, PlannerEvent};
pub use health::Health;
pub use job::{Caller, NewJob, Step};
pub use links::LinkNo;
pub use resubmission::{JobArrival, ResubmissionDetector};
pub use settings::PlannerSettings;
pub use state::{JobAnswer, Planner, PlannerStep, Refusal};
pub use straggler::Pace;
