//! Keys, leases and the history of changes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Changes kept for watches.
const KEPT_EVENTS: usize = 20_000;

/// A key's value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Held {
    pub(super) key: Vec<u8>,
    pub(super) value: Vec<u8>,
    pub(super) written: u64,
    pub(super) lease: u64,
}

/// A change of one key.
#[derive(Debug, Clone)]
pub(super) struct Event {
    pub(super) held: Held,
    pub(super) deleted: bool,
}

/// From a key up to another; a single key when `end` is empty.
#[derive(Debug, Clone)]
pub(super) struct Span {
    pub(super) key: Vec<u8>,
    pub(super) end: Vec<u8>,
    pub(super) limit: usize,
}

impl Span {
    pub(super) fn contains(&self, key: &[u8]) -> bool {
        if self.end.is_empty() {
            return key == self.key;
        }
        // An end of one zero byte stands for all keys from the first on.
        key >= &*self.key && (self.end == [0] || key < &*self.end)
    }
}

/// A step of a transaction.
#[derive(Debug, Clone)]
pub(super) enum Step {
    Range(Span),
    Put {
        key: Vec<u8>,
        value: Vec<u8>,
        lease: u64,
    },
    Delete(Span),
}

/// What a step of a transaction gave.
#[derive(Debug)]
pub(super) enum Given {
    Range(Vec<Held>),
    Put,
    Deleted(usize),
}

/// A lease: how long it lasts and when it lapses.
#[derive(Debug)]
struct Lease {
    span: Duration,
    end: Duration,
}

/// All that the service holds.
#[derive(Debug)]
pub(super) struct Kv {
    pub(super) revision: u64,
    /// Changes up to this revision are forgotten.
    pub(super) compacted: u64,
    keys: BTreeMap<Vec<u8>, Held>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    events: VecDeque<Event>,
}

impl Kv {
    pub(super) fn new() -> Self {
        Self {
            revision: 1,
            compacted: 0,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            events: VecDeque::new(),
        }
    }

    pub(super) fn range(&self, span: &Span) -> Vec<Held> {
        let limit = if span.limit == 0 {
            usize::MAX
        } else {
            span.limit
        };
        let from = self.keys.range(span.key.clone()..);
        let within = from.take_while(|(key, _)| span.contains(key));
        within.take(limit).map(|(_, held)| held.clone()).collect()
    }

    /// Returns the revision at which a key was last written; zero when it is absent.
    pub(super) fn written(&self, key: &[u8]) -> u64 {
        self.keys.get(key).map_or(0, |held| held.written)
    }

    /// Takes the steps, all at one revision; `None` when a lease named in them is unknown.
    pub(super) fn take_steps(&mut self, steps: Vec<Step>) -> Option<Vec<Given>> {
        let known = |step: &Step| match step {
            Step::Put { lease, .. } => *lease == 0 || self.leases.contains_key(lease),
            _ => true,
        };
        if !steps.iter().all(known) {
            return None;
        }
        let next = self.revision + 1;
        let given = steps.into_iter().map(|step| self.step(step, next));
        Some(given.collect())
    }

    fn step(&mut self, step: Step, next: u64) -> Given {
        match step {
            Step::Range(span) => Given::Range(self.range(&span)),
            Step::Put { key, value, lease } => {
                self.put(Held {
                    key,
                    value,
                    written: next,
                    lease,
                });
                Given::Put
            }
            Step::Delete(span) => {
                let found = self.range(&span);
                for held in &found {
                    self.delete(&held.key, next);
                }
                Given::Deleted(found.len())
            }
        }
    }

    fn put(&mut self, held: Held) {
        self.revision = held.written;
        self.keys.insert(held.key.clone(), held.clone());
        self.record(Event {
            held,
            deleted: false,
        });
    }

    fn delete(&mut self, key: &[u8], revision: u64) {
        let Some(mut held) = self.keys.remove(key) else {
            return;
        };
        self.revision = revision;
        held.written = revision;
        held.value.clear();
        self.record(Event {
            held,
            deleted: true,
        });
    }

    fn record(&mut self, event: Event) {
        self.events.push_back(event);
        if self.events.len() > KEPT_EVENTS {
            let gone = self.events.pop_front();
            self.compacted = gone.map_or(self.compacted, |e| e.held.written);
        }
    }

    /// Forgets all changes so far.
    pub(super) fn compact(&mut self) {
        self.compacted = self.revision;
        self.events.clear();
    }

    /// Returns the changes in a span from a revision on.
    pub(super) fn events_from(&self, span: &Span, revision: u64) -> Vec<Event> {
        let start = self.events.partition_point(|e| e.held.written < revision);
        let later = self.events.range(start..);
        later
            .filter(|e| span.contains(&e.held.key))
            .cloned()
            .collect()
    }

    pub(super) fn grant(&mut self, now: Duration, secs: u64) -> u64 {
        let id = self.next_lease;
        self.next_lease += 1;
        let span = Duration::from_secs(secs);
        let end = now + span;
        self.leases.insert(id, Lease { span, end });
        id
    }

    /// Renews a lease and returns its seconds; zero when it has lapsed.
    pub(super) fn keep_alive(&mut self, now: Duration, id: u64) -> u64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.end = now + lease.span;
        lease.span.as_secs()
    }

    /// Ends a lease with its keys and returns whether there was one.
    pub(super) fn revoke(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let under = self.keys.values().filter(|held| held.lease == id);
        let keys: Vec<Vec<u8>> = under.map(|held| held.key.clone()).collect();
        let next = self.revision + 1;
        for key in keys {
            self.delete(&key, next);
        }
        true
    }

    /// Ends the leases that have lapsed.
    pub(super) fn expire(&mut self, now: Duration) {
        let lapsed = self.leases.iter().filter(|(_, lease)| lease.end <= now);
        let lapsed: Vec<u64> = lapsed.map(|(id, _)| *id).collect();
        for id in lapsed {
            self.revoke(id);
        }
    }
}
