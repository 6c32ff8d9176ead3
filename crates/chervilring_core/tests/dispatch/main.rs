//! Tests of the dispatcher over its public interface.

mod admission;
mod fixture;
mod properties;
mod sickness;
