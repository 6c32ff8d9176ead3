//! HTTP towards callers, upstreams and operators.
//!
//! [`Server`] carries HTTP for any daemon: it accepts, keeps slow clients away from others and
//! hands each request over as a [`Call`]. [`CallerApi`] is the interface of an entry towards its
//! callers, built on it.
//!
//! `tiny_http` takes one thread for each open connection and keeps it until the connection is
//! closed. An idle connection is closed after [`ServerSettings::idle`]. No further thread waits
//! for a caller: an unanswered call is an entry of a table. A connection that comes in the moment
//! in which `tiny_http` hands others to its idle threads may get no thread until another one is
//! closed; the server therefore opens and closes a connection to itself after each new one and
//! a few times a second, which frees a thread for it ([`Kicker`]).

mod answer;
mod api;
mod body;
mod call;
mod connections;
mod health;
mod job;
mod json;
mod kicker;
pub(crate) mod pool;
mod problem;
mod request;
mod route;
mod server;

pub use api::{CallerApi, CallerEvent, CallerSettings};
pub use call::{Answer, Call};
pub use health::Health;
pub use kicker::Kicker;
pub use problem::Problem;
pub use server::{Server, ServerSettings};
