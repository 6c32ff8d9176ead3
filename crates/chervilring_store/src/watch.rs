//! Waiting for changes of the configuration.

use std::collections::VecDeque;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use chervilring_core::config::{AuditRecord, Config};
use chervilring_wire::Revision;

use crate::config::ConfigStore;
use crate::error::StoreError;
use crate::etcd::Watch;
use crate::store::{Change, Changes};

/// The pause after a first failure; it doubles with each further one.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after a failure.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Audit records as they are written, without a gap.
///
/// The records are keys of their own, so that a watch set up anew reads those it missed; that the
/// store forgets old changes does not matter.
#[derive(Debug)]
pub struct AuditWatch {
    store: ConfigStore,
    since: Revision,
    watch: Option<Watch>,
    ready: VecDeque<AuditRecord>,
    pause: Duration,
}

impl AuditWatch {
    pub(crate) fn new(store: ConfigStore, since: Revision) -> Self {
        Self {
            store,
            since,
            watch: None,
            ready: VecDeque::new(),
            pause: Duration::ZERO,
        }
    }

    /// Waits for the next record.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer. Calling again tries anew, after a pause
    /// that grows with each failure.
    pub fn wait(&mut self) -> Result<AuditRecord, StoreError> {
        loop {
            if let Some(record) = self.ready.pop_front() {
                self.since = record.revision;
                return Ok(record);
            }
            thread::sleep(self.pause);
            match self.fill() {
                Ok(()) => self.pause = Duration::ZERO,
                Err(e) => {
                    self.watch = None;
                    self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
                    return Err(e);
                }
            }
        }
    }

    /// Goes on after a revision that was learnt in another way.
    fn skip_to(&mut self, revision: Revision) {
        self.since = self.since.max(revision);
        self.ready.retain(|record| record.revision > revision);
    }

    fn fill(&mut self) -> Result<(), StoreError> {
        let Some(watch) = &mut self.watch else {
            return self.connect();
        };
        match watch.wait()? {
            Changes::Some(changes) => self.take(&changes),
            Changes::Compacted | Changes::Ended => {
                self.watch = None;
                Ok(())
            }
        }
    }

    /// Reads what was missed and watches from there on.
    fn connect(&mut self) -> Result<(), StoreError> {
        let (records, revision) = self.store.audit_page(self.since)?;
        let prefix = self.store.keys.trail();
        self.watch = Some(self.store.store.watch(&prefix, revision)?);
        self.ready.extend(records);
        Ok(())
    }

    fn take(&mut self, changes: &[Change]) -> Result<(), StoreError> {
        // Records that are deleted once they are old are changes too.
        for value in changes.iter().filter_map(|c| c.value.as_ref()) {
            let record: AuditRecord = serde_json::from_slice(value)
                .map_err(|e| StoreError::Invalid(format!("in an audit record: {e}")))?;
            if record.revision > self.since {
                self.ready.push_back(record);
            }
        }
        Ok(())
    }
}

/// Configurations as they are accepted: only ever newer ones.
#[derive(Debug)]
pub struct ConfigWatch {
    store: ConfigStore,
    config: Arc<Config>,
    records: AuditWatch,
}

impl ConfigWatch {
    pub(crate) fn new(store: ConfigStore, config: Arc<Config>) -> Self {
        let records = AuditWatch::new(store.clone(), config.revision);
        Self {
            store,
            config,
            records,
        }
    }

    /// Waits for the next configuration.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer. Calling again tries anew, after a pause
    /// that grows with each failure.
    pub fn wait(&mut self) -> Result<Arc<Config>, StoreError> {
        loop {
            let record = self.records.wait()?;
            if record.revision <= self.config.revision {
                continue;
            }
            // A record is missing before this one, or the store was set back and has gone on from
            // there: the whole document tells.
            let follows = record.previous == self.config.note;
            let next = match self.config.apply(&record.note) {
                Ok(config) if follows => Arc::new(config),
                _ => self.whole(record.revision)?,
            };
            if next.revision > self.config.revision {
                self.config = Arc::clone(&next);
                self.store.brought(next.revision);
                return Ok(next);
            }
        }
    }

    /// Reads the whole document, which is at least as new as `revision`.
    fn whole(&mut self, revision: Revision) -> Result<Arc<Config>, StoreError> {
        let found = self.store.current()?.config;
        self.records.skip_to(found.revision);
        if found.revision < revision {
            let what = format!("revision {} of the configuration is missing", revision.0);
            return Err(StoreError::Invalid(what));
        }
        Ok(found)
    }
}
