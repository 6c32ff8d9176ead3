//! Reading and checking single values.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use chervilring_wire::{Micros, Name};

use super::source::variable_name;

/// The longest name of a process, failure domain or label, in bytes.
const MAX_NAME: usize = 64;

/// A setting with a value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// The name of the setting.
    pub setting: &'static str,
    /// The value it was given; `None` when it was given none.
    pub value: Option<String>,
    /// What is allowed.
    pub allowed: String,
}

impl SettingError {
    /// Creates an error on a value.
    pub fn new(setting: &'static str, value: &str, allowed: impl Into<String>) -> Self {
        Self {
            setting,
            value: Some(value.to_owned()),
            allowed: allowed.into(),
        }
    }

    /// Creates an error on a missing value.
    pub fn missing(setting: &'static str, allowed: impl Into<String>) -> Self {
        Self {
            setting,
            value: None,
            allowed: allowed.into(),
        }
    }
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            setting,
            value,
            allowed,
        } = self;
        let variable = variable_name(setting);
        match value {
            Some(value) => write!(
                f,
                "setting `{setting}` (--{setting} or {variable}) is {value:?}; allowed: {allowed}"
            ),
            None => write!(
                f,
                "setting `{setting}` (--{setting} or {variable}) is missing; give {allowed}"
            ),
        }
    }
}

impl std::error::Error for SettingError {}

/// Checks the name of a process, failure domain or label.
pub(super) fn name(setting: &'static str, text: &str) -> Result<Name, SettingError> {
    let fits = |c: char| c.is_ascii_graphic() && c != ',';
    if text.is_empty() || text.len() > MAX_NAME || !text.chars().all(fits) {
        let allowed = format!("1 to {MAX_NAME} printable ASCII characters, no space, no comma");
        return Err(SettingError::new(setting, text, allowed));
    }
    Ok(text.into())
}

/// Checks a comma-separated list of names.
pub(super) fn names(setting: &'static str, text: &str) -> Result<Vec<Name>, SettingError> {
    let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
    parts.map(|part| name(setting, part)).collect()
}

/// Checks an IP address with a port.
pub(super) fn addr(setting: &'static str, text: &str) -> Result<SocketAddr, SettingError> {
    let allowed = "an IP number with a port, such as 10.1.2.3:4711 or [::1]:4711; port 0 lets the \
                   system choose";
    SocketAddr::from_str(text).map_err(|_| SettingError::new(setting, text, allowed))
}

/// Checks a comma-separated list of addresses.
pub(super) fn addrs(setting: &'static str, text: &str) -> Result<Vec<SocketAddr>, SettingError> {
    let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
    parts.map(|part| addr(setting, part)).collect()
}

/// Checks a comma-separated list of base URLs of plain HTTP.
pub(super) fn urls(setting: &'static str, text: &str) -> Result<Vec<Name>, SettingError> {
    let mut urls = Vec::new();
    for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
        let host = part.strip_prefix("http://").unwrap_or_default();
        if host.is_empty() || host.starts_with('/') || host.contains(char::is_whitespace) {
            let allowed = "comma-separated URLs, such as http://10.1.2.3:2379";
            return Err(SettingError::new(setting, text, allowed));
        }
        urls.push(part.trim_end_matches('/').into());
    }
    Ok(urls)
}

/// Checks a whole number within bounds.
pub(super) fn number(
    setting: &'static str,
    text: &str,
    least: u64,
    most: u64,
) -> Result<u64, SettingError> {
    match text.parse() {
        Ok(number) if (least..=most).contains(&number) => Ok(number),
        _ => {
            let allowed = format!("a whole number from {least} to {most}");
            Err(SettingError::new(setting, text, allowed))
        }
    }
}

/// Checks a span of time within bounds.
pub(super) fn span(
    setting: &'static str,
    text: &str,
    least: Micros,
    most: Micros,
) -> Result<Micros, SettingError> {
    match parse_span(text) {
        Some(span) if (least..=most).contains(&span) => Ok(span),
        _ => {
            let (least, most) = (least.as_millis(), most.as_millis());
            let allowed = format!("a span from {least}ms to {most}ms, such as 250ms or 5s");
            Err(SettingError::new(setting, text, allowed))
        }
    }
}

/// Reads a span of time with its unit: `250ms`, `5s`, `10m` or `1h`.
pub fn parse_span(text: &str) -> Option<Micros> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let (count, unit) = text.split_at(digits);
    let millis = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    let count: u64 = count.parse().ok()?;
    let micros = count.checked_mul(millis)?.checked_mul(1_000)?;
    Some(Micros(micros))
}
