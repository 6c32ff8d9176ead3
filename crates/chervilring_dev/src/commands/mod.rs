//! The commands.

pub(crate) mod platform;
pub(crate) mod upstream;
