//! Stand-ins, trace replay and the demo: what the project needs to be tried and tested.

pub mod platform;
pub mod replay;
pub mod upstream;
