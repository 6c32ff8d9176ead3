//! What is read from and kept in a store that loses answers.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use chervilring_core::runs::Speed;
use chervilring_core::runs::runner::{Availability, Report, UpstreamIncarnation, UpstreamRecord};
use chervilring_store::{Pair, StoreError};
use chervilring_wire::Resources;

use super::keeper::Keeper;
use super::operator::follow_operator;
use super::registry::{EvacuationReading, OperatorChange, OperatorReading, Registry, StoreEvent};

/// A store of one key.
#[derive(Default)]
struct Store {
    value: Vec<u8>,
    revision: u64,
    /// Whether the next write gets no answer and is done later.
    delays: bool,
    /// A write that is yet to be done, with the revision that it replaces.
    late: Option<(Vec<u8>, u64)>,
}

impl Store {
    fn write(&mut self, value: &[u8], known: u64) -> Option<u64> {
        if self.revision != known {
            return None;
        }
        self.value = value.to_vec();
        self.revision += 1;
        Some(self.revision)
    }

    fn replace(&mut self, value: &[u8], known: u64) -> Result<Option<u64>, StoreError> {
        if std::mem::take(&mut self.delays) {
            self.late = Some((value.to_vec(), known));
            return Err(StoreError::Lost("no answer".into()));
        }
        Ok(self.write(value, known))
    }

    fn pair(&self) -> Option<Pair> {
        (self.revision > 0).then(|| Pair {
            key: "upstreams/r".into(),
            value: self.value.clone(),
            revision: self.revision,
            lease: 0,
        })
    }

    fn state(&self) -> Availability {
        let record: UpstreamRecord = postcard::from_bytes(&self.value).expect("a record");
        record.report.state
    }
}

fn registry(store: &Arc<Mutex<Store>>) -> Registry {
    let (read, written) = (Arc::clone(store), Arc::clone(store));
    Registry {
        operator: Arc::new(|| Ok(reading(None))),
        changes: Arc::new(|_, _| Ok(OperatorChange::Nothing)),
        evacuations: Arc::new(|| Ok(EvacuationReading::default())),
        evacuation_hint: Arc::new(|| Ok(EvacuationReading::default())),
        get: Arc::new(move |_| Ok(read.lock().unwrap().pair())),
        list: Arc::new(|_| Ok(Vec::new())),
        replace: Arc::new(move |_, value, known| written.lock().unwrap().replace(value, known)),
        put: Arc::new(|_, _, _| Ok(())),
        grant: Arc::new(|_| Ok(1)),
        renew: Arc::new(|_| Ok(true)),
    }
}

fn reading(config: Option<(u64, Pair)>) -> OperatorReading {
    OperatorReading {
        revision: 0,
        config: Ok(config),
        evacuations: Ok(EvacuationReading::default()),
    }
}

fn record(state: Availability) -> UpstreamRecord {
    UpstreamRecord {
        report: Report {
            incarnation: UpstreamIncarnation {
                id: "u".into(),
                started_ms: 1,
                addr: "127.0.0.1:1".parse().unwrap(),
            },
            service: "s".into(),
            domain: "d".into(),
            state,
            capacity: Resources::default(),
            labels: Vec::new(),
            sequence: 1,
            clock: None,
        },
        speed: Speed::default(),
    }
}

#[test]
fn a_write_that_is_done_late_does_not_undo_a_newer_one() {
    let store = Arc::new(Mutex::new(Store::default()));
    let mut keeper = Keeper::new(registry(&store), "r");
    store.lock().unwrap().delays = true;
    assert!(keeper.keep(&record(Availability::Ready)).is_err());
    keeper
        .keep(&record(Availability::Draining))
        .expect("it is written");
    let mut store = store.lock().unwrap();
    let (value, known) = store.late.take().expect("a write is under way");
    store.write(&value, known);
    assert_eq!(store.state(), Availability::Draining);
}

#[test]
fn records_replace_each_other_and_those_of_an_earlier_life() {
    let store = Arc::new(Mutex::new(Store::default()));
    let mut first = Keeper::new(registry(&store), "r");
    first
        .keep(&record(Availability::Ready))
        .expect("it is written");
    first
        .keep(&record(Availability::Ready))
        .expect("it is written");
    let mut next = Keeper::new(registry(&store), "r");
    next.keep(&record(Availability::Left))
        .expect("it is written");
    assert_eq!(store.lock().unwrap().state(), Availability::Left);
}

#[test]
fn reads_that_hang_do_not_hold_up_the_first_configuration() {
    /// How long the store leaves a read without answer, as long as such calls are waited for.
    const HANG: Duration = Duration::from_secs(5);
    let store = Arc::new(Mutex::new(Store::default()));
    let calls = AtomicU32::new(0);
    let operator = move || {
        if calls.fetch_add(1, Ordering::Relaxed) < 3 {
            thread::sleep(HANG);
            return Err(StoreError::Lost("no answer".into()));
        }
        let pair = Pair {
            key: "config".into(),
            value: b"routes".to_vec(),
            revision: 1,
            lease: 0,
        };
        Ok(reading(Some((1, pair))))
    };
    let registry = Registry {
        operator: Arc::new(operator),
        ..registry(&store)
    };
    let (tell, told) = mpsc::channel();
    let begin = Instant::now();
    follow_operator(registry, move |event| {
        if matches!(event, StoreEvent::Config(_)) {
            tell.send(()).expect("the test waits");
        }
    });
    told.recv_timeout(HANG).expect("a configuration");
    assert!(
        begin.elapsed() < HANG,
        "it was waited for a read that hangs"
    );
}
