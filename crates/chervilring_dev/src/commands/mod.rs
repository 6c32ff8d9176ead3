//! The commands.

pub(crate) mod platform;
pub(crate) mod replay;
pub(crate) mod upstream;
