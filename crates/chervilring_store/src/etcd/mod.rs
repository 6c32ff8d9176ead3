//! The client of the published etcd v3 JSON gateway.

mod http;
mod messages;
mod watch;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::http::StatusCode;

use self::http::{classify, post};
use self::messages::{
    Compare, DeleteRequest, GrantRequest, KeyValue, LeaseRequest, LeaseResponse, PutRequest,
    RangeRequest, RangeResponse, RequestOp, Streamed, TxnRequest, TxnResponse, WatchCreate,
    WatchRequest, encode,
};
pub use self::watch::Watch;
use crate::error::StoreError;
use crate::keys::prefix_end;
use crate::settings::StoreSettings;
use crate::store::{Op, Page, Pair, Txn, TxnAnswer};

/// The longest answer that is read, in bytes.
const MAX_ANSWER: u64 = 64 << 20;

/// Whether a call may be made twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Repeat {
    /// It changes nothing, or nothing that a second call would not.
    Safe,
    /// It may take effect although its answer is lost.
    Unsafe,
}

/// The platform's key-value service.
///
/// Calls go to the endpoint that answered last and on to the others where that is safe.
#[derive(Debug, Clone)]
pub struct Store {
    agent: Agent,
    watcher: Agent,
    endpoints: Arc<[String]>,
    current: Arc<AtomicUsize>,
}

