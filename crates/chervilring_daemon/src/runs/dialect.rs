//! What callers and upstreams speak, as functions.

use std::sync::Arc;

use chervilring_core::runs::RouteTable;
use chervilring_core::runs::planner::{JobAnswer, NewJob};
use chervilring_core::runs::runner::{CallOutcome, Report, UpstreamCall, UpstreamIncarnation};
use chervilring_wire::{JobId, Micros, Name, Time};

use crate::net::{HttpAnswer, HttpRequest};

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerCall {
    /// To have a job run.
    Submit(NewJob),
    /// How many jobs of a route wait.
    Waiting(Name),
    /// The state of a job.
    State(JobId),
    /// To have a job cancelled.
    Cancel(JobId),
    /// Something that no route in force matches, with its answer.
    Unrouted(HttpAnswer),
    /// Something that is answered at once.
    Answer(HttpAnswer),
}

/// What callers of a planner speak.
#[derive(Debug, Clone, Copy)]
pub struct CallerDialect {
    /// Reads a request by the routes in force, at a point in time.
    pub read: fn(&HttpRequest, &RouteTable, Time) -> CallerCall,
    /// Writes the answer to a job; the span says when a refused caller is to come back.
    pub answer: fn(JobAnswer, Micros) -> HttpAnswer,
    /// Writes how many jobs wait.
    pub waiting: fn(usize) -> HttpAnswer,
    /// Writes whether a job is in hand.
    pub state: fn(bool) -> HttpAnswer,
    /// Writes the answer to a request that comes before the configuration is known.
    pub unready: fn() -> HttpAnswer,
    /// Reads the configuration as it lies in the store.
    pub config: fn(&[u8]) -> eyre::Result<RouteTable>,
}

/// What an upstream tells its runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerNotice {
    /// A report of itself.
    Report(Report),
    /// That it ends; by the id that it has announced.
    Left(Name),
    /// Something that is not understood.
    Foreign(HttpAnswer),
}

/// What the upstream of a runner speaks.
#[derive(Clone)]
pub struct WorkerDialect {
    /// Reads a request of the upstream.
    pub read: fn(&HttpRequest) -> WorkerNotice,
    /// Writes the answer to a notice that was taken in.
    pub accepted: fn() -> HttpAnswer,
    /// Calls the upstream; it blocks.
    pub call: Arc<dyn Fn(&UpstreamCall) -> CallOutcome + Send + Sync>,
    /// Asks whether a life of an upstream is there and takes work; it blocks.
    pub healthy: Arc<dyn Fn(&UpstreamIncarnation) -> bool + Send + Sync>,
}
