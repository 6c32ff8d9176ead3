//! The commands.

pub(crate) mod bench;
pub(crate) mod demo;
pub(crate) mod latency;
pub(crate) mod measure;
pub(crate) mod platform;
pub(crate) mod replay;
pub(crate) mod upstream;
