//! Clients of HTTP servers that are named by IP numbers.

use std::error;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{ConnectionDetails, Connector, DefaultConnector, NextTimeout};
use ureq::{Agent, Error};

/// The port of a URL that names none.
const HTTP_PORT: u16 = 80;

/// Reads the address out of a URL; the library's own resolver starts a thread for each call.
#[derive(Debug)]
struct IpNumbers;

impl Resolver for IpNumbers {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let mut addrs = self.empty();
        addrs.push(ip_addr(uri).ok_or(Error::HostNotFound)?);
        Ok(addrs)
    }
}

/// Returns the address that a URL gives by an IP number.
pub fn ip_addr(uri: &Uri) -> Option<SocketAddr> {
    let host = uri.host()?.trim_start_matches('[').trim_end_matches(']');
    let ip: IpAddr = host.parse().ok()?;
    Some(SocketAddr::new(ip, uri.port_u16().unwrap_or(HTTP_PORT)))
}

/// Creates a client that calls servers at IP numbers only.
pub fn ip_client(config: Config) -> Agent {
    Agent::with_parts(config, DefaultConnector::default(), IpNumbers)
}

/// Says whether a client may open connections. It may not until the gate is opened.
#[derive(Debug, Clone, Default)]
pub struct ConnectGate {
    open: Arc<AtomicBool>,
}

impl ConnectGate {
    /// Lets the client open connections.
    pub fn open(&self) {
        self.open.store(true, Ordering::Relaxed);
    }

    /// Lets the client use only the connections that it has.
    pub fn close(&self) {
        self.open.store(false, Ordering::Relaxed);
    }

    /// Returns whether a call failed because it would have needed another connection. Nothing was sent
    /// then.
    pub fn has_refused(error: &Error) -> bool {
        matches!(error, Error::Other(e) if e.is::<GateClosed>())
    }
}

/// A connection was needed while the gate was closed.
#[derive(Debug)]
struct GateClosed;

impl fmt::Display for GateClosed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no connection is open, and none may be opened")
    }
}

impl error::Error for GateClosed {}

/// Opens connections as far as a gate lets it.
#[derive(Debug)]
struct GatedConnector {
    gate: ConnectGate,
    connector: DefaultConnector,
}

impl Connector<()> for GatedConnector {
    type Out = <DefaultConnector as Connector<()>>::Out;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        if !self.gate.open.load(Ordering::Relaxed) {
            return Err(Error::Other(Box::new(GateClosed)));
        }
        self.connector.connect(details, chained)
    }
}

/// Creates a client as [`ip_client`] does, which opens connections only while its gate is open.
pub fn gated_ip_client(config: Config) -> (Agent, ConnectGate) {
    let gate = ConnectGate::default();
    let connector = GatedConnector {
        gate: gate.clone(),
        connector: DefaultConnector::default(),
    };
    (Agent::with_parts(config, connector, IpNumbers), gate)
}
