//! The JSON messages of the gateway, seen from its side.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::de::{DeserializeOwned, Error as _};
use serde::{Deserialize, Deserializer};
use serde_json::{Value, json};

use super::kv::{Event, Given, Held, Span, Step};

/// Bytes that come as base64.
#[derive(Debug, Clone, Default)]
pub(super) struct Base64(pub(super) Vec<u8>);

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(D::Error::custom)
    }
}

/// A whole number that comes as text or as a number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Int(pub(super) u64);

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match Value::deserialize(deserializer)? {
            Value::String(text) => text.parse().map(Self).map_err(D::Error::custom),
            Value::Number(n) => n
                .as_u64()
                .map(Self)
                .ok_or_else(|| D::Error::custom("negative")),
            _ => Err(D::Error::custom("not a whole number")),
        }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct RangeRequest {
    key: Base64,
    #[serde(default)]
    range_end: Base64,
    #[serde(default)]
    limit: Int,
}

impl From<RangeRequest> for Span {
    fn from(request: RangeRequest) -> Self {
        Self {
            key: request.key.0,
            end: request.range_end.0,
            limit: request.limit.0 as usize,
        }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct PutRequest {
    key: Base64,
    #[serde(default)]
    value: Base64,
    #[serde(default)]
    lease: Int,
}

/// Compares the revision a key was last written at; other comparisons do not parse.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Compare {
    pub(super) key: Base64,
    #[serde(rename = "target")]
    _target: Target,
    #[serde(default, rename = "result")]
    _result: Outcome,
    #[serde(default)]
    pub(super) mod_revision: Int,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum Target {
    Mod,
}

#[derive(Debug, Deserialize, Default)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum Outcome {
    #[default]
    Equal,
}

#[derive(Debug, Deserialize)]
pub(super) enum RequestOp {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(RangeRequest),
}

impl RequestOp {
    pub(super) fn writes(&self) -> bool {
        !matches!(self, Self::Range(_))
    }

    /// Returns the size of the value that is put, in bytes.
    pub(super) fn size(&self) -> usize {
        match self {
            Self::Put(put) => put.value.0.len(),
            _ => 0,
        }
    }
}

impl From<RequestOp> for Step {
    fn from(op: RequestOp) -> Self {
        match op {
            RequestOp::Range(range) => Self::Range(range.into()),
            RequestOp::Delete(range) => Self::Delete(range.into()),
            RequestOp::Put(put) => Self::Put {
                key: put.key.0,
                value: put.value.0,
                lease: put.lease.0,
            },
        }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct TxnRequest {
    #[serde(default)]
    pub(super) compare: Vec<Compare>,
    #[serde(default)]
    pub(super) success: Vec<RequestOp>,
    #[serde(default)]
    pub(super) failure: Vec<RequestOp>,
}

#[derive(Debug, Deserialize)]
pub(super) struct GrantRequest {
    #[serde(rename = "TTL")]
    pub(super) ttl: Int,
}

#[derive(Debug, Deserialize)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(super) id: Int,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchRequest {
    pub(super) create_request: WatchCreate,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchCreate {
    key: Base64,
    #[serde(default)]
    range_end: Base64,
    #[serde(default)]
    pub(super) start_revision: Int,
}

impl WatchCreate {
    pub(super) fn span(&self) -> Span {
        Span {
            key: self.key.0.clone(),
            end: self.range_end.0.clone(),
            limit: 0,
        }
    }
}

/// Reads a request.
pub(super) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|e| e.to_string())
}

pub(super) fn header(revision: u64) -> Value {
    json!({ "revision": revision.to_string() })
}

pub(super) fn pair(held: &Held) -> Value {
    let mut pair = json!({
        "key": STANDARD.encode(&held.key),
        "mod_revision": held.written.to_string(),
        "value": STANDARD.encode(&held.value),
    });
    if held.lease != 0 {
        pair["lease"] = held.lease.to_string().into();
    }
    pair
}

pub(super) fn range_response(revision: u64, found: &[Held]) -> Value {
    let mut answer = json!({ "header": header(revision) });
    if !found.is_empty() {
        answer["kvs"] = found.iter().map(pair).collect();
        answer["count"] = found.len().to_string().into();
    }
    answer
}

pub(super) fn response_op(revision: u64, given: &Given) -> Value {
    let header = header(revision);
    match given {
        Given::Range(found) => json!({ "response_range": range_response(revision, found) }),
        Given::Put => json!({ "response_put": { "header": header } }),
        Given::Deleted(count) => json!({
            "response_delete_range": { "header": header, "deleted": count.to_string() }
        }),
    }
}

pub(super) fn event(event: &Event) -> Value {
    let mut answer = json!({ "kv": pair(&event.held) });
    if event.deleted {
        answer["type"] = "DELETE".into();
    }
    answer
}