impl Store {
    /// Creates the client; nothing is sent yet.
    pub fn new(settings: &StoreSettings) -> Self {
        let base = || {
            Agent::config_builder()
                .http_status_as_error(false)
                .max_redirects(0)
                .proxy(None)
                .timeout_connect(Some(settings.timeout))
        };
        let calls = base().timeout_global(Some(settings.timeout));
        let watches = base()
            .timeout_recv_response(Some(settings.timeout))
            .timeout_per_read(Some(settings.idle));
        Self {
            agent: calls.build().new_agent(),
            watcher: watches.build().new_agent(),
            endpoints: settings.endpoints.clone().into(),
            current: Arc::default(),
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns an error when no endpoint answers.
    pub fn get(&self, key: &str) -> Result<Option<Pair>, StoreError> {
        let request = RangeRequest {
            key: encode(key),
            ..RangeRequest::default()
        };
        Ok(self.read(&request)?.pairs.pop())
    }

    /// Reads all keys with a prefix, at one revision.
    ///
    /// # Errors
    ///
    /// Returns an error when no endpoint answers.
    pub fn range(&self, prefix: &str) -> Result<Page, StoreError> {
        self.read(&prefixed(prefix))
    }

    /// Reads at most `limit` keys with a prefix, the first being at or after `from`.
    ///
    /// # Errors
    ///
    /// Returns an error when no endpoint answers.
    pub fn range_from(&self, prefix: &str, from: &str, limit: u64) -> Result<Page, StoreError> {
        self.read(&RangeRequest {
            key: encode(from),
            limit,
            ..prefixed(prefix)
        })
    }

    /// Makes a transaction.
    ///
    /// # Errors
    ///
    /// Returns an error when no endpoint answers; its verdict says whether it may have taken
    /// effect.
    pub fn txn(&self, txn: &Txn) -> Result<TxnAnswer, StoreError> {
        let writes = |op: &Op| matches!(op, Op::Put { .. } | Op::Delete(_));
        let repeat = if txn.then.iter().chain(&txn.otherwise).any(writes) {
            Repeat::Unsafe
        } else {
            Repeat::Safe
        };
        let compare = txn.compare.iter().map(|(key, revision)| Compare {
            key: encode(key),
            target: "MOD",
            result: "EQUAL",
            mod_revision: *revision,
        });
        let request = TxnRequest {
            compare: compare.collect(),
            success: txn.then.iter().map(request_op).collect(),
            failure: txn.otherwise.iter().map(request_op).collect(),
        };
        let answer: TxnResponse = self.call("kv/txn", &request, repeat)?;
        let revision = answer.header.revision;
        let ranges = answer
            .responses
            .into_iter()
            .filter_map(|r| r.response_range);
        Ok(TxnAnswer {
            done: answer.succeeded,
            revision,
            pages: ranges
                .map(|r| page(r, revision))
                .collect::<Result<_, _>>()?,
        })
    }

    /// Takes out a lease and returns its id.
    ///
    /// # Errors
    ///
    /// Returns an error when no endpoint answers; a lease whose answer was lost lapses unused.
    pub fn lease_grant(&self, secs: u64) -> Result<u64, StoreError> {
        let request = GrantRequest { ttl: secs };
        let answer: LeaseResponse = self.call("lease/grant", &request, Repeat::Unsafe)?;
        match answer.id {
            0 => Err(StoreError::Invalid("a lease without an id".into())),
            id => Ok(id),
        }
    }

    /// Renews a lease and returns whether it was still alive.
    ///
    /// # Errors
    ///
    /// Returns an error when no endpoint answers; the lease may have been renewed.
    pub fn lease_keepalive(&self, lease: u64) -> Result<bool, StoreError> {
        let request = LeaseRequest { id: lease };
        let answer: Streamed<LeaseResponse> =
            self.call("lease/keepalive", &request, Repeat::Safe)?;
        Ok(answer.result.is_some_and(|lease| lease.ttl > 0))
    }

    /// Gives a lease back; its keys are deleted.
    ///
    /// # Errors
    ///
    /// Returns an error when no endpoint answers; the lease may have been given back.
    pub fn lease_revoke(&self, lease: u64) -> Result<(), StoreError> {
        let request = LeaseRequest { id: lease };
        let answer = self.call::<serde::de::IgnoredAny>("lease/revoke", &request, Repeat::Safe);
        match answer {
            // The lease has lapsed, or an earlier try has taken effect.
            Err(StoreError::Refused { status, .. }) if status == StatusCode::NOT_FOUND => Ok(()),
            other => other.map(|_| ()),
        }
    }

    /// Watches all keys with a prefix for changes after a revision of the store.
    ///
    /// # Errors
    ///
    /// Returns an error when no endpoint answers.
    pub fn watch(&self, prefix: &str, after: u64) -> Result<Watch, StoreError> {
        let request = WatchRequest {
            create_request: WatchCreate {
                key: encode(prefix),
                range_end: encode(prefix_end(prefix)),
                start_revision: after + 1,
            },
        };
        let body = to_json(&request)?;
        let stream = self.each_endpoint(Repeat::Safe, |url| {
            let response = post(&self.watcher, &format!("{url}/v3/watch"), &body)?;
            Ok(response.into_body().into_reader())
        })?;
        Ok(Watch::new(stream))
    }

    fn read(&self, request: &RangeRequest) -> Result<Page, StoreError> {
        let answer: RangeResponse = self.call("kv/range", request, Repeat::Safe)?;
        let revision = answer.header.revision;
        page(answer, revision)
    }

    fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
        repeat: Repeat,
    ) -> Result<T, StoreError> {
        let body = to_json(request)?;
        let answer = self.each_endpoint(repeat, |url| {
            let response = post(&self.agent, &format!("{url}/v3/{path}"), &body)?;
            let body = response.into_body().into_with_config().limit(MAX_ANSWER);
            body.read_to_vec().map_err(|e| classify(&e))
        })?;
        serde_json::from_slice(&answer).map_err(|e| StoreError::Invalid(e.to_string()))
    }

    /// Tries the endpoints in turn, from the one that answered last, while another try is safe.
    fn each_endpoint<T>(
        &self,
        repeat: Repeat,
        attempt: impl Fn(&str) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let first = self.current.load(Ordering::Relaxed);
        let count = self.endpoints.len();
        let mut failure = StoreError::NotSent("no endpoint".into());
        for place in (first..first + count).map(|i| i % count) {
            match attempt(&self.endpoints[place]) {
                Ok(answer) => {
                    self.current.store(place, Ordering::Relaxed);
                    return Ok(answer);
                }
                Err(e @ StoreError::NotSent(_)) => failure = e,
                Err(e @ StoreError::Lost(_)) if repeat == Repeat::Safe => failure = e,
                Err(e) => {
                    self.current.store((place + 1) % count, Ordering::Relaxed);
                    return Err(e);
                }
            }
        }
        Err(failure)
    }
}

fn to_json(request: &impl Serialize) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(request).map_err(|e| StoreError::NotSent(e.to_string()))
}

fn prefixed(prefix: &str) -> RangeRequest {
    RangeRequest {
        key: encode(prefix),
        range_end: encode(prefix_end(prefix)),
        limit: 0,
    }
}

fn request_op(op: &Op) -> RequestOp {
    match op {
        Op::Get(key) => RequestOp::Range(RangeRequest {
            key: encode(key),
            ..RangeRequest::default()
        }),
        Op::Prefix(prefix) => RequestOp::Range(prefixed(prefix)),
        Op::Put { key, value, lease } => RequestOp::Put(PutRequest {
            key: encode(key),
            value: encode(value),
            lease: *lease,
        }),
        Op::Delete(key) => RequestOp::Delete(DeleteRequest { key: encode(key) }),
    }
}

fn page(answer: RangeResponse, revision: u64) -> Result<Page, StoreError> {
    let pairs = answer.kvs.into_iter().map(pair);
    Ok(Page {
        revision,
        pairs: pairs.collect::<Result<_, _>>()?,
    })
}

fn pair(kv: KeyValue) -> Result<Pair, StoreError> {
    let malformed = || StoreError::Invalid("a key or value is not base64".into());
    kv.decode().ok_or_else(malformed)
}
