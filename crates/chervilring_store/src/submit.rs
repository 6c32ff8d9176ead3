//! Submitting release notes.

use std::fmt;
use std::thread;
use std::time::{Duration, Instant};

use chervilring_core::config::{AuditRecord, Config, Note, NoteError};
use chervilring_wire::{Name, Revision, Timestamp, Verdict};

use crate::config::{ConfigStore, Snapshot};
use crate::error::StoreError;
use crate::ring::parse;
use crate::store::{Op, Page, Txn};

/// The largest document that is written, in bytes.
const MAX_DOCUMENT: usize = 1_000_000;

/// The largest audit record that is written, in bytes; with the document it fits one transaction.
const MAX_RECORD: usize = 400_000;

/// Competing notes that a conflict names.
const SHOWN_NOTES: u64 = 20;

/// The pause after a first unclear answer; it doubles with each further one.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause after an unclear answer.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// A note that was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// The revision that it made.
    pub revision: Revision,
    /// Whether an earlier submission had made it already.
    pub repeated: bool,
}

/// A note that was accepted since the base revision of another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Competing {
    /// The note's id.
    pub id: Name,
    /// The revision that it made.
    pub revision: Revision,
    /// Who submitted it.
    pub who: Name,
}

/// Why a note was not accepted.
#[derive(Debug)]
pub enum SubmitError {
    /// The note does not fit the configuration in force.
    Note(NoteError),
    /// Other notes were accepted on the same base.
    Conflict {
        /// The base of the note.
        base: Revision,
        /// The revision in force.
        current: Revision,
        /// The notes accepted in between, oldest first, or the first of them.
        competing: Vec<Competing>,
    },
    /// A note with other content has this id.
    IdReused {
        /// The id.
        id: Name,
        /// The revision that the other note made.
        revision: Revision,
    },
    /// The configuration or the note's record would be larger than the store takes.
    TooLarge {
        /// What is too large.
        what: &'static str,
        /// Its size in bytes.
        bytes: usize,
        /// The size allowed in bytes.
        allowed: usize,
    },
    /// The store gave no answer; the note was not accepted.
    Store(StoreError),
    /// The store gave no clear answer; the note may have been accepted, or may still be.
    Unclear(StoreError),
}

impl SubmitError {
    /// Returns whether the note may have been accepted.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Unclear(_) => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Note(e) => write!(f, "{e}"),
            Self::Conflict {
                base,
                current,
                competing,
            } => {
                write!(f, "base {base} is not the revision in force, {current}")?;
                for note in competing {
                    let Competing { id, revision, who } = note;
                    write!(f, "; note \"{id}\" by {who} made revision {revision}")?;
                }
                Ok(())
            }
            Self::IdReused { id, revision } => write!(
                f,
                "id \"{id}\" belongs to another note, which made revision {revision}; \
                 allowed: an id of its own for each note"
            ),
            Self::TooLarge {
                what,
                bytes,
                allowed,
            } => write!(f, "{what} would have {bytes} bytes; allowed: {allowed}"),
            Self::Store(e) => write!(f, "not accepted: {e}"),
            Self::Unclear(e) => write!(
                f,
                "may have been accepted: {e}; submitting the same note again is safe"
            ),
        }
    }
}

impl std::error::Error for SubmitError {}

/// What a submission reads before it writes.
struct Found {
    snapshot: Snapshot,
    /// The revision that a note of this id has made.
    made: Option<Revision>,
    /// The audit record that is now too old to keep.
    old: Option<AuditRecord>,
}

/// Submits a note and finds out what became of it.
pub(crate) fn submit(
    store: &ConfigStore,
    note: &Note,
    who: &Name,
    when: Timestamp,
) -> Result<Accepted, SubmitError> {
    let reads = vec![
        Op::Get(store.keys.config()),
        Op::Get(store.keys.note(&note.id)),
        Op::Get(store.keys.audit(oldest(store, note.base))),
    ];
    let read = Txn {
        then: reads.clone(),
        ..Txn::default()
    };
    let answer = store.store.txn(&read).map_err(SubmitError::Store)?;
    let found = found(&answer.pages).map_err(SubmitError::Store)?;
    if let Some(revision) = found.made {
        return repeated(store, note, revision);
    }
    if found.snapshot.config.revision != note.base {
        return Err(conflict(store, note, &found.snapshot.config));
    }
    let write = write(store, note, who, when, &found, reads)?;
    settle(store, note, &write)
}

