//! The decisions of a planner: which job runs when and where, and which is refused.

mod admission;
mod copies;
mod ends;
mod event;
mod health;
mod job;
mod links;
mod messages;
mod order;
mod placement;
mod placing;
mod resend;
mod settings;
mod settling;
mod state;
mod straggler;
mod systems;
mod upstream;

pub use admission::{Hold, hold};
pub use event::PlannerEvent;
pub use health::Health;
pub use job::{Caller, NewJob, Step};
pub use links::LinkNo;
pub use order::urgency;
pub use placement::{Choice, Offer, Wish, choose};
pub use resend::{Resends, Sending};
pub use settings::PlannerSettings;
pub use state::{JobAnswer, Planner, PlannerStep, Refusal};
pub use straggler::Pace;
