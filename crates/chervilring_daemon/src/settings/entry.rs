//! Settings of an entry.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};

use chervilring_store::DEFAULT_PREFIX;
use chervilring_wire::{Micros, Name};

use super::common::{self, CommonSettings};
use super::parse::{self, SettingError};
use super::show::{show, span};
use super::source::Source;

const DEFAULT_LEASE: Micros = Micros::from_secs(5);
const DEFAULT_AUTHORITY: Micros = Micros::from_secs(3);
const DEFAULT_SKEW: Micros = Micros::from_secs(2);
const DEFAULT_BODY: u64 = 16 << 20;
const DEFAULT_CALLERS: u64 = 10_000;
const DEFAULT_ANSWERS: u64 = 256 << 20;

/// Body limits above this do not fit into a frame between processes.
const MAX_BODY: u64 = 60 << 20;

/// The settings of an entry, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// What both daemons have.
    pub common: CommonSettings,
    /// Where callers and operators reach it over HTTP.
    pub http: SocketAddr,
    /// Where peers and agents reach it over TCP and UDP.
    pub peer: SocketAddr,
    /// The peer address as others see it, where it differs from `peer`.
    pub advertise: Option<SocketAddr>,
    /// Base URLs of the platform's store.
    pub store: Vec<Name>,
    /// What all keys in the store start with.
    pub prefix: Name,
    /// How long the entry's lease in the store lasts without renewal.
    pub lease: Micros,
    /// How long the entry may start work after its authority was last confirmed.
    pub authority: Micros,
    /// How far wall clocks of callers and entries may differ.
    pub skew: Micros,
    /// Bytes of answers that are kept for callers who come back.
    pub answers: u64,
    /// The longest body of a request or job, in bytes.
    pub body: u64,
    /// Callers that may wait for an answer at once.
    pub callers: u64,
}

impl EntrySettings {
    /// Starts to build the settings of an entry.
    pub fn builder(name: &str, domain: &str) -> EntrySettingsBuilder {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        EntrySettingsBuilder {
            settings: Self {
                common: CommonSettings::new(name, domain),
                http: any,
                peer: any,
                advertise: None,
                store: Vec::new(),
                prefix: DEFAULT_PREFIX.into(),
                lease: DEFAULT_LEASE,
                authority: DEFAULT_AUTHORITY,
                skew: DEFAULT_SKEW,
                answers: DEFAULT_ANSWERS,
                body: DEFAULT_BODY,
                callers: DEFAULT_CALLERS,
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
        }
        if let Some(text) = source.get("peer")? {
            settings.peer = parse::addr("peer", text)?;
        }
        if let Some(text) = source.get("advertise")? {
            settings.advertise = Some(parse::addr("advertise", text)?);
        }
        if let Some(text) = source.get("store")? {
            settings.store = parse::urls("store", text)?;
        }
        if let Some(text) = source.get("prefix")? {
            settings.prefix = parse::name("prefix", text)?;
        }
        read_spans(source, settings)?;
        read_limits(source, settings)?;
        builder.build()
    }
}

/// Builds [`EntrySettings`].
#[derive(Debug, Clone)]
pub struct EntrySettingsBuilder {
    settings: EntrySettings,
}

impl EntrySettingsBuilder {
    /// Sets the HTTP address.
    pub fn http(mut self, addr: SocketAddr) -> Self {
        self.settings.http = addr;
        self
    }

    /// Sets the address for peers and agents.
    pub fn peer(mut self, addr: SocketAddr) -> Self {
        self.settings.peer = addr;
        self
    }

    /// Adds a base URL of the store.
    pub fn store(mut self, url: &str) -> Self {
        self.settings.store.push(url.into());
        self
    }

    /// Sets how long the lease lasts and for how long authority holds.
    pub fn lease(mut self, lease: Micros, authority: Micros) -> Self {
        self.settings.lease = lease;
        self.settings.authority = authority;
        self
    }

    /// Checks the settings against each other and returns them.
    ///
    /// # Errors
    ///
    /// Returns the first setting whose value is not allowed.
    pub fn build(self) -> Result<EntrySettings, SettingError> {
        let settings = self.settings;
        settings.common.check()?;
        if settings.store.is_empty() {
            return Err(SettingError::missing(
                "store",
                "one or more URLs, such as http://10.1.2.3:2379",
            ));
        }
        if settings.authority > settings.lease {
            let value = format!("{}ms", settings.authority.as_millis());
            let allowed = format!(
                "at most the lease, which is {}ms",
                settings.lease.as_millis()
            );
            return Err(SettingError::new("authority", &value, allowed));
        }
        if settings.peer.ip().is_unspecified() && settings.advertise.is_none() {
            return Err(SettingError::missing(
                "advertise",
                "the address at which others reach this entry, since `peer` stands for all \
                 addresses of the host",
            ));
        }
        Ok(settings)
    }
}

fn read_spans(source: &Source, settings: &mut EntrySettings) -> Result<(), SettingError> {
    let (second, minute) = (Micros::from_secs(1), Micros::from_secs(60));
    if let Some(text) = source.get("lease")? {
        settings.lease = parse::span("lease", text, second, minute)?;
    }
    if let Some(text) = source.get("authority")? {
        let least = Micros::from_millis(500);
        settings.authority = parse::span("authority", text, least, minute)?;
    }
    if let Some(text) = source.get("skew")? {
        settings.skew = parse::span("skew", text, Micros(0), minute)?;
    }
    Ok(())
}

fn read_limits(source: &Source, settings: &mut EntrySettings) -> Result<(), SettingError> {
    common::read_number(source, "answers", 1 << 20, 1 << 36, &mut settings.answers)?;
    common::read_number(source, "body", 1 << 10, MAX_BODY, &mut settings.body)?;
    common::read_number(source, "callers", 1, 1_000_000, &mut settings.callers)
}

impl fmt::Display for EntrySettings {
    /// Writes one line for each setting, as an assignment of its environment variable.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.common.show_first(f)?;
        let mut show = |setting, value: &dyn fmt::Display| show(f, setting, value);
        show("http", &self.http)?;
        show("peer", &self.peer)?;
        if let Some(advertise) = &self.advertise {
            show("advertise", advertise)?;
        }
        show("store", &self.store.join(","))?;
        show("prefix", &self.prefix)?;
        show("lease", &span(self.lease))?;
        show("authority", &span(self.authority))?;
        show("skew", &span(self.skew))?;
        show("answers", &self.answers)?;
        show("body", &self.body)?;
        show("callers", &self.callers)?;
        self.common.show_last(f)
    }
}
