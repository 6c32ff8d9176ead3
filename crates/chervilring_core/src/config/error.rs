//! Errors of release notes and configuration documents.

use std::fmt;

/// A fault in a release note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The path in the document, such as `added[2].limits.queue`.
    pub path: String,
    /// The problem at the path.
    pub problem: String,
    /// A description of what is allowed at the path.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {}; allowed: {}",
            self.path, self.problem, self.allowed
        )
    }
}

/// An error that lists all faults found in a release note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoteError {
    /// The faults, in the order in which they were found.
    pub faults: Vec<Fault>,
}

impl fmt::Display for NoteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.faults.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for NoteError {}

/// An error for a document that cannot be read as a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError(pub(super) String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid configuration: {}", self.0)
    }
}

impl std::error::Error for ConfigError {}
