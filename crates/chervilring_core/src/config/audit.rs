//! The audit trail.

use chervilring_wire::{Name, Revision, Timestamp};
use serde::{Deserialize, Serialize};

use super::note::Note;

/// What one accepted note changed, by whom and when.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The revision that the note made.
    pub revision: Revision,
    /// The id of the note that made the base revision; empty for the first.
    pub previous: Name,
    /// Who submitted it.
    pub who: Name,
    /// When, by the submitter's wall clock, in milliseconds since the Unix epoch.
    pub when: Timestamp,
    /// The note, whole: its id, its base, and what was added, changed and withdrawn.
    pub note: Note,
}
