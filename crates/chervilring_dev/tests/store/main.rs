//! The store client against the stand-in of the platform's store.

mod common;
mod notes;
mod ring;
