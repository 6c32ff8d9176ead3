//! The verdict: whether a task or request may have run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a task or request may have run.
///
/// Ordered by how much may have happened: the verdict on a submission is the maximum of the
/// verdicts on its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It did not run and will not. It is safe to send it elsewhere.
    NotRun,
    /// It may have run, or may still be running.
    MayHaveRun,
    /// It ran to completion.
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
