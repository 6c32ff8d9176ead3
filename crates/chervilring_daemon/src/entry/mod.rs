//! The entry daemon: carries the messages and steps of `chervilring_core::entry`.

mod daemon;
mod dialer;
mod event;
mod links;
mod report;
mod routes;
mod setup;
mod store;

pub use setup::run_entry;
