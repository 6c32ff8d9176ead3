//! The configuration in force at an entry; it only moves forward.

use std::sync::Arc;

use chervilring_wire::{ConfigBlob, Now, Revision};

use super::{Change, Entry, EntryStep};
use crate::config::Config;

/// The document of the configuration in force, as peers get it.
#[derive(Debug, Default)]
pub(super) struct Revisions {
    blob: Option<ConfigBlob>,
}

impl Revisions {
    /// Returns whether a configuration was read from the store or from a peer.
    pub(super) fn is_loaded(&self) -> bool {
        self.blob.is_some()
    }

    /// Returns the document; cheap, for its bytes are shared.
    pub(super) fn blob(&self) -> Option<ConfigBlob> {
        self.blob.clone()
    }

    /// Returns whether a revision is newer than the one in force.
    fn is_news(&self, revision: Revision) -> bool {
        self.blob.as_ref().is_none_or(|b| b.revision < revision)
    }
}

impl Entry {
    /// Puts a configuration into force, unless it is not newer than the one in force.
    pub fn configure(&mut self, now: Now, blob: ConfigBlob) {
        if !self.revisions.is_news(blob.revision) {
            return;
        }
        let read = Config::from_json(&blob.document);
        let Some(config) = read.ok().filter(|c| c.revision == blob.revision) else {
            let change = Change::BadConfig(blob.revision);
            self.steps.push(EntryStep::Change(change));
            return;
        };
        self.config = Arc::new(config);
        self.dispatcher.configure(now.mono, &self.config);
        self.membership.set_revision(blob.revision);
        let change = Change::Revision(blob.revision);
        self.revisions.blob = Some(blob);
        self.steps.push(EntryStep::Change(change));
        self.push_config();
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }
}
