//! The JSON messages of the gateway, as far as they are used.
//!
//! Whole numbers are text, keys and values are base64, and what is zero or empty may be missing.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, PickFirst, serde_as};

use crate::store::Pair;

/// Encodes bytes as the gateway takes them.
pub(crate) fn encode(bytes: impl AsRef<[u8]>) -> String {
    STANDARD.encode(bytes)
}

#[derive(Debug, Serialize, Default)]
pub(crate) struct RangeRequest {
    pub(crate) key: String,
    #[serde(skip_serializing_if = "String::is_empty")]
    pub(crate) range_end: String,
    #[serde(skip_serializing_if = "is_zero")]
    pub(crate) limit: u64,
}

#[serde_as]
#[derive(Debug, Serialize)]
pub(crate) struct PutRequest {
    pub(crate) key: String,
    pub(crate) value: String,
    #[serde_as(as = "DisplayFromStr")]
    pub(crate) lease: u64,
}

#[derive(Debug, Serialize)]
pub(crate) struct DeleteRequest {
    pub(crate) key: String,
}

#[serde_as]
#[derive(Debug, Serialize)]
pub(crate) struct Compare {
    pub(crate) key: String,
    pub(crate) target: &'static str,
    pub(crate) result: &'static str,
    #[serde_as(as = "DisplayFromStr")]
    pub(crate) mod_revision: u64,
}

#[derive(Debug, Serialize)]
pub(crate) enum RequestOp {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(DeleteRequest),
}

#[derive(Debug, Serialize)]
pub(crate) struct TxnRequest {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<RequestOp>,
    pub(crate) failure: Vec<RequestOp>,
}

#[serde_as]
#[derive(Debug, Serialize)]
pub(crate) struct GrantRequest {
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub(crate) ttl: u64,
}

#[serde_as]
#[derive(Debug, Serialize)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub(crate) id: u64,
}

#[serde_as]
#[derive(Debug, Serialize)]
pub(crate) struct WatchCreate {
    pub(crate) key: String,
    pub(crate) range_end: String,
    #[serde_as(as = "DisplayFromStr")]
    pub(crate) start_revision: u64,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: WatchCreate,
}

#[serde_as]
#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(crate) struct Header {
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub(crate) revision: u64,
}

#[serde_as]
#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(crate) struct KeyValue {
    key: String,
    value: String,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub(crate) mod_revision: u64,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    lease: u64,
}

impl KeyValue {
    /// Decodes the pair; `None` when it is no base64 or the key is no UTF-8.
    pub(crate) fn decode(self) -> Option<Pair> {
        Some(Pair {
            key: String::from_utf8(STANDARD.decode(self.key).ok()?).ok()?,
            value: STANDARD.decode(self.value).ok()?,
            revision: self.mod_revision,
            lease: self.lease,
        })
    }
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(crate) struct RangeResponse {
    pub(crate) header: Header,
    pub(crate) kvs: Vec<KeyValue>,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(crate) struct ResponseOp {
    pub(crate) response_range: Option<RangeResponse>,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(crate) struct TxnResponse {
    pub(crate) header: Header,
    pub(crate) succeeded: bool,
    pub(crate) responses: Vec<ResponseOp>,
}

#[serde_as]
#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub(crate) id: u64,
    #[serde(rename = "TTL")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub(crate) ttl: i64,
}

/// Each message of a stream is wrapped so.
#[derive(Debug, Deserialize)]
pub(crate) struct Streamed<T> {
    pub(crate) result: Option<T>,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(crate) struct Event {
    #[serde(rename = "type")]
    pub(crate) kind: String,
    pub(crate) kv: KeyValue,
}

#[serde_as]
#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(crate) struct WatchResponse {
    pub(crate) canceled: bool,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub(crate) compact_revision: u64,
    pub(crate) events: Vec<Event>,
}

/// How the gateway words an error.
#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(crate) struct ErrorResponse {
    pub(crate) message: String,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(n: &u64) -> bool {
    *n == 0
}
