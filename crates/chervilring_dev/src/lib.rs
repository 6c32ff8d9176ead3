//! Stand-ins, trace replay and the demo: what the project needs to be tried and tested.

pub mod bench;
pub mod demo;
pub mod latency;
mod listener;
pub mod measure;
pub mod platform;
pub mod process;
pub mod replay;
pub mod upstream;
