//! The commands.

pub(crate) mod platform;
