//! Our own programs as separate processes on loopback, for the demo, measurements and tests.
//!
//! A [`Process`] is one program on ports that the system chooses. A [`Cluster`] is a whole
//! deployment: the stand-in of the store, entries, and agents with the stand-ins of their
//! upstreams. Everything that was started is ended when it is dropped.

mod child;
mod cluster;
mod controls;
mod plan;
mod wait;

pub use child::{Process, Program, SHIPPED};
pub use cluster::{Cluster, Worker};
pub use controls::{Starts, job, service};
pub use plan::{ClusterPlan, WorkerPlan};
pub use wait::{BOUND, wait_for};