/// Makes the transaction until it is clear whether it took effect.
///
/// Reading alone would not tell: a write whose answer is missing may take effect later. Making the
/// same transaction again does, for it takes effect once at most, and a failed comparison means
/// that no earlier try can take effect any more.
fn settle(store: &ConfigStore, note: &Note, write: &Txn) -> Result<Accepted, SubmitError> {
    let end = Instant::now() + store.settings.settle;
    let mut unclear = None;
    let mut pause = MIN_PAUSE;
    loop {
        let error = match store.store.txn(write) {
            Ok(answer) if answer.done => {
                return Ok(Accepted {
                    revision: Revision(note.base.0 + 1),
                    repeated: false,
                });
            }
            Ok(answer) => match found(&answer.pages) {
                Ok(found) => return lost_race(store, note, &found),
                Err(e) => e,
            },
            Err(e) => e,
        };
        if error.verdict() == Verdict::MayHaveRun {
            unclear = Some(error);
        } else if unclear.is_none() {
            return Err(SubmitError::Store(error));
        }
        if Instant::now() + pause >= end {
            let last = StoreError::Lost("no clear answer in time".into());
            return Err(SubmitError::Unclear(unclear.unwrap_or(last)));
        }
        thread::sleep(pause);
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

/// Tells a note that an earlier try has made from one that lost against another.
fn lost_race(store: &ConfigStore, note: &Note, found: &Found) -> Result<Accepted, SubmitError> {
    match found.made {
        Some(revision) => repeated(store, note, revision),
        None => Err(conflict(store, note, &found.snapshot.config)),
    }
}

/// Answers a note whose id has made a revision before.
fn repeated(store: &ConfigStore, note: &Note, revision: Revision) -> Result<Accepted, SubmitError> {
    match store.record(revision).map_err(SubmitError::Unclear)? {
        Some(record) if record.note == *note => Ok(Accepted {
            revision,
            repeated: true,
        }),
        _ => Err(SubmitError::IdReused {
            id: note.id.clone(),
            revision,
        }),
    }
}

/// Names the notes that were accepted since the note's base.
fn conflict(store: &ConfigStore, note: &Note, config: &Config) -> SubmitError {
    // The conflict is told all the same when the notes between cannot be shown.
    let page = store
        .audit_range(note.base, SHOWN_NOTES)
        .unwrap_or_default();
    let records = page
        .pairs
        .iter()
        .filter_map(|p| parse::<AuditRecord>(p).ok());
    let competing = records.map(|record| Competing {
        id: record.note.id,
        revision: record.revision,
        who: record.who,
    });
    SubmitError::Conflict {
        base: note.base,
        current: config.revision,
        competing: competing.collect(),
    }
}

/// Returns the revision whose record is given up when a note is accepted on `base`.
fn oldest(store: &ConfigStore, base: Revision) -> Revision {
    Revision((base.0 + 1).saturating_sub(store.settings.kept))
}

fn found(pages: &[Page]) -> Result<Found, StoreError> {
    let first = |i: usize| pages.get(i).and_then(|page| page.pairs.first());
    Ok(Found {
        snapshot: Snapshot::read(first(0))?,
        made: first(1).map(parse).transpose()?,
        old: first(2).map(parse).transpose()?,
    })
}

/// Builds the transaction that makes the note's revision.
fn write(
    store: &ConfigStore,
    note: &Note,
    who: &Name,
    when: Timestamp,
    found: &Found,
    reads: Vec<Op>,
) -> Result<Txn, SubmitError> {
    let config = found.snapshot.config.apply(note);
    let config = config.map_err(SubmitError::Note)?;
    let record = AuditRecord {
        revision: config.revision,
        previous: found.snapshot.config.note.clone(),
        who: who.clone(),
        when,
        note: note.clone(),
    };
    let keys = &store.keys;
    let document = checked("the configuration", config.to_json(), MAX_DOCUMENT)?;
    let record = checked("the note's audit record", to_json(&record)?, MAX_RECORD)?;
    let revision = to_json(&config.revision)?;
    let mut then = vec![
        put(keys.config(), document),
        put(keys.audit(config.revision), record),
        put(keys.note(&note.id), revision.clone()),
        put(keys.head(), revision),
    ];
    if let Some(old) = &found.old {
        then.push(Op::Delete(keys.audit(old.revision)));
        then.push(Op::Delete(keys.note(&old.note.id)));
    }
    Ok(Txn {
        compare: vec![
            (keys.config(), found.snapshot.written),
            (keys.note(&note.id), 0),
        ],
        then,
        otherwise: reads,
    })
}

fn put(key: String, value: Vec<u8>) -> Op {
    let lease = 0;
    Op::Put { key, value, lease }
}

fn checked(what: &'static str, value: Vec<u8>, allowed: usize) -> Result<Vec<u8>, SubmitError> {
    let bytes = value.len();
    if bytes > allowed {
        return Err(SubmitError::TooLarge {
            what,
            bytes,
            allowed,
        });
    }
    Ok(value)
}

fn to_json(value: &impl serde::Serialize) -> Result<Vec<u8>, SubmitError> {
    let unsent = |e: serde_json::Error| SubmitError::Store(StoreError::NotSent(e.to_string()));
    serde_json::to_vec(value).map_err(unsent)
}
