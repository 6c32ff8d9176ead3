//! The configuration and its audit trail.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use chervilring_core::config::{AuditRecord, Config};
use chervilring_wire::{Name, Revision, Timestamp};

use crate::catch_up::CatchUp;
use crate::error::StoreError;
use crate::etcd::Store;
use crate::keys::Keys;
use crate::ring::parse;
use crate::settings::StoreSettings;
use crate::store::{Page, Pair};
use crate::submit::{Accepted, SubmitError, submit};
use crate::watch::{AuditWatch, ConfigWatch};

/// Records read by one call.
const PAGE: u64 = 200;

/// A configuration as the store holds it.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The configuration.
    pub config: Arc<Config>,
    /// The revision of the configuration's key; zero before the first note.
    pub written: u64,
}

impl Snapshot {
    /// Reads the snapshot out of the configuration's key.
    pub(crate) fn read(pair: Option<&Pair>) -> Result<Self, StoreError> {
        let Some(pair) = pair else {
            return Ok(Self {
                config: Arc::new(Config::empty()),
                written: 0,
            });
        };
        let config = Config::from_json(&pair.value);
        Ok(Self {
            config: Arc::new(config.map_err(|e| StoreError::Invalid(e.to_string()))?),
            written: pair.revision,
        })
    }
}

/// The configuration in the store.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    pub(crate) store: Store,
    pub(crate) keys: Keys,
    pub(crate) settings: StoreSettings,
    /// The newest revision that a read or watch of this store or its clones has brought.
    pub(crate) newest: Arc<AtomicU64>,
}

impl ConfigStore {
    /// Creates the client; nothing is sent yet.
    pub fn new(settings: &StoreSettings) -> Self {
        Self {
            store: Store::new(settings),
            keys: Keys::new(&settings.prefix),
            settings: settings.clone(),
            newest: Arc::default(),
        }
    }

    /// Reads the newest configuration.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer or holds something else.
    pub fn current(&self) -> Result<Snapshot, StoreError> {
        let snapshot = Snapshot::read(self.store.get(&self.keys.config())?.as_ref())?;
        self.brought(snapshot.config.revision);
        Ok(snapshot)
    }

    /// Notes a revision that was read or watched.
    pub(crate) fn brought(&self, revision: Revision) {
        self.newest.fetch_max(revision.0, Ordering::Relaxed);
    }

    /// Guards the watches of this store and its clones against staying behind unseen.
    pub fn catch_up(&self) -> CatchUp {
        CatchUp::new(self.clone())
    }

    /// Submits a release note: checked against the newest configuration, then applied whole with
    /// its audit record, or not at all. Submitting the same note again is safe.
    ///
    /// # Errors
    ///
    /// Returns why the note was not accepted, or that this could not be found out.
    pub fn submit(
        &self,
        note: &chervilring_core::config::Note,
        who: &Name,
        when: Timestamp,
    ) -> Result<Accepted, SubmitError> {
        submit(self, note, who, when)
    }

    /// Watches for configurations newer than the given one.
    pub fn watch(&self, config: Arc<Config>) -> ConfigWatch {
        ConfigWatch::new(self.clone(), config)
    }

    /// Watches for audit records after a revision.
    pub fn follow(&self, since: Revision) -> AuditWatch {
        AuditWatch::new(self.clone(), since)
    }

    /// Reads the audit record of a revision; `None` when it is not kept.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer or holds something else.
    pub fn record(&self, revision: Revision) -> Result<Option<AuditRecord>, StoreError> {
        let pair = self.store.get(&self.keys.audit(revision))?;
        pair.as_ref().map(parse).transpose()
    }

    /// Reads the audit records after a revision, oldest first.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer or holds something else.
    pub fn audit(&self, since: Revision) -> Result<Vec<AuditRecord>, StoreError> {
        self.audit_page(since).map(|(records, _)| records)
    }

    /// Reads the audit records after a revision and the revision of the store they were read at.
    pub(crate) fn audit_page(
        &self,
        since: Revision,
    ) -> Result<(Vec<AuditRecord>, u64), StoreError> {
        let mut records = Vec::new();
        let mut since = since;
        loop {
            let page = self.audit_range(since, PAGE)?;
            let whole = (page.pairs.len() as u64) < PAGE;
            for pair in &page.pairs {
                records.push(parse::<AuditRecord>(pair)?);
            }
            if whole {
                return Ok((records, page.revision));
            }
            since = records.last().map_or(since, |r| r.revision);
        }
    }

    /// Reads at most `limit` audit records after a revision.
    pub(crate) fn audit_range(&self, since: Revision, limit: u64) -> Result<Page, StoreError> {
        let first = self.keys.audit(Revision(since.0 + 1));
        self.store.range_from(&self.keys.trail(), &first, limit)
    }
}
