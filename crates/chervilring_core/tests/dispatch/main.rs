//! Tests of the dispatcher through its public interface.

mod admission;
mod failures;
mod fixture;
mod properties;
