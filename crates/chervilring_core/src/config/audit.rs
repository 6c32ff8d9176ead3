//! The audit record that is kept for each accepted release note.

use chervilring_wire::{Name, Revision, Timestamp};
use serde::{Deserialize, Serialize};

use super::note::Note;

/// A record of an accepted release note, with who submitted it and when.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The revision that the note created.
    pub revision: Revision,
    /// The id of the note that created the base revision; empty for the first note.
    pub previous: Name,
    /// The operator who submitted the note.
    pub who: Name,
    /// The time of submission by the submitter's wall clock, in milliseconds since the Unix epoch.
    pub when: Timestamp,
    /// The complete note: its id, its base revision, and the services added, changed and withdrawn.
    pub note: Note,
}
