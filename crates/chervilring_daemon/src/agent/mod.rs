//! The agent daemon: one loop that carries the decisions of
//! [`chervilring_core::agent`] to entries, to the upstream and to operators.
//!
//! `actor` holds the loop's only actor, `dialer` the addresses of entries, `calls` the threads
//! that call the upstream, and `http` serves the upstream's announcements and operators.

mod actor;
mod announcement;
mod call;
mod calls;
mod dialer;
mod exposition;
mod http;
mod run;

pub use run::run;
