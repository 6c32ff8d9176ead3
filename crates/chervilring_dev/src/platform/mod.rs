//! A stand-in for the platform's key-value service.
//!
//! It speaks the subset of the published etcd v3 JSON gateway that the dispatcher uses: range, txn
//! with comparison of revisions, leases and watch. Faults are set on demand, and each call is
//! counted; a waiting watch counts as one.

mod clock;
mod control;
mod counts;
mod faults;
mod kv;
mod messages;
mod server;
mod state;
mod stream;

pub use counts::Counts;
pub use faults::{Down, Faults};
pub use server::Platform;
