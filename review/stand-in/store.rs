//! The platform's metadata store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, Server};
use crate::json::{Json, quoted};

/// The most items of a page.
const PAGE_ITEMS: usize = 500;

/// How long a change is told to calls that wait for changes (`history_s`).
const HISTORY: Duration = Duration::from_secs(20);

/// The size of a page, in bytes, from which no further item is added.
const PAGE_BYTES: usize = 1_000_000;

struct Item {
    /// Base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// A change of a key.
struct Change {
    at: Instant,
    revision: u64,
    key: String,
    /// What was written; none if the key was removed.
    written: Option<String>,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    /// The changes of the last time.
    history: Vec<Change>,
    /// The revision of the newest change that is not in the history any more.
    discarded: u64,
    last_lease: u64,
}

/// The state, and what wakes the calls that wait for changes.
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    answer_time: Duration,
}

/// A running store.
pub struct Store {
    shared: Arc<Shared>,
    _server: Server,
}

impl Store {
    /// Starts a store that takes a time for each answer. `link` limits the bytes a second to each
    /// caller.
    pub fn start(addr: SocketAddr, answer_time: Duration, link: Option<u64>) -> io::Result<Self> {
        let state = State {
            revision: 100,
            items: BTreeMap::new(),
            leases: BTreeMap::new(),
            history: Vec::new(),
            discarded: 0,
            last_lease: 0,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            answer_time,
        });
        let own = Arc::clone(&shared);
        let server = Server::start(addr, link, move |request| Some(own.answer(&request)))?;
        Ok(Self {
            shared,
            _server: server,
        })
    }

    /// Writes a key as the operator does; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.lock();
        state.write(key, base64(value.as_bytes()), 0);
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap();
        state.end_leases();
        state
    }

    fn answer(&self, request: &Request) -> Answer {
        std::thread::sleep(self.answer_time);
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/-/kv-key") => self.key(request),
            ("GET", "/-/kv-range") => self.range(request),
            ("GET", "/-/kv-watch") => self.watch(request),
            ("POST", "/-/kv-txn") => self.transaction(request),
            ("POST", "/-/kv-lease") => self.grant(request),
            ("POST", _) if path.starts_with("/-/kv-keep/") => self.renew(path),
            ("DELETE", _) if path.starts_with("/-/kv-lease-end/") => self.end(path),
            _ => Answer::new(404, "{}".into()),
        }
    }

    fn key(&self, request: &Request) -> Answer {
        let state = self.lock();
        let key = request.param("key");
        match state.items.get(key) {
            None => Answer::new(404, format!("{{\"at\":{}}}", state.revision)),
            Some(item) => {
                let body = format!("{},\"at\":{}}}", item.open(key), state.revision);
                Answer::new(200, body)
            }
        }
    }

    fn range(&self, request: &Request) -> Answer {
        let state = self.lock();
        let prefix = request.param("prefix");
        let after = request.param("after");
        let mut rows = state.items.iter();
        let is_wanted = |key: &str| key.starts_with(prefix) && key > after;
        let mut page: Vec<String> = Vec::new();
        let mut size = 0;
        let mut has_more = false;
        for (key, item) in rows.by_ref().filter(|(key, _)| is_wanted(key)) {
            if page.len() >= PAGE_ITEMS || size >= PAGE_BYTES {
                has_more = true;
                break;
            }
            let row = format!("{}}}", item.open(key));
            size += row.len();
            page.push(row);
        }
        let at = state.revision;
        let items = page.join(",");
        let body = format!("{{\"items\":[{items}],\"has_more\":{has_more},\"at\":{at}}}");
        Answer::new(200, body)
    }

    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.param("prefix");
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait: u64 = request.param("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.lock();
        loop {
            state.discard_history();
            if after < state.discarded {
                return Answer::new(410, format!("{{\"at\":{}}}", state.revision));
            }
            let is_news = |row: &&Change| row.revision > after && row.key.starts_with(prefix);
            let events: Vec<String> = state.history.iter().filter(is_news).map(event).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let at = state.revision;
                return Answer::new(200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            let step = left.min(Duration::from_millis(100));
            state = self.changed.wait_timeout(state, step).unwrap().0;
            state.end_leases();
        }
    }

    fn transaction(&self, request: &Request) -> Answer {
        let Some(body) = Json::read(&request.body) else {
            return Answer::new(400, "{}".into());
        };
        let mut state = self.lock();
        let is_stale = |row: &Json| {
            let found = state.items.get(row.text("key")).map_or(0, |i| i.revision);
            row.number("revision") != Some(found)
        };
        if body.list("expected_revision").iter().any(is_stale) {
            return Answer::new(412, "{\"items\":[]}".into());
        }
        let lease_of = |row: &Json| row.number("lease").unwrap_or(0);
        let has_lease =
            |row: &Json| lease_of(row) == 0 || state.leases.contains_key(&lease_of(row));
        if !body.list("write").iter().all(has_lease) {
            return Answer::new(404, "{}".into());
        }
        let is_foreign = |row: &Json| row.text("key").starts_with("op/");
        if body.list("write").iter().any(is_foreign) {
            return Answer::new(403, "{}".into());
        }
        for row in body.list("write") {
            state.write(row.text("key"), row.text("value").to_owned(), lease_of(row));
        }
        for row in body.list("remove") {
            if let Json::Text(key) = row {
                state.remove(key);
            }
        }
        self.changed.notify_all();
        Answer::new(200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, request: &Request) -> Answer {
        let asked = Json::read(&request.body).and_then(|b| b.number("ttl_ms"));
        let span = asked.unwrap_or(0).clamp(1_000, 600_000);
        let ttl = Duration::from_millis(span);
        let mut state = self.lock();
        state.last_lease += 1;
        let id = state.last_lease;
        let ends = Instant::now() + ttl;
        state.leases.insert(id, Lease { ttl, ends });
        Answer::new(200, format!("{{\"lease\":{id},\"ttl_ms\":{span}}}"))
    }

    fn renew(&self, path: &str) -> Answer {
        let mut state = self.lock();
        let Some(lease) = state.leases.get_mut(&last_number(path)) else {
            return Answer::new(404, "{}".into());
        };
        lease.ends = Instant::now() + lease.ttl;
        let span = lease.ttl.as_millis();
        Answer::new(200, format!("{{\"ttl_ms\":{span}}}"))
    }

    fn end(&self, path: &str) -> Answer {
        let mut state = self.lock();
        if let Some(lease) = state.leases.get_mut(&last_number(path)) {
            lease.ends = Instant::now();
        }
        state.end_leases();
        self.changed.notify_all();
        Answer::new(200, "{}".into())
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let item = Item {
            created: self.items.get(key).map_or(revision, |i| i.created),
            value,
            revision,
            lease,
        };
        let row = format!("{}}}", item.open(key));
        self.note(key, Some(row));
        self.items.insert(key.to_owned(), item);
    }

    /// Adds a change at the present revision to the history.
    fn note(&mut self, key: &str, written: Option<String>) {
        self.history.push(Change {
            at: Instant::now(),
            revision: self.revision,
            key: key.to_owned(),
            written,
        });
    }

    fn discard_history(&mut self) {
        let old = self.history.iter().take_while(|c| c.at.elapsed() > HISTORY);
        let count = old.count();
        for change in self.history.drain(..count) {
            self.discarded = change.revision;
        }
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.note(key, None);
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.ends <= now)
            .map(|(&id, _)| id)
            .collect();
        for id in ended {
            self.leases.remove(&id);
            let keys = self.items.iter().filter(|(_, i)| i.lease == id);
            let keys: Vec<String> = keys.map(|(k, _)| k.clone()).collect();
            for key in keys {
                self.remove(&key);
            }
        }
    }
}

impl Item {
    /// Returns the item as JSON without the closing brace.
    fn open(&self, key: &str) -> String {
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}",
            quoted(key),
            self.value,
            self.revision,
            self.created,
            self.lease
        )
    }
}

fn event(change: &Change) -> String {
    change.written.clone().unwrap_or_else(|| {
        let (key, revision) = (quoted(&change.key), change.revision);
        format!("{{\"key\":{key},\"revision\":{revision},\"deleted\":true}}")
    })
}

fn last_number(path: &str) -> u64 {
    let last = path.rsplit('/').next();
    last.and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Encodes bytes as standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let number = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            if place > group.len() {
                out.push('=');
                continue;
            }
            let digit = number >> (18 - 6 * place) & 63;
            out.push(char::from(DIGITS[digit as usize]));
        }
    }
    out
}
