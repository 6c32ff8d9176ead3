//! Tests of the dispatcher over its public interface.

mod admission;
mod failures;
mod fixture;
mod properties;
