//! The HTTP ports of planners and runners.

use std::net::SocketAddr;

use chervilring_wire::Time;
use eyre::WrapErr;
use stakker::Fwd;
use stakker_mio::MioPoll;

use slog::{Logger, warn};

use crate::metrics::Metrics;
use crate::net::{HttpAnswer, HttpPort, HttpReady, PortLimits};

/// Listens on an address for requests.
///
/// # Errors
///
/// Returns an error that names the address, as when the port is taken.
pub(super) fn listen(
    poll: &MioPoll,
    addr: SocketAddr,
    limits: PortLimits,
    ready: Fwd<HttpReady>,
) -> eyre::Result<HttpPort> {
    let port = HttpPort::bind(poll, addr, limits, ready);
    port.wrap_err_with(|| format!("cannot listen on {addr}"))
}

/// Serves the metrics on a port of their own.
pub(super) fn serve_metrics(port: &mut HttpPort, now: Time, ready: HttpReady, metrics: &Metrics) {
    port.serve(now, ready, |_| metrics_answer(metrics));
}

/// Closes what has stood for too long at a port, and logs what a limit has closed since the last time.
pub(super) fn sweep(port: &mut HttpPort, now: Time, name: &'static str, log: &Logger) {
    port.sweep(now);
    let closed = port.take_shed();
    if closed > 0 {
        warn!(log, "connections closed at a limit"; "port" => name, "connections" => closed);
    }
}

/// Returns the answer to a request for metrics.
pub(super) fn metrics_answer(metrics: &Metrics) -> HttpAnswer {
    HttpAnswer {
        status: 200,
        media: "text/plain; version=0.0.4",
        comeback: None,
        body: metrics.text().into_bytes(),
    }
}
