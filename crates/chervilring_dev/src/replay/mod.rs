//! Replay of traces: against the decision core in virtual time, or against real processes.

pub mod callers;
mod deployment;
mod faults;
mod generate;
mod home;
mod hosts;
mod measure;
mod oracle;
mod plot;
mod processes;
mod report;
mod rng;
pub mod trace;
mod upstream;
mod world;

pub use generate::{generate, names};
pub use measure::{Phase, Played, Summary};
pub use processes::play_processes;
pub use report::{Format, Line, render};
pub use world::play;
