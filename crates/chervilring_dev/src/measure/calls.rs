//! Calls of the store, at rest and for a change.

use std::io;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use chervilring_core::config::{Config, Note};
use chervilring_store::{ConfigStore, RingStore, StoreSettings};
use chervilring_wire::{EntryId, Incarnation, Revision, Timestamp};
use eyre::{WrapErr, eyre};

use crate::platform::{Counts, Faults, Platform};

/// Seconds that the leases last.
const LEASE_SECS: u64 = 5;

/// The longest that a change may take to come in.
const BOUND: Duration = Duration::from_secs(20);

/// Calls of the store, with so many entries.
#[derive(Debug, Clone, Copy)]
pub struct Calls {
    /// Entries that hold a lease and watch the configuration.
    pub entries: usize,
    /// Renewals by each entry.
    pub renewals: u64,
    /// Calls while each entry renewed its lease so often.
    pub rest: Counts,
    /// Notes accepted one after the other.
    pub notes: u64,
    /// Calls while they were accepted and came in at every entry.
    pub changes: Counts,
    /// The longest time from the submission of a note until each entry had it.
    pub slowest: Duration,
}

/// Counts the calls of entries that renew leases and watch, and of an operator's notes.
///
/// # Errors
///
/// Returns an error when the stand-in cannot be started or a change does not come in.
pub fn calls(entries: usize, renewals: u64, notes: u64) -> eyre::Result<Calls> {
    let platform = start()?;
    let settings = StoreSettings::builder(&platform.url())
        .map_err(|e| eyre!(e))?
        .build();
    let store = ConfigStore::new(&settings);
    let mut rings: Vec<RingStore> = (0..entries)
        .map(|i| RingStore::new(&settings, entry(i), LEASE_SECS))
        .collect();
    let (sender, receiver) = channel();
    for _ in 0..entries {
        let (mut watch, sender) = (store.watch(Arc::new(Config::empty())), sender.clone());
        thread::spawn(move || {
            while let Ok(config) = watch.wait() {
                if sender.send(config.revision).is_err() {
                    return;
                }
            }
        });
    }
    let change = |base: u64| -> eyre::Result<Duration> {
        let begun = Instant::now();
        store.submit(&note(base)?, &"operator".into(), Timestamp(0))?;
        for _ in 0..entries {
            let revision = receiver
                .recv_timeout(BOUND)
                .wrap_err("a change did not come in")?;
            if revision != Revision(base + 1) {
                return Err(eyre!("revision {revision} came in out of order"));
            }
        }
        Ok(begun.elapsed())
    };
    // The first note and the first renewals set up what then is at rest.
    change(0)?;
    for ring in &mut rings {
        ring.renew()?;
    }
    let begun = platform.counts();
    for _ in 0..renewals {
        for ring in &mut rings {
            ring.renew()?;
        }
    }
    let rested = platform.counts();
    let mut slowest = Duration::ZERO;
    for base in 1..=notes {
        slowest = slowest.max(change(base)?);
    }
    Ok(Calls {
        entries,
        renewals,
        rest: rested.since(&begun),
        notes,
        changes: platform.counts().since(&rested),
        slowest,
    })
}

fn start() -> io::Result<Platform> {
    Platform::start(([127, 0, 0, 1], 0).into(), Faults::default())
}

fn entry(number: usize) -> EntryId {
    EntryId {
        name: format!("entry-{number}").into(),
        incarnation: Incarnation(1),
    }
}

fn note(base: u64) -> eyre::Result<Note> {
    let text = format!(
        r#"{{"id": "note-{base}", "base": {base}, "added": [{{"name": "service-{base}",
            "rules": {{"idempotent": true, "deadline": "5s"}}}}]}}"#
    );
    Ok(Note::parse(&text)?)
}
