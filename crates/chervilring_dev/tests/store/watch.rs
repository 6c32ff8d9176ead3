//! Watches: every newer configuration, none older, through outages and forgotten changes.

use std::sync::Arc;
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use chervilring_core::config::Config;
use chervilring_dev::platform::{Down, Faults, Platform};
use chervilring_store::{ConfigStore, ConfigWatch, RingStore};
use chervilring_wire::{Revision, Timestamp};

use crate::common::{adding, builder, config_store, entry, platform};

/// The longest that a configuration may take to come in.
const BOUND: Duration = Duration::from_secs(20);

fn submit(platform: &Platform, base: u64) {
    let note = adding(&format!("n{base}"), base, &format!("s{base}"));
    config_store(platform)
        .submit(&note, &"op".into(), Timestamp(1))
        .unwrap();
}

/// A watch on a thread of its own, so that waiting for it is bounded.
struct Watching(Receiver<Arc<Config>>);

impl Watching {
    fn start(mut watch: ConfigWatch) -> Self {
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            loop {
                // A failure of the store is waited out.
                let Ok(config) = watch.wait() else { continue };
                if sender.send(config).is_err() {
                    return;
                }
            }
        });
        Self(receiver)
    }

    fn next(&self) -> Arc<Config> {
        let config = self.0.recv_timeout(BOUND);
        config.expect("a newer configuration in time")
    }
}

fn watch(platform: &Platform) -> Watching {
    Watching::start(config_store(platform).watch(Arc::new(Config::empty())))
}

#[test]
fn each_note_comes_in_order_and_makes_the_document() {
    let platform = platform(Faults::default());
    let watch = watch(&platform);
    submit(&platform, 0);
    submit(&platform, 1);
    assert_eq!(watch.next().revision, Revision(1));
    submit(&platform, 2);
    assert_eq!(watch.next().revision, Revision(2));
    let config = watch.next();
    assert_eq!(config, config_store(&platform).current().unwrap().config);
}

#[test]
fn change_costs_one_read_and_one_write_however_many_watch() {
    let platform = platform(Faults::default());
    let watches = [watch(&platform), watch(&platform), watch(&platform)];
    submit(&platform, 0);
    for watch in &watches {
        assert_eq!(watch.next().revision, Revision(1));
    }
    let before = platform.counts();
    submit(&platform, 1);
    for watch in &watches {
        assert_eq!(watch.next().revision, Revision(2));
    }
    let after = platform.counts();
    assert_eq!(after.total() - before.total(), 2);
    assert_eq!(after.txn_read - before.txn_read, 1);
    assert_eq!(after.txn_write - before.txn_write, 1);
}

#[test]
fn outage_and_forgotten_changes_leave_no_gap() {
    let platform = platform(Faults::default());
    let watch = watch(&platform);
    submit(&platform, 0);
    assert_eq!(watch.next().revision, Revision(1));
    platform.set_faults(Faults {
        down: Down::Refuse,
        ..Faults::default()
    });
    // The watch has ended, and the one after it fails, before the store is back.
    let begun = Instant::now();
    while platform.counts().failed == 0 {
        assert!(begun.elapsed() < BOUND);
        thread::yield_now();
    }
    platform.set_faults(Faults::default());
    submit(&platform, 1);
    submit(&platform, 2);
    platform.compact();
    assert_eq!(watch.next().revision, Revision(2));
    assert_eq!(watch.next().revision, Revision(3));
}

#[test]
fn watch_that_stays_silent_is_set_up_anew() {
    let platform = platform(Faults::default());
    let settings = builder(&platform).idle(Duration::from_millis(100)).build();
    let watch = ConfigStore::new(&settings).watch(Arc::new(Config::empty()));
    let watch = Watching::start(watch);
    submit(&platform, 0);
    assert_eq!(watch.next().revision, Revision(1));
    // A hanging store lets the watch wait without a word, as a connection that died unseen does.
    platform.set_faults(Faults {
        down: Down::Hang,
        ..Faults::default()
    });
    let (begun, before) = (Instant::now(), platform.counts());
    while platform.counts().range == before.range {
        assert!(begun.elapsed() < BOUND, "the watch still waits");
        thread::yield_now();
    }
    platform.set_faults(Faults::default());
    submit(&platform, 1);
    assert_eq!(watch.next().revision, Revision(2));
}

#[test]
fn renewals_tell_of_what_a_dead_watch_does_not() {
    let platform = platform(Faults {
        mute: true,
        ..Faults::default()
    });
    let store = config_store(&platform);
    let mut ring = RingStore::new(&builder(&platform).build(), entry("one", 1), 5);
    let mut catch_up = store.catch_up();
    let watch = Watching::start(store.watch(Arc::new(Config::empty())));
    let begun = Instant::now();
    while platform.counts().watch == 0 {
        assert!(begun.elapsed() < BOUND);
        thread::yield_now();
    }
    submit(&platform, 0);
    let mut brought = || catch_up.saw(ring.renew().unwrap().head).unwrap();
    assert_eq!(brought(), None, "the watch is given time");
    assert_eq!(brought().unwrap().revision, Revision(1));
    assert_eq!(brought(), None, "once is enough");

    platform.set_faults(Faults::default());
    assert_eq!(watch.next().revision, Revision(1));
    submit(&platform, 1);
    assert_eq!(watch.next().revision, Revision(2));
    let reads = platform.counts().range;
    assert_eq!((brought(), brought()), (None, None));
    assert_eq!(
        platform.counts().range,
        reads + 2,
        "nothing but the renewals"
    );
}

#[test]
fn configuration_ahead_of_the_store_is_kept() {
    let platform = platform(Faults::default());
    let store = config_store(&platform);
    let ahead = Config {
        revision: Revision(2),
        ..Config::empty()
    };
    let watch = Watching::start(store.watch(Arc::new(ahead)));
    submit(&platform, 0);
    submit(&platform, 1);
    submit(&platform, 2);
    let config = watch.next();
    assert_eq!(config.revision, Revision(3));
    assert_eq!(
        config,
        store.current().unwrap().config,
        "not made of what was ahead"
    );
}
