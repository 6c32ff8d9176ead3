//! The store, for the commands that read or change the configuration.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chervilring_daemon::settings::Source;
use chervilring_store::{ConfigStore, StoreError, StoreSettings};
use chervilring_wire::{Name, Timestamp, Verdict};

use crate::exit::{ExitStatus, Failed};

/// Opens the store named by flags or the environment; nothing is sent yet.
pub(super) fn open(
    urls: Option<&str>,
    prefix: Option<&str>,
    settle: Option<u64>,
) -> eyre::Result<ConfigStore> {
    let source = Source::from_env()
        .flag("store", urls.map(str::to_owned))
        .flag("prefix", prefix.map(str::to_owned));
    let urls = source.get("store")?.ok_or_else(|| {
        Failed::usage(
            "no store is named; give --store or CHERVILRING_STORE, such as http://10.1.0.1:2379",
        )
    })?;
    let mut builder = StoreSettings::builder(urls).map_err(Failed::usage)?;
    if let Some(prefix) = source.get("prefix")? {
        builder = builder.prefix(prefix);
    }
    if let Some(secs) = settle {
        builder = builder.settle(Duration::from_secs(secs));
    }
    Ok(ConfigStore::new(&builder.build()))
}

/// Returns who submits: the flag, `CHERVILRING_WHO` or the name of the user.
pub(super) fn who(flag: Option<&str>) -> eyre::Result<Name> {
    let source = Source::from_env().flag("who", flag.map(str::to_owned));
    let given = source.get("who")?.map(str::to_owned);
    let who = given.or_else(|| std::env::var("USER").ok());
    let who = who.filter(|who| !who.trim().is_empty());
    let missing = "nobody is named for the audit trail; give --who or CHERVILRING_WHO";
    Ok(who.ok_or_else(|| Failed::usage(missing))?.into())
}

/// Returns the time of the wall clock.
pub(super) fn now() -> Timestamp {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Timestamp(since.map_or(0, |span| span.as_millis() as u64))
}

/// Returns the failure of a call that reads.
pub(super) fn read_failed(error: &StoreError) -> Failed {
    Failed::new(read_status(error), error.to_string())
}

/// Returns the exit status of a call that read, or would have read, without an answer.
pub(super) fn read_status(error: &StoreError) -> ExitStatus {
    match error {
        StoreError::Refused { .. } => ExitStatus::from(Verdict::NotRun),
        StoreError::NotSent(_) | StoreError::Lost(_) => ExitStatus::Unreachable,
        StoreError::Invalid(_) => ExitStatus::Internal,
    }
}
