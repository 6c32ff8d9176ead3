//! Settings of the daemons, checked.
//!
//! A setting has one name, such as `http`: the flag is `--http`, the environment variable
//! `CHERVILRING_HTTP`. A flag goes before the variable, the variable before the default.

mod agent;
mod common;
mod entry;
mod parse;
mod show;
mod source;

pub use agent::{AgentSettings, AgentSettingsBuilder};
pub use common::CommonSettings;
pub use entry::{EntrySettings, EntrySettingsBuilder};
pub use parse::{SettingError, parse_span};
pub use source::Source;
