//! The verdict: whether a task or request may have run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Says whether a task or request may have run.
///
/// Ordered by how much may have happened, so that the verdict on a whole is the maximum of the
/// verdicts on its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It did not run and will not: it may be sent elsewhere.
    NotRun,
    /// It may have run, or may still be running.
    MayHaveRun,
    /// It ran to its end.
    Ran,
}

impl Verdict {
    /// Returns the name used in answers to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
