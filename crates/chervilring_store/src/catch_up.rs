//! Finding out that a watch stays behind.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use chervilring_core::config::Config;
use chervilring_wire::Revision;

use crate::config::ConfigStore;
use crate::error::StoreError;

/// Sightings of a newer revision that a watch is given time for.
const SIGHTINGS: u32 = 2;

/// Compares the revision that each renewal of the lease sees with what the watch has brought.
///
/// A watch whose connection died unseen waits for its idle span; the renewals, which go on
/// meanwhile, tell of the newer revision at no further call.
#[derive(Debug)]
pub struct CatchUp {
    store: ConfigStore,
    behind: u32,
}

impl CatchUp {
    pub(crate) fn new(store: ConfigStore) -> Self {
        Self { store, behind: 0 }
    }

    /// Takes note of the newest revision that a renewal saw, and reads the configuration when the
    /// watch has been behind for two of them.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer; the next sighting tries again.
    pub fn saw(&mut self, head: Revision) -> Result<Option<Arc<Config>>, StoreError> {
        if head.0 <= self.store.newest.load(Ordering::Relaxed) {
            self.behind = 0;
            return Ok(None);
        }
        self.behind += 1;
        if self.behind < SIGHTINGS {
            return Ok(None);
        }
        Ok(Some(self.store.current()?.config))
    }
}
