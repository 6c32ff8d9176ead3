//! Settings that entries and agents share.

use std::fmt;
use std::str::FromStr;

use chervilring_wire::{DomainName, Micros, Name};
use slog::Level;

use super::parse::{self, SettingError};
use super::show::{show, span};
use super::source::Source;
use crate::log::LogFormat;

const DEFAULT_WINDOW: Micros = Micros::from_secs(600);
const DEFAULT_IDS: u64 = 200_000;
const DEFAULT_STOP: Micros = Micros::from_secs(30);

/// The settings that both daemons have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommonSettings {
    /// The name, unique among processes of the kind and kept over restarts.
    pub name: Name,
    /// The failure domain that the process stands in.
    pub domain: DomainName,
    /// How long ids are remembered.
    pub window: Micros,
    /// Ids that are remembered at once; at an entry, those without a stamp.
    pub ids: u64,
    /// How long a planned stop waits for work in flight.
    pub stop: Micros,
    /// How log lines are written.
    pub format: LogFormat,
    /// The least severe level that is logged.
    pub level: Level,
}

impl CommonSettings {
    /// Starts from the defaults.
    pub(super) fn new(name: &str, domain: &str) -> Self {
        Self {
            name: name.into(),
            domain: domain.into(),
            window: DEFAULT_WINDOW,
            ids: DEFAULT_IDS,
            stop: DEFAULT_STOP,
            format: LogFormat::Json,
            level: Level::Info,
        }
    }

    /// Checks the names.
    pub(super) fn check(&self) -> Result<(), SettingError> {
        parse::name("name", &self.name)?;
        parse::name("domain", self.domain.as_str())?;
        Ok(())
    }

    /// Writes the names, as the first lines of all settings.
    pub(super) fn show_first(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        show(f, "name", &self.name)?;
        show(f, "domain", &self.domain)
    }

    /// Writes the other settings, as the last lines.
    pub(super) fn show_last(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        show(f, "window", &span(self.window))?;
        show(f, "ids", &self.ids)?;
        show(f, "stop", &span(self.stop))?;
        show(f, "log-format", &self.format)?;
        show(f, "log-level", &self.level.as_str().to_ascii_lowercase())
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
        let mut common = Self::new(name, domain);
        common.check()?;
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
