//! Tests of the agent's decisions, in virtual time.

mod ops;
mod properties;
mod rules;
mod world;
