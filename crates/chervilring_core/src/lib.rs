//! The decisions of the dispatcher, as pure state machines.
//!
//! Nothing here performs I/O or reads a clock: events and the current time are passed in, and the
//! steps to be carried out are drained. Each module keeps its entities in tables and runs its
//! systems over them whenever a batch of events is in.

pub mod agent;
pub mod config;
pub mod dispatch;
pub mod entry;
pub mod membership;
pub mod runs;
