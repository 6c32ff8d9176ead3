//! The store client against the stand-in of the platform's store.

mod cli;
mod common;
mod faults;
mod notes;
mod races;
mod ring;
mod watch;
