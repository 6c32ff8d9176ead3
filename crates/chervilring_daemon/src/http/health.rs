//! What operators and balancers ask any daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tiny_http::Method;

use super::call::{Answer, Call};
use super::problem::Problem;
use crate::metrics::Metrics;

/// The media type of the Prometheus text format.
const METRICS_MEDIA: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Whether a process is ready, and its metrics. Clones share them.
#[derive(Debug, Clone)]
pub struct Health {
    ready: Arc<AtomicBool>,
    metrics: Metrics,
}

impl Health {
    /// Creates the health of a process that is not ready yet.
    pub fn new(metrics: Metrics) -> Self {
        Self {
            ready: Arc::default(),
            metrics,
        }
    }

    /// Sets whether the process takes work.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Returns whether the process takes work.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Answers `/healthz`, `/readyz` and `/metrics`; gives other calls back.
    pub fn handle(&self, call: Call) -> Option<Call> {
        let answer = match call.path() {
            "/healthz" => Answer::new(200, "text/plain", "ok\n"),
            "/readyz" if self.is_ready() => Answer::new(200, "text/plain", "ready\n"),
            "/readyz" => Answer::new(503, "text/plain", "not ready\n"),
            "/metrics" => Answer::new(200, METRICS_MEDIA, self.metrics.text()),
            _ => return Some(call),
        };
        if matches!(call.method(), Method::Get | Method::Head) {
            call.answer(answer);
        } else {
            call.answer(method_not_allowed("GET, HEAD"));
        }
        None
    }
}

/// Returns the answer to a method that a path does not know.
pub(super) fn method_not_allowed(allow: &str) -> Answer {
    Problem::new(405, "method", "The path does not take this method")
        .detail(format!("Methods taken: {allow}"))
        .answer()
        .header("Allow", allow)
}
