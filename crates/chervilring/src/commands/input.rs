//! What several commands read from their callers.

use std::fmt::Write;
use std::fs;
use std::io::{self, Read};
use std::path::Path;

use crate::exit::Failed;

/// Returns the body given as text or in a file; `-` is standard input.
pub(super) fn body(text: Option<String>, file: Option<&Path>) -> Result<Vec<u8>, Failed> {
    match (text, file) {
        (Some(_), Some(_)) => Err(Failed::usage(
            "give the body as text or in a file, not both",
        )),
        (Some(text), None) => Ok(text.into_bytes()),
        (None, Some(file)) => read(file),
        (None, None) => Ok(Vec::new()),
    }
}

/// Reads a file; `-` is standard input.
pub(super) fn read(file: &Path) -> Result<Vec<u8>, Failed> {
    let result = if file == Path::new("-") {
        let mut bytes = Vec::new();
        io::stdin().read_to_end(&mut bytes).map(|_| bytes)
    } else {
        fs::read(file)
    };
    result.map_err(|error| Failed::usage(format!("{} cannot be read: {error}", file.display())))
}

/// Percent-encodes a path segment.
pub(super) fn encode(segment: &str) -> String {
    let mut path = String::with_capacity(segment.len());
    for byte in segment.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            path.push(char::from(byte));
        } else {
            // Writing to a string cannot fail.
            let _ = write!(path, "%{byte:02X}");
        }
    }
    path
}
