//! Clients of HTTP servers that are named by IP numbers.

use std::net::{IpAddr, SocketAddr};

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};
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
