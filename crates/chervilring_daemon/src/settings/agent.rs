//! Settings of an agent.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};

use chervilring_wire::{DomainName, Micros, Name};
use slog::Level;

use super::common::CommonSettings;
use super::parse::{self, SettingError};
use super::show::{show, span};
use super::source::Source;
use crate::log::LogFormat;

/// The settings of an agent, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// The name, unique among agents and kept over restarts.
    pub name: Name,
    /// The failure domain that the agent's worker stands in.
    pub domain: DomainName,
    /// Where the upstream and operators reach it over HTTP.
    pub http: SocketAddr,
    /// The UDP socket for announcements.
    pub udp: SocketAddr,
    /// Entries to start from; the ring names the rest.
    pub entries: Vec<SocketAddr>,
    /// Labels of the worker, as `key=value`, for the selectors of services.
    pub labels: Vec<Name>,
    /// How long started ids are remembered.
    pub window: Micros,
    /// Started ids that are remembered at once.
    pub ids: u64,
    /// How long a planned stop waits for work in flight.
    pub stop: Micros,
    /// How log lines are written.
    pub format: LogFormat,
    /// The least severe level that is logged.
    pub level: Level,
}

impl AgentSettings {
    /// Starts to build the settings of an agent.
    pub fn builder(name: &str, domain: &str) -> AgentSettingsBuilder {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let common = CommonSettings::default();
        AgentSettingsBuilder {
            settings: Self {
                name: name.into(),
                domain: domain.into(),
                http: any,
                udp: any,
                entries: Vec::new(),
                labels: Vec::new(),
                window: common.window,
                ids: common.ids,
                stop: common.stop,
                format: common.format,
                level: common.level,
            },
        }
    }

    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is missing or has a value that is not allowed.
    pub fn read(source: &Source) -> Result<Self, SettingError> {
        let common = CommonSettings::read(source)?;
        let mut builder = Self::builder(&common.name, &common.domain);
        let settings = &mut builder.settings;
        settings.window = common.window;
        settings.ids = common.ids;
        settings.stop = common.stop;
        settings.format = common.format;
        settings.level = common.level;
        if let Some(text) = source.get("http")? {
            settings.http = parse::addr("http", text)?;
            settings.udp = SocketAddr::new(settings.http.ip(), 0);
        }
        if let Some(text) = source.get("udp")? {
            settings.udp = parse::addr("udp", text)?;
        }
        if let Some(text) = source.get("entries")? {
            settings.entries = parse::addrs("entries", text)?;
        }
        if let Some(text) = source.get("labels")? {
            settings.labels = parse::names("labels", text)?;
        }
        builder.build()
    }
}

/// Builds [`AgentSettings`].
#[derive(Debug, Clone)]
pub struct AgentSettingsBuilder {
    settings: AgentSettings,
}

impl AgentSettingsBuilder {
    /// Sets the HTTP address.
    pub fn http(mut self, addr: SocketAddr) -> Self {
        self.settings.http = addr;
        self
    }

    /// Adds the peer address of an entry to start from.
    pub fn entry(mut self, addr: SocketAddr) -> Self {
        self.settings.entries.push(addr);
        self
    }

    /// Adds a label, as `key=value`.
    pub fn label(mut self, label: &str) -> Self {
        self.settings.labels.push(label.into());
        self
    }

    /// Checks the settings against each other and returns them.
    ///
    /// # Errors
    ///
    /// Returns the first setting whose value is not allowed.
    pub fn build(self) -> Result<AgentSettings, SettingError> {
        let settings = self.settings;
        parse::name("name", &settings.name)?;
        parse::name("domain", settings.domain.as_str())?;
        if settings.entries.is_empty() {
            return Err(SettingError::missing(
                "entries",
                "one or more peer addresses of entries, such as 10.1.2.3:4712,10.1.2.4:4712",
            ));
        }
        if let Some(unfit) = settings.entries.iter().find(|e| e.port() == 0) {
            let allowed = "addresses with the port that the entry listens on";
            return Err(SettingError::new("entries", &unfit.to_string(), allowed));
        }
        if let Some(unfit) = settings.labels.iter().find(|l| !l.contains('=')) {
            let allowed = "labels of the form key=value, such as rack=3";
            return Err(SettingError::new("labels", unfit, allowed));
        }
        Ok(settings)
    }
}

impl fmt::Display for AgentSettings {
    /// Writes one line for each setting, as an assignment of its environment variable.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut show = |setting, value: &dyn fmt::Display| show(f, setting, value);
        let entries: Vec<String> = self.entries.iter().map(ToString::to_string).collect();
        show("name", &self.name)?;
        show("domain", &self.domain)?;
        show("http", &self.http)?;
        show("udp", &self.udp)?;
        show("entries", &entries.join(","))?;
        show("labels", &self.labels.join(","))?;
        show("window", &span(self.window))?;
        show("ids", &self.ids)?;
        show("stop", &span(self.stop))?;
        show("log-format", &self.format)?;
        show("log-level", &self.level.as_str().to_ascii_lowercase())
    }
}
