//! Answers in JSON.

use serde::Serialize;
use serde_json::json;

/// Writes a document as JSON. What cannot be written is answered with the reason.
pub(crate) fn write_json(document: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(document).unwrap_or_else(|error| {
        let reason = json!({"error": error.to_string()});
        reason.to_string().into_bytes()
    })
}
