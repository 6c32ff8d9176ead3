//! The daemons: event loops, sockets, HTTP and upstream calls around the decisions of
//! `chervilring_core`.

pub mod agent;
pub mod entry;
pub mod http;
pub mod listening;
pub mod log;
pub mod metrics;
pub mod net;
pub mod runs;
pub mod settings;
pub mod signals;

pub use entry::run_entry;
