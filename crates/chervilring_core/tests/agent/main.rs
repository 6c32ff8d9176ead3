//! The agent's decisions, in virtual time.

mod focused;
mod op;
mod properties;
mod world;
