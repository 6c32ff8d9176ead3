//! The endpoints by which faults are set and calls are counted.

use std::time::Duration;

use serde_json::{Value, json};
use tiny_http::Method;

use super::messages::parse;
use super::server::Shared;
use super::state::Refusal;

/// Answers the stand-in's own operators.
pub(super) fn control(
    method: &Method,
    path: &str,
    body: &[u8],
    shared: &Shared,
) -> Result<Value, Refusal> {
    let invalid = |e: String| Refusal::new(400, 3, &e);
    let mut state = shared.lock();
    match (method, path) {
        (Method::Get, "/control/counts") => Ok(json!(state.counts)),
        (Method::Get, "/control/faults") => Ok(json!(state.fates.faults)),
        (Method::Put, "/control/faults") => {
            state.fates.set(parse(body).map_err(invalid)?);
            shared.changed.notify_all();
            Ok(json!(state.fates.faults))
        }
        (Method::Post, "/control/clock") => {
            let Advance { advance_ms } = parse(body).map_err(invalid)?;
            state.advance(Duration::from_millis(advance_ms));
            shared.changed.notify_all();
            Ok(json!({}))
        }
        (Method::Post, "/control/compact") => {
            state.kv.compact();
            shared.changed.notify_all();
            Ok(json!({ "compacted": state.kv.compacted }))
        }
        _ => Err(Refusal::new(404, 5, "Not Found")),
    }
}

/// Puts the clock forward.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Advance {
    advance_ms: u64,
}
