//! What the tests of the store share.

use std::time::Duration;

use chervilring_core::config::Note;
use chervilring_dev::platform::{Faults, Platform};
use chervilring_store::{ConfigStore, StoreSettings, StoreSettingsBuilder};
use chervilring_wire::{EntryId, Incarnation};

/// The longest that one call may take in these tests.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(5);

pub(crate) fn platform(faults: Faults) -> Platform {
    Platform::start(([127, 0, 0, 1], 0).into(), faults).expect("a free port")
}

pub(crate) fn builder(platform: &Platform) -> StoreSettingsBuilder {
    let builder = StoreSettings::builder(&platform.url()).expect("a valid URL");
    builder.timeout(TIMEOUT)
}

pub(crate) fn config_store(platform: &Platform) -> ConfigStore {
    ConfigStore::new(&builder(platform).build())
}

pub(crate) fn entry(name: &str, incarnation: u64) -> EntryId {
    EntryId {
        name: name.into(),
        incarnation: Incarnation(incarnation),
    }
}

/// Returns a note that adds one service.
pub(crate) fn adding(id: &str, base: u64, service: &str) -> Note {
    let text = format!(
        r#"{{"id": "{id}", "base": {base}, "added": [
            {{"name": "{service}", "rules": {{"idempotent": true, "deadline": "5s"}}}}]}}"#
    );
    Note::parse(&text).expect("a valid note")
}
