//! A stand-in of the platform's store: keys, pages, watches, transactions and leases.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Server};
use crate::json::{Json, quote};

const PAGE: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item, or none where it was removed.
    events: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    /// Planners' addresses are shown with this port, where a proxy stands for the network.
    shown_port: Option<u16>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    server: Server,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start(addr: SocketAddr, shown_port: Option<u16>) -> io::Result<Self> {
        let shared = Shared {
            shown_port,
            ..Shared::default()
        };
        Self::serve(addr, Arc::new(shared))
    }

    fn serve(addr: SocketAddr, shared: Arc<Shared>) -> io::Result<Self> {
        let answering = Arc::clone(&shared);
        let server = Server::start(addr, move |request| Some(answering.answer(&request)))?;
        let addr = server.addr();
        Ok(Self {
            shared,
            server,
            addr,
        })
    }

    /// Serves the same at another address as well, until the old one is left.
    pub fn serve_at(&self, addr: SocketAddr) -> io::Result<Self> {
        Self::serve(addr, Arc::clone(&self.shared))
    }

    /// Ends the service at this address.
    pub fn leave(&self) {
        self.server.end();
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.state.lock().unwrap();
        state.write(key, Some((value.as_bytes().to_vec(), 0)));
        self.shared.changed.notify_all();
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<(Vec<u8>, u64)>) {
        self.revision += 1;
        let revision = self.revision;
        let before = self.items.remove(key);
        let item = value.map(|(value, lease)| Item {
            value,
            revision,
            created: before.map_or(revision, |b| b.created),
            lease,
        });
        if let Some(item) = &item {
            self.items.insert(key.to_owned(), item.clone());
        }
        self.events.push((revision, key.to_owned(), item));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        for id in over {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = self.items.iter().filter(|(_, i)| i.lease == id);
        let keys: Vec<String> = held.map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.write(&key, None);
        }
    }
}

impl Shared {
    fn answer(&self, request: &Request) -> Reply {
        let path = request.path.split('?').next().unwrap_or("").to_owned();
        let body = Json::read(&request.body).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        state.expire();
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/-/kv-key") => {
                let key = request.query("key").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => {
                        let text = self.item(&key, item);
                        let at = state.revision;
                        Reply::json(200, format!("{},\"at\":{at}}}", &text[..text.len() - 1]))
                    }
                    None => Reply::json(404, "{}"),
                }
            }
            ("GET", "/-/kv-range") => {
                let prefix = request.query("prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let rows = state.items.iter();
                let rows = rows.filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let rows: Vec<String> = rows.map(|(k, i)| self.item(k, i)).collect();
                let more = rows.len() > PAGE;
                let rows = rows[..rows.len().min(PAGE)].join(",");
                let at = state.revision;
                Reply::json(200, format!("{{\"items\":[{rows}],\"has_more\":{more},\"at\":{at}}}"))
            }
            ("GET", "/-/kv-watch") => {
                let prefix = request.query("prefix").unwrap_or_default();
                let number = |n: &str| request.query(n).and_then(|t| t.parse().ok()).unwrap_or(0);
                let (after, wait) = (number("after"), number("wait_ms"));
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let is_new = |e: &&(u64, String, Option<Item>)| {
                        e.0 > after && e.1.starts_with(&prefix)
                    };
                    let rows = state.events.iter().filter(is_new);
                    let rows: Vec<String> = rows.map(|(r, k, i)| self.event(*r, k, i)).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        let (rows, at) = (rows.join(","), state.revision);
                        return Reply::json(200, format!("{{\"events\":[{rows}],\"at\":{at}}}"));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/-/kv-txn") => self.transact(&mut state, &body),
            ("POST", "/-/kv-lease") => {
                let ttl = body.number("ttl_ms").unwrap_or(1_000);
                state.last_lease += 1;
                let id = state.last_lease;
                let span = Duration::from_millis(ttl);
                state.leases.insert(id, (span, Instant::now() + span));
                Reply::json(200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let id = path.rsplit('/').next().and_then(|t| t.parse().ok());
                match id.and_then(|id: u64| state.leases.get_mut(&id)) {
                    Some((span, end)) => {
                        *end = Instant::now() + *span;
                        Reply::json(200, "{}")
                    }
                    None => Reply::json(404, "{}"),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let id = path.rsplit('/').next().and_then(|t| t.parse().ok());
                state.end_lease(id.unwrap_or(0));
                self.changed.notify_all();
                Reply::json(200, "{}")
            }
            _ => Reply::json(404, "{}"),
        }
    }

    fn transact(&self, state: &mut State, body: &Json) -> Reply {
        let revision_of = |state: &State, key: &str| state.items.get(key).map_or(0, |i| i.revision);
        let expected = body.list("expected_revision");
        let is_met = |row: &Json| {
            let key = row.text("key").unwrap_or("");
            revision_of(state, key) == row.number("revision").unwrap_or(0)
        };
        if !expected.iter().all(is_met) {
            let rows = expected.iter().filter_map(|r| {
                let key = r.text("key")?;
                Some(self.item(key, state.items.get(key)?))
            });
            let rows: Vec<String> = rows.collect();
            return Reply::json(412, format!("{{\"items\":[{}]}}", rows.join(",")));
        }
        for row in body.list("write") {
            let lease = row.number("lease").unwrap_or(0);
            if lease != 0 && !state.leases.contains_key(&lease) {
                return Reply::json(404, "{}");
            }
        }
        for row in body.list("write") {
            let key = row.text("key").unwrap_or("").to_owned();
            let value = from_base64(row.text("value").unwrap_or(""));
            state.write(&key, Some((value, row.number("lease").unwrap_or(0))));
        }
        for row in body.list("remove") {
            if let Json::Text(key) = row {
                state.write(key, None);
            }
        }
        self.changed.notify_all();
        Reply::json(200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn shown(&self, key: &str) -> String {
        match (self.shown_port, key.strip_prefix("planners/")) {
            (Some(port), Some(addr)) => match addr.parse::<SocketAddr>() {
                Ok(addr) => format!("planners/{}:{port}", addr.ip()),
                Err(_) => key.to_owned(),
            },
            _ => key.to_owned(),
        }
    }

    fn item(&self, key: &str, item: &Item) -> String {
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            quote(&self.shown(key)),
            to_base64(&item.value),
            item.revision,
            item.created,
            item.lease
        )
    }

    fn event(&self, revision: u64, key: &str, item: &Option<Item>) -> String {
        match item {
            Some(item) => self.item(key, item),
            None => {
                let key = quote(&self.shown(key));
                format!("{{\"key\":{key},\"revision\":{revision},\"deleted\":true}}")
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |place: usize| u32::from(*chunk.get(place).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|d| *d == byte) else {
            continue;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    out
}
