//! Services, release notes and the configuration they make.
//!
//! A [`Note`] is what an operator writes: services added, changed and withdrawn on a base revision.
//! [`Note::parse`] checks it whole, [`Config::apply`] makes the next [`Config`] of it, and the
//! [`AuditRecord`] keeps who did so and when.

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
pub use unit::{SizeText, SpanText};
