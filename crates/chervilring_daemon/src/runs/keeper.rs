//! What a runner keeps in the store of its upstream, for its next life.
//!
//! An answer of the store may be lost, and what was asked be done seconds later. Each write therefore
//! names the revision that it replaces: an old one that comes late finds another.

use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use chervilring_core::runs::runner::UpstreamRecord;
use chervilring_store::StoreError;
use slog::{Logger, warn};

use super::registry::{Registry, spawn};

/// The prefix of the keys.
const UPSTREAMS: &str = "upstreams/";

/// Time between two attempts at a write.
const AGAIN: Duration = Duration::from_secs(1);

/// Reads what an earlier life of a runner has kept, if that can be had.
pub(super) fn recall(registry: &Registry, name: &str, log: &Logger) -> Option<UpstreamRecord> {
    // An old copy may say of an upstream that has left that it takes work.
    let pair = match (registry.get)(&key_of(name)) {
        Ok(pair) => pair?,
        Err(error) => {
            warn!(log, "upstream not recalled"; "error" => %error);
            return None;
        }
    };
    match postcard::from_bytes(&pair.value) {
        Ok(record) => Some(record),
        Err(error) => {
            warn!(log, "upstream not recalled"; "error" => %error);
            None
        }
    }
}

/// Keeps records, the newest of what waits, on a thread of its own.
pub(super) fn keep_records(
    registry: Registry,
    name: &str,
    records: Receiver<UpstreamRecord>,
    log: Logger,
) {
    let mut keeper = Keeper::new(registry, name);
    spawn("store-upstream", move || {
        while let Ok(mut record) = records.recv() {
            loop {
                record = records.try_iter().last().unwrap_or(record);
                match keeper.keep(&record) {
                    Ok(()) => break,
                    Err(error) => warn!(log, "upstream not kept, trying again"; "error" => %error),
                }
                thread::sleep(AGAIN);
            }
        }
    });
}

/// Writes records under one key.
pub(super) struct Keeper {
    registry: Registry,
    key: String,
    /// The revision of what lies there, as long as that is known.
    revision: Option<u64>,
}

impl Keeper {
    pub(super) fn new(registry: Registry, name: &str) -> Self {
        Self {
            registry,
            key: key_of(name),
            revision: None,
        }
    }

    /// Writes a record.
    ///
    /// # Errors
    ///
    /// Returns the store's error; the record may have been written all the same, or be written later
    /// unless another one is before.
    pub(super) fn keep(&mut self, record: &UpstreamRecord) -> Result<(), StoreError> {
        let bytes = postcard::to_stdvec(record);
        let bytes = bytes.map_err(|e| StoreError::Invalid(e.to_string()))?;
        let known = match self.revision.take() {
            Some(revision) => revision,
            None => (self.registry.get)(&self.key)?.map_or(0, |pair| pair.revision),
        };
        self.revision = (self.registry.replace)(&self.key, &bytes, known)?;
        if self.revision.is_some() {
            return Ok(());
        }
        let what = format!("{} is no more at revision {known}", self.key);
        Err(StoreError::Invalid(what))
    }
}

fn key_of(name: &str) -> String {
    format!("{UPSTREAMS}{name}")
}
