//! Services, the release notes that change them, and the resulting configuration.
//!
//! An operator writes a [`Note`], which adds, changes and withdraws services on a base revision.
//! [`Note::parse`] reports all of its faults at once, [`Config::apply`] creates the next [`Config`]
//! from it, and an [`AuditRecord`] records who submitted it and when.

mod audit;
mod check;
mod document;
mod error;
mod fields;
mod note;
mod service;
mod state;
mod unit;

pub use audit::AuditRecord;
pub use error::{ConfigError, Fault, NoteError};
pub use note::Note;
pub use service::{Limits, Quota, Rules, Selector, Service};
pub use state::Config;
pub use unit::{DurationText, SizeText};
