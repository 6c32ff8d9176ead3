//! Why a call of the store gave no answer.

use std::fmt;

use chervilring_wire::Verdict;

/// Why a call of the store gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// No endpoint could be reached: nothing was sent.
    NotSent(String),
    /// The store refused the call, which took no effect.
    Refused {
        /// The HTTP status; 429 where the rate of calls is limited.
        status: u16,
        /// What the store says.
        message: String,
    },
    /// The call was sent and its answer is missing: a write may have taken effect, or still may.
    Lost(String),
    /// The store holds or answered something that is not understood.
    Invalid(String),
}

impl StoreError {
    /// Returns whether a write may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::NotSent(_) | Self::Refused { .. } => Verdict::NotRun,
            Self::Lost(_) | Self::Invalid(_) => Verdict::MayHaveRun,
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(what) => write!(f, "store not reached: {what}"),
            Self::Refused { status, message } => {
                write!(f, "store refused the call with status {status}: {message}")
            }
            Self::Lost(what) => write!(f, "answer of the store lost: {what}"),
            Self::Invalid(what) => write!(f, "answer of the store not understood: {what}"),
        }
    }
}

impl std::error::Error for StoreError {}
