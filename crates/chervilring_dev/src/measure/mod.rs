//! Measures what the configuration costs, by its size.

mod calls;
mod config;

pub use calls::{Calls, calls};
pub use config::{ConfigCost, config_cost};
