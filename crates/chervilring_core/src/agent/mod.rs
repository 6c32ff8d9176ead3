//! The agent beside an upstream: manages the upstream's slots and makes the final check of whether
//! a task may start.
//!
//! [`Agent`] receives events from entries, from the upstream and from its own calls, together with
//! the current time, and returns [`AgentStep`]s. A task passes through `check`, which decides on
//! its start; `queue`, which holds it until a slot is free; `started`, which records the start; and
//! `outbox`, which keeps its answer until the entry has acknowledged it.

mod answer;
mod check;
mod entries;
mod outbox;
mod queue;
mod settings;
mod started;
mod state;
mod status;
mod step;
mod systems;
mod upstream;

pub use settings::AgentSettings;
pub use state::Agent;
pub use status::{AgentCounters, AgentStatus};
pub use step::{AgentStep, CallEnd, UpstreamCall, UpstreamEvent};
