//! Where the store is and how long it may take.

use std::time::Duration;

/// How long one call may take at one endpoint.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a watch may stay silent before it is set up anew.
const DEFAULT_IDLE: Duration = Duration::from_secs(30);

/// How long a submission goes on to find out whether a write took effect.
const DEFAULT_SETTLE: Duration = Duration::from_secs(20);

/// How many notes the audit trail keeps.
const DEFAULT_KEPT: u64 = 100_000;

/// The prefix of all keys where no other is set.
pub const DEFAULT_PREFIX: &str = "chervilring/";

/// Where the store is and how long it may take.
#[derive(Debug, Clone)]
pub struct StoreSettings {
    pub(crate) endpoints: Vec<String>,
    pub(crate) prefix: String,
    pub(crate) timeout: Duration,
    pub(crate) idle: Duration,
    pub(crate) settle: Duration,
    pub(crate) kept: u64,
}

impl StoreSettings {
    /// Starts the settings for endpoints given as one list of URLs with commas between them.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with a URL and what is allowed.
    pub fn builder(urls: &str) -> Result<StoreSettingsBuilder, String> {
        let parts = urls.split(',').map(str::trim).filter(|u| !u.is_empty());
        let endpoints: Vec<String> = parts.map(endpoint).collect::<Result<_, _>>()?;
        if endpoints.is_empty() {
            return Err("no URL of the store given; allowed: http://host:port, …".into());
        }
        Ok(StoreSettingsBuilder(Self {
            endpoints,
            prefix: DEFAULT_PREFIX.into(),
            timeout: DEFAULT_TIMEOUT,
            idle: DEFAULT_IDLE,
            settle: DEFAULT_SETTLE,
            kept: DEFAULT_KEPT,
        }))
    }
}

fn endpoint(url: &str) -> Result<String, String> {
    let allowed = "allowed: http://host:port";
    let Some(host) = url.strip_prefix("http://") else {
        return Err(format!(
            "URL of the store {url:?} does not start with http://; {allowed}"
        ));
    };
    let host = host.trim_end_matches('/');
    let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '/' | '?' | '#' | '@');
    if host.is_empty() || !host.chars().all(plain) {
        return Err(format!(
            "URL of the store {url:?} has no plain host and port; {allowed}"
        ));
    }
    Ok(format!("http://{host}"))
}

/// Builds [`StoreSettings`].
#[derive(Debug)]
pub struct StoreSettingsBuilder(StoreSettings);

impl StoreSettingsBuilder {
    /// Sets the prefix of all keys, which keeps installations that share a store apart.
    pub fn prefix(mut self, prefix: &str) -> Self {
        self.0.prefix = prefix.into();
        self
    }

    /// Sets how long one call may take at one endpoint.
    pub fn timeout(mut self, span: Duration) -> Self {
        self.0.timeout = span;
        self
    }

    /// Sets how long a watch may stay silent before it is set up anew.
    pub fn idle(mut self, span: Duration) -> Self {
        self.0.idle = span;
        self
    }

    /// Sets how long a submission goes on to find out whether a write took effect.
    pub fn settle(mut self, span: Duration) -> Self {
        self.0.settle = span;
        self
    }

    /// Sets how many notes the audit trail keeps; older records and their ids are given up.
    pub fn kept(mut self, notes: u64) -> Self {
        self.0.kept = notes;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> StoreSettings {
        self.0
    }
}
