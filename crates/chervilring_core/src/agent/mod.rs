//! The agent beside an upstream: its slots, and the last word on whether a task starts.
//!
//! [`Agent`] is fed with what entries, the upstream and its own calls report, and with the time;
//! it hands out [`AgentStep`]s. A task's way through it: `check` decides on a start, `queue` holds
//! the task until a slot is free, `started` remembers that it began, and `outbox` keeps its answer
//! until the entry has confirmed it.

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
