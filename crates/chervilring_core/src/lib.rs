//! The decisions of the dispatcher, as state machines without I/O, clocks and threads.
//!
//! Events and the current time are passed in, and the steps to carry out are returned. Each module
//! keeps its entities in tables and runs its systems over them after every batch of events.

pub mod agent;
pub mod config;
pub mod dispatch;
pub mod entry;
pub mod membership;
pub mod runs;
