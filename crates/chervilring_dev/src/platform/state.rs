//! Calls carried out on what the service holds.

use std::time::Duration;

use serde_json::{Value, json};

use super::clock::Clock;
use super::counts::{CallKind, Counts};
use super::faults::Fates;
use super::kv::{Given, Kv, Step};
use super::messages::{
    GrantRequest, LeaseRequest, RangeRequest, RequestOp, TxnRequest, header, parse, range_response,
    response_op,
};

/// The largest value, in bytes.
const MAX_VALUE: usize = 1 << 20;

/// The most bytes put by one transaction.
const MAX_TXN_BYTES: usize = 3 << 19;

/// The most steps of a transaction.
const MAX_TXN_STEPS: usize = 128;

/// A call that has been read.
#[derive(Debug)]
pub(super) enum Call {
    Range(RangeRequest),
    Txn(TxnRequest),
    Grant(GrantRequest),
    KeepAlive(LeaseRequest),
    Revoke(LeaseRequest),
}

/// An error in the gateway's own terms.
#[derive(Debug, Clone)]
pub(super) struct Refusal {
    pub(super) status: u16,
    pub(super) code: u8,
    pub(super) message: String,
}

impl Refusal {
    pub(super) fn new(status: u16, code: u8, message: &str) -> Self {
        Self {
            status,
            code,
            message: message.into(),
        }
    }

    pub(super) fn body(&self) -> Value {
        json!({ "code": self.code, "message": self.message, "error": self.message })
    }
}

impl Call {
    /// Reads the call to this path.
    pub(super) fn read(path: &str, body: &[u8]) -> Result<Self, Refusal> {
        let call = match path {
            "/v3/kv/range" => parse(body).map(Self::Range),
            "/v3/kv/txn" => parse(body).map(Self::Txn),
            "/v3/lease/grant" => parse(body).map(Self::Grant),
            "/v3/lease/keepalive" => parse(body).map(Self::KeepAlive),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => parse(body).map(Self::Revoke),
            _ => return Err(Refusal::new(404, 5, "Not Found")),
        };
        call.map_err(|e| Refusal::new(400, 3, &e))
    }

    pub(super) fn kind(&self) -> CallKind {
        match self {
            Self::Range(_) => CallKind::Range,
            Self::Txn(txn) => {
                let writes = |ops: &[RequestOp]| ops.iter().any(RequestOp::writes);
                if writes(&txn.success) || writes(&txn.failure) {
                    CallKind::TxnWrite
                } else {
                    CallKind::TxnRead
                }
            }
            Self::Grant(_) => CallKind::LeaseGrant,
            Self::KeepAlive(_) => CallKind::LeaseKeepalive,
            Self::Revoke(_) => CallKind::LeaseRevoke,
        }
    }
}

/// What the stand-in's threads share.
#[derive(Debug)]
pub(super) struct State {
    pub(super) clock: Clock,
    pub(super) kv: Kv,
    pub(super) fates: Fates,
    pub(super) counts: Counts,
    /// Writes that are still to take effect although their callers were told of a failure.
    pub(super) late: u32,
    pub(super) closed: bool,
}

impl State {
    pub(super) fn new() -> Self {
        Self {
            clock: Clock::new(),
            kv: Kv::new(),
            fates: Fates::default(),
            counts: Counts::default(),
            late: 0,
            closed: false,
        }
    }

    /// Puts the clock forward and lets leases lapse.
    pub(super) fn advance(&mut self, span: Duration) {
        self.clock.advance(span);
        self.kv.expire(self.clock.now());
    }

    /// Carries out a call and returns its answer.
    pub(super) fn carry_out(&mut self, call: Call) -> Result<Value, Refusal> {
        let now = self.clock.now();
        self.kv.expire(now);
        match call {
            Call::Range(range) => {
                let found = self.kv.range(&range.into());
                Ok(range_response(self.kv.revision, &found))
            }
            Call::Txn(txn) => self.txn(txn),
            Call::Grant(grant) => {
                let id = self.kv.grant(now, grant.ttl.0);
                let ttl = grant.ttl.0.to_string();
                Ok(json!({ "header": self.header(), "ID": id.to_string(), "TTL": ttl }))
            }
            Call::KeepAlive(lease) => Ok(self.keep_alive(now, lease.id.0)),
            Call::Revoke(lease) => {
                if !self.kv.revoke(lease.id.0) {
                    return Err(Refusal::new(
                        404,
                        5,
                        "etcdserver: requested lease not found",
                    ));
                }
                Ok(json!({ "header": self.header() }))
            }
        }
    }

    fn header(&self) -> Value {
        header(self.kv.revision)
    }

    fn keep_alive(&mut self, now: Duration, id: u64) -> Value {
        let ttl = self.kv.keep_alive(now, id);
        let mut result = json!({ "header": self.header(), "ID": id.to_string() });
        if ttl > 0 {
            result["TTL"] = ttl.to_string().into();
        }
        json!({ "result": result })
    }

    fn txn(&mut self, txn: TxnRequest) -> Result<Value, Refusal> {
        for ops in [&txn.success, &txn.failure] {
            check_size(ops)?;
        }
        let written = |key: &[u8]| self.kv.written(key);
        let mut compares = txn.compare.iter();
        let succeeded = compares.all(|c| written(&c.key.0) == c.mod_revision.0);
        let ops = if succeeded { txn.success } else { txn.failure };
        let steps: Vec<Step> = ops.into_iter().map(Step::from).collect();
        let Some(given) = self.kv.take_steps(steps) else {
            return Err(Refusal::new(
                404,
                5,
                "etcdserver: requested lease not found",
            ));
        };
        let revision = self.kv.revision;
        let response = |given: &Given| response_op(revision, given);
        let mut answer = json!({
            "header": self.header(),
            "responses": given.iter().map(response).collect::<Value>(),
        });
        if succeeded {
            answer["succeeded"] = true.into();
        }
        Ok(answer)
    }
}

fn check_size(ops: &[RequestOp]) -> Result<(), Refusal> {
    if ops.len() > MAX_TXN_STEPS {
        return Err(Refusal::new(
            400,
            3,
            "etcdserver: too many operations in txn request",
        ));
    }
    let largest = ops.iter().map(RequestOp::size).max().unwrap_or(0);
    let whole: usize = ops.iter().map(RequestOp::size).sum();
    if largest > MAX_VALUE || whole > MAX_TXN_BYTES {
        return Err(Refusal::new(400, 3, "etcdserver: request is too large"));
    }
    Ok(())
}
