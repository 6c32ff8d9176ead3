//! The agent as a process, with a fake entry and the stand-in of an upstream.

mod fake_entry;
mod faults;
mod input;
mod stops;
mod worker;
