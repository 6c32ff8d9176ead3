//! Settings of an agent.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};

use chervilring_wire::Name;

use super::common::CommonSettings;
use super::parse::{self, SettingError};
use super::show::show;
use super::source::Source;

/// The settings of an agent, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// What both daemons have.
    pub common: CommonSettings,
    /// Where the upstream and operators reach it over HTTP.
    pub http: SocketAddr,
    /// The UDP socket for announcements.
    pub udp: SocketAddr,
    /// Entries to start from; the ring names the rest.
    pub entries: Vec<SocketAddr>,
    /// Labels of the worker, as `key=value`, for the selectors of services.
    pub labels: Vec<Name>,
}

impl AgentSettings {
    /// Starts to build the settings of an agent.
    pub fn builder(name: &str, domain: &str) -> AgentSettingsBuilder {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        AgentSettingsBuilder {
            settings: Self {
                common: CommonSettings::new(name, domain),
                http: any,
                udp: any,
                entries: Vec::new(),
                labels: Vec::new(),
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
        let mut builder = Self::builder(&common.name, common.domain.as_str());
        let settings = &mut builder.settings;
        settings.common = common;
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
        settings.common.check()?;
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
        self.common.show_first(f)?;
        let mut show = |setting, value: &dyn fmt::Display| show(f, setting, value);
        let entries: Vec<String> = self.entries.iter().map(ToString::to_string).collect();
        show("http", &self.http)?;
        show("udp", &self.udp)?;
        show("entries", &entries.join(","))?;
        show("labels", &self.labels.join(","))?;
        self.common.show_last(f)
    }
}
