//! Settings that entries and agents share.

use std::str::FromStr;

use chervilring_wire::{Micros, Name};
use slog::Level;

use super::parse::{self, SettingError};
use super::source::Source;
use crate::log::LogFormat;

const DEFAULT_WINDOW: Micros = Micros::from_secs(600);
const DEFAULT_IDS: u64 = 200_000;
const DEFAULT_STOP: Micros = Micros::from_secs(30);

/// The settings that both daemons have.
#[derive(Debug)]
pub(super) struct CommonSettings {
    pub(super) name: Name,
    pub(super) domain: Name,
    pub(super) window: Micros,
    pub(super) ids: u64,
    pub(super) stop: Micros,
    pub(super) format: LogFormat,
    pub(super) level: Level,
}

impl Default for CommonSettings {
    fn default() -> Self {
        Self {
            name: "".into(),
            domain: "".into(),
            window: DEFAULT_WINDOW,
            ids: DEFAULT_IDS,
            stop: DEFAULT_STOP,
            format: LogFormat::Json,
            level: Level::Info,
        }
    }
}

impl CommonSettings {
    pub(super) fn read(source: &Source) -> Result<Self, SettingError> {
        let Some(name) = source.get("name")? else {
            let allowed = "a name that no other process of the same kind has";
            return Err(SettingError::missing("name", allowed));
        };
        let Some(domain) = source.get("domain")? else {
            let allowed = "the failure domain that this process stands in";
            return Err(SettingError::missing("domain", allowed));
        };
        let mut common = Self {
            name: parse::name("name", name)?,
            domain: parse::name("domain", domain)?,
            ..Self::default()
        };
        let (second, hour) = (Micros::from_secs(1), Micros::from_secs(3_600));
        if let Some(text) = source.get("window")? {
            common.window = parse::span("window", text, second, hour)?;
        }
        if let Some(text) = source.get("stop")? {
            common.stop = parse::span("stop", text, second, hour)?;
        }
        read_number(source, "ids", 1_000, 100_000_000, &mut common.ids)?;
        if let Some(text) = source.get("log-format")? {
            let error = || SettingError::new("log-format", text, "json or terminal");
            common.format = text.parse().map_err(|()| error())?;
        }
        if let Some(text) = source.get("log-level")? {
            let allowed = "critical, error, warning, info, debug or trace";
            let error = || SettingError::new("log-level", text, allowed);
            common.level = Level::from_str(text).map_err(|()| error())?;
        }
        Ok(common)
    }
}

/// Overwrites `field` with a whole number, if the setting is given.
pub(super) fn read_number(
    source: &Source,
    setting: &'static str,
    least: u64,
    most: u64,
    field: &mut u64,
) -> Result<(), SettingError> {
    if let Some(text) = source.get(setting)? {
        *field = parse::number(setting, text, least, most)?;
    }
    Ok(())
}
