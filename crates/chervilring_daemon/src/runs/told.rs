//! What planners and runners are told by threads: of the store, of signals and of their settings.

use std::thread;
use std::time::Duration;

use chervilring_core::runs::EvacuationSource;
use chervilring_wire::{DomainName, Evacuations, Name};
use slog::{Logger, info, warn};

use super::registry::{EvacuationReading, StoreEvent};
use super::settings::Reload;
use crate::net::Inbox;
use crate::signals::{self, Asked};

/// Time between looks at the settings.
const SETTINGS_POLL: Duration = Duration::from_secs(1);

/// The most faults of evacuations that are logged at once.
const MAX_FAULTS: usize = 10;

/// What a thread tells; `T` are the settings of the process.
#[derive(Debug)]
pub(super) enum Told<T> {
    /// Something of the store.
    Store(StoreEvent),
    /// A signal asks for something.
    Asked(Asked),
    /// The settings have changed.
    Settings(T),
    /// The settings have changed and are not usable.
    BadSettings(eyre::Report),
}

/// Starts the threads that tell of signals and settings.
pub(super) fn watch<T: Send + 'static>(
    inbox: &Inbox<Told<T>>,
    mut reload: Reload<T>,
) -> eyre::Result<()> {
    let tell = inbox.clone();
    signals::on_signal(move |asked| tell.push(Told::Asked(asked)))?;
    let tell = inbox.clone();
    let follow = move || {
        loop {
            thread::sleep(SETTINGS_POLL);
            match reload() {
                Ok(None) => {}
                Ok(Some(config)) => tell.push(Told::Settings(config)),
                Err(error) => tell.push(Told::BadSettings(error)),
            }
        }
    };
    let thread = thread::Builder::new().name("settings".into());
    thread.spawn(follow)?;
    Ok(())
}

/// Logs that the store is lost or found again.
pub(super) fn log_store(log: &Logger, error: Option<chervilring_store::StoreError>) {
    match error {
        None => info!(log, "store answers again"),
        Some(error) => warn!(log, "store does not answer"; "error" => %error),
    }
}

/// What was last wrong with the evacuations in the store, which is logged once.
#[derive(Debug, Default)]
pub(super) struct EvacuationFaults(Vec<Name>);

impl EvacuationFaults {
    /// Logs the faults of a reading that the one before did not have.
    pub(super) fn log_new(&mut self, log: &Logger, reading: &EvacuationReading) {
        let is_new = |fault: &&Name| !self.0.contains(fault);
        for fault in reading.faults.iter().filter(is_new).take(MAX_FAULTS) {
            warn!(log, "evacuation not understood"; "fault" => &**fault,
                "revision" => reading.evacuations.revision);
        }
        self.0.clone_from(&reading.faults);
    }
}

/// Logs that other failure domains are evacuated than before.
pub(super) fn log_evacuations(
    log: &Logger,
    evacuations: &Evacuations,
    source: EvacuationSource,
    upstreams: usize,
) {
    let domains: Vec<&str> = evacuations.domains.iter().map(DomainName::as_str).collect();
    let from = match source {
        EvacuationSource::Store => "store",
        EvacuationSource::Peer => "peer",
    };
    info!(log, "evacuated failure domains"; "domains" => domains.join(" "),
        "revision" => evacuations.revision, "from" => from, "upstreams_left_out" => upstreams);
}

/// Logs that settings are not usable.
pub(super) fn log_bad_settings(log: &Logger, error: &eyre::Report) {
    warn!(log, "settings not usable, the last ones stay"; "error" => format!("{error:#}"));
}
