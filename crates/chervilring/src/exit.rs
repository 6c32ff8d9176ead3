//! Exit statuses.

use std::fmt;
use std::process::ExitCode;

use chervilring_daemon::settings::SettingError;
use chervilring_wire::Verdict;

/// How a command ended, as its exit code tells scripts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// 0: it did what it was asked.
    Ok,
    /// 1: an error that no other status covers.
    Internal,
    /// 2: arguments or settings are wrong; nothing was done.
    Usage,
    /// 3: refused; nothing was run or changed.
    Refused,
    /// 4: it failed, but may have run or taken effect.
    MayHaveRun,
    /// 5: no process was reached; nothing was sent.
    Unreachable,
}

impl ExitStatus {
    /// Returns the exit code.
    pub fn code(self) -> u8 {
        match self {
            Self::Ok => 0,
            Self::Internal => 1,
            Self::Usage => 2,
            Self::Refused => 3,
            Self::MayHaveRun => 4,
            Self::Unreachable => 5,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}

impl From<Verdict> for ExitStatus {
    /// Returns the status of a failure with this verdict.
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::NotRun => Self::Refused,
            Verdict::MayHaveRun | Verdict::Ran => Self::MayHaveRun,
        }
    }
}

/// An error that tells the exit status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failed {
    /// The exit status.
    pub status: ExitStatus,
    /// What went wrong and how to mend it.
    pub message: String,
}

impl Failed {
    /// Creates an error in arguments or settings.
    pub fn usage(message: impl Into<String>) -> Self {
        Self::new(ExitStatus::Usage, message)
    }

    /// Creates an error with an exit status.
    pub fn new(status: ExitStatus, message: impl Into<String>) -> Self {
        Self {
            status,
            message: message.into(),
        }
    }
}

impl fmt::Display for Failed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Failed {}

/// Returns the exit status that an error tells.
pub(crate) fn status_of(report: &eyre::Report) -> ExitStatus {
    if let Some(failed) = report.downcast_ref::<Failed>() {
        return failed.status;
    }
    if report.downcast_ref::<SettingError>().is_some() {
        return ExitStatus::Usage;
    }
    ExitStatus::Internal
}
