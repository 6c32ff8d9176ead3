//! Printing for people or for scripts.

use std::io::{self, Write};
use std::str::FromStr;

use serde::Serialize;

/// How a command prints its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Output {
    /// Text for people.
    #[default]
    Text,
    /// One JSON document.
    Json,
}

impl FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("output {text:?} is not known; allowed: text, json")),
        }
    }
}

/// Prints text on standard output. A reader that has gone away is no error.
pub(crate) fn print(text: &str) {
    print_bytes(text.as_bytes());
}

/// Prints a document as one line of JSON.
pub(crate) fn print_json(document: &impl Serialize) {
    // Documents have text, numbers and lists, which are always written.
    let mut text = serde_json::to_string(document).unwrap_or_default();
    text.push('\n');
    print(&text);
}

/// Prints bytes on standard output as they are.
pub(crate) fn print_bytes(bytes: &[u8]) {
    let mut out = io::stdout().lock();
    // The reader of a pipe may have gone away, which is its good right.
    let _ = out.write_all(bytes).and_then(|()| out.flush());
}
