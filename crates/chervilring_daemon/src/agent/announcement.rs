//! The document by which an upstream announces itself.

use std::fmt;

use chervilring_core::agent::UpstreamEvent;
use chervilring_core::config::DurationText;
use chervilring_wire::{Micros, Name, ServiceName};
use serde::Deserialize;
use serde_with::serde_as;
use ureq::http::Uri;

use crate::net::ip_addr;

/// The most slots of an upstream.
const MAX_SLOTS: u32 = 1024;

/// The most services, and the most labels, of an upstream.
const MAX_NAMES: usize = 64;

/// The bytes of all services and labels together: an announcement must fit into a datagram.
const MAX_BYTES: usize = 4096;

/// The longest name of a service or label, in bytes.
const MAX_NAME: usize = 64;

/// The shortest lease.
const MIN_LEASE: Micros = Micros::from_millis(500);

/// The longest lease.
const MAX_LEASE: Micros = Micros::from_secs(60);

/// An announcement as it stands in the document.
#[serde_as]
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    url: String,
    services: Vec<ServiceName>,
    #[serde(default)]
    labels: Vec<Name>,
    #[serde(default = "default_slots")]
    slots: u32,
    #[serde(default = "default_connections")]
    connections: u32,
    #[serde(default = "default_lease")]
    #[serde_as(as = "DurationText")]
    lease: Micros,
}

/// Why an announcement is not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct BadAnnouncement(String);

impl fmt::Display for BadAnnouncement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Reads and checks an announcement.
///
/// # Errors
///
/// Returns an error that names the field, its value and what is allowed.
pub(super) fn parse(body: &[u8]) -> Result<UpstreamEvent, BadAnnouncement> {
    let read = serde_json::from_slice::<Document>(body);
    let document = read.map_err(|e| BadAnnouncement(e.to_string()))?;
    check(&document).map_err(BadAnnouncement)?;
    Ok(UpstreamEvent::Announce {
        url: document.url.trim_end_matches('/').into(),
        services: document.services,
        labels: document.labels,
        slots: document.slots,
        connections: document.connections,
        lease: document.lease,
    })
}

fn check(document: &Document) -> Result<(), String> {
    check_url(&document.url)?;
    let services = document.services.iter().map(ServiceName::as_str);
    check_names("services", services, 1, is_service)?;
    let labels = document.labels.iter().map(|l| &**l);
    check_names("labels", labels, 0, is_label)?;
    let services = document.services.iter().map(|s| s.as_str().len());
    let bytes: usize = services
        .chain(document.labels.iter().map(|l| l.len()))
        .sum();
    if bytes > MAX_BYTES {
        return Err(format!(
            "services, labels: {bytes} bytes in all, allowed are {MAX_BYTES}"
        ));
    }
    check_range("slots", document.slots, MAX_SLOTS)?;
    check_range("connections", document.connections, MAX_SLOTS)?;
    if !(MIN_LEASE..=MAX_LEASE).contains(&document.lease) {
        let lease = document.lease.as_millis();
        return Err(format!("lease: {lease}ms is not between 500ms and 60s"));
    }
    Ok(())
}

fn check_url(url: &str) -> Result<(), String> {
    let parsed = url.parse::<Uri>().ok();
    let good = parsed.is_some_and(|u| {
        u.scheme_str() == Some("http") && ip_addr(&u).is_some() && u.query().is_none()
    });
    if good {
        return Ok(());
    }
    Err(format!(
        "url: \"{url}\" is not like http://127.0.0.1:8080: an IP number, with an optional path"
    ))
}

fn check_names<'a>(
    field: &str,
    names: impl ExactSizeIterator<Item = &'a str>,
    least: usize,
    good: fn(&str) -> bool,
) -> Result<(), String> {
    let count = names.len();
    if !(least..=MAX_NAMES).contains(&count) {
        return Err(format!(
            "{field}: {count} of them, allowed are {least} to {MAX_NAMES}"
        ));
    }
    let mut names = names;
    match names.find(|n| n.len() > MAX_NAME || !good(n)) {
        Some(name) => Err(format!(
            "{field}: \"{name}\" is not a name of at most {MAX_NAME} bytes"
        )),
        None => Ok(()),
    }
}

fn check_range(field: &str, value: u32, most: u32) -> Result<(), String> {
    if (1..=most).contains(&value) {
        return Ok(());
    }
    Err(format!("{field}: {value} is not between 1 and {most}"))
}

/// Returns whether a service's name can stand in a path.
fn is_service(name: &str) -> bool {
    !name.is_empty()
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

/// Returns whether a label is of the form `key=value`.
fn is_label(label: &str) -> bool {
    let parts = label.split_once('=');
    parts.is_some_and(|(key, value)| !key.is_empty() && !value.is_empty())
}

fn default_slots() -> u32 {
    8
}

fn default_connections() -> u32 {
    64
}

fn default_lease() -> Micros {
    Micros::from_secs(3)
}
