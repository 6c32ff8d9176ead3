//! The decisions of a runner: the last word on an upstream's capacity, its lease, and what runs.

mod call;
mod dial;
mod event;
mod lease;
mod link_systems;
mod links;
mod lists;
mod lives;
mod record;
mod repeats;
mod starts;
mod state;
mod stops;
mod systems;
mod telling;
mod worker;

pub use call::{CallOutcome, ListedEnd, ListedRun, Lists, Refused, WorkerCall, WorkerLife};
pub use dial::{Dial, Due, PLANNERS};
pub use event::RunnerEvent;
pub use lease::Lease;
pub use record::Record;
pub use state::{Runner, RunnerStep};
pub use telling::{differs, grain};
pub use worker::{Report, WorkerState};
