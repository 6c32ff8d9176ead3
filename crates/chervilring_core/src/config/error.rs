//! What is wrong with a document.

use std::fmt;

/// One thing that is wrong in a release note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Where in the document, such as `added[2].limits.queue`.
    pub path: String,
    /// What is wrong there.
    pub what: String,
    /// What is allowed there.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; allowed: {}", self.path, self.what, self.allowed)
    }
}

/// All that is wrong with a release note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoteError {
    /// The faults, in the order of the document.
    pub faults: Vec<Fault>,
}

impl fmt::Display for NoteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.faults.iter().enumerate() {
            let gap = if i == 0 { "" } else { "\n" };
            write!(f, "{gap}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for NoteError {}

/// A document that is not a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError(pub(super) String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a configuration: {}", self.0)
    }
}

impl std::error::Error for ConfigError {}
