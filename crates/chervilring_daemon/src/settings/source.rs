//! Where the values of settings come from.

use std::collections::BTreeMap;
use std::env;
use std::ffi::OsString;

use super::SettingError;

/// The prefix of the environment variables.
const PREFIX: &str = "CHERVILRING_";

/// The raw values of settings: those given as flags and those of the environment.
#[derive(Debug, Default)]
pub struct Source {
    flags: BTreeMap<&'static str, String>,
    variables: BTreeMap<String, OsString>,
}

impl Source {
    /// Creates a source that reads the environment of this process.
    pub fn from_env() -> Self {
        let ours = |name: OsString| name.into_string().ok().filter(|n| n.starts_with(PREFIX));
        let variables = env::vars_os().filter_map(|(name, value)| Some((ours(name)?, value)));
        Self {
            flags: BTreeMap::new(),
            variables: variables.collect(),
        }
    }

    /// Creates a source without an environment.
    pub fn empty() -> Self {
        Self::default()
    }

    /// Adds the value of a flag; `None` leaves the setting to the environment.
    pub fn flag(mut self, setting: &'static str, value: Option<String>) -> Self {
        if let Some(value) = value {
            self.flags.insert(setting, value);
        }
        self
    }

    /// Adds an environment variable by the name of its setting.
    pub fn variable(mut self, setting: &str, value: &str) -> Self {
        self.variables.insert(variable_name(setting), value.into());
        self
    }

    /// Returns the value of a setting, if it is given anywhere.
    ///
    /// # Errors
    ///
    /// Returns an error when the environment variable is not UTF-8.
    pub fn get(&self, setting: &'static str) -> Result<Option<&str>, SettingError> {
        if let Some(value) = self.flags.get(setting) {
            return Ok(Some(value));
        }
        let Some(value) = self.variables.get(&variable_name(setting)) else {
            return Ok(None);
        };
        let Some(text) = value.to_str() else {
            let value = value.to_string_lossy();
            return Err(SettingError::new(setting, &value, "UTF-8 text"));
        };
        Ok(Some(text))
    }
}

/// Returns the environment variable of a setting.
pub(super) fn variable_name(setting: &str) -> String {
    let upper = setting.to_ascii_uppercase().replace('-', "_");
    format!("{PREFIX}{upper}")
}
