//! The callers' HTTP interface, over real sockets.

mod client;
mod fixture;
mod garbage;
mod jobs;
mod limits;
mod order;
mod stop;
