//! Each fault of the stand-in that other tests rely on.

use std::time::{Duration, Instant};

use chervilring_dev::platform::{Down, Faults};
use chervilring_store::{Op, Store, StoreError, StoreSettings, Txn};

use crate::common::{builder, platform};

const SHORT: Duration = Duration::from_millis(200);

fn put(key: &str, base: u64) -> Txn {
    Txn {
        compare: vec![(key.into(), base)],
        then: vec![Op::Put {
            key: key.into(),
            value: b"v".to_vec(),
            lease: 0,
        }],
        otherwise: Vec::new(),
    }
}

#[test]
fn down_refuses_or_hangs_and_comes_back() {
    let platform = platform(Faults::default());
    let store = Store::new(&builder(&platform).timeout(SHORT).build());
    for down in [Down::Refuse, Down::Hang] {
        platform.set_faults(Faults {
            down,
            ..Faults::default()
        });
        let begun = Instant::now();
        assert!(matches!(store.txn(&put("a", 0)), Err(StoreError::Lost(_))));
        assert_eq!(down == Down::Hang, begun.elapsed() >= SHORT);
        platform.set_faults(Faults::default());
        assert_eq!(
            store.get("a").unwrap(),
            None,
            "a call that failed had no effect"
        );
    }
    assert!(store.txn(&put("a", 0)).unwrap().done);
}

#[test]
fn slow_delays_each_call() {
    let platform = platform(Faults {
        slow_ms: 50,
        ..Faults::default()
    });
    let store = Store::new(&builder(&platform).build());
    let begun = Instant::now();
    store.get("a").unwrap();
    assert!(begun.elapsed() >= Duration::from_millis(50));
}

#[test]
fn lost_write_takes_effect_and_late_one_does_so_later() {
    let platform = platform(Faults {
        lose_next: 1,
        ..Faults::default()
    });
    let store = Store::new(&builder(&platform).build());
    assert!(matches!(store.txn(&put("a", 0)), Err(StoreError::Lost(_))));
    assert!(store.get("a").unwrap().is_some());

    platform.set_faults(Faults {
        late_next: 1,
        late_ms: 300,
        ..Faults::default()
    });
    assert!(matches!(store.txn(&put("b", 0)), Err(StoreError::Lost(_))));
    platform.wait_late();
    assert!(store.get("b").unwrap().is_some());
    assert!(!store.txn(&put("b", 0)).unwrap().done);
}

#[test]
fn shares_of_calls_fail_by_the_seed() {
    let platform = platform(Faults::default());
    let store = Store::new(&builder(&platform).build());
    let fails = || {
        platform.set_faults(Faults {
            fail_percent: 30,
            seed: 5,
            ..Faults::default()
        });
        (0..100)
            .map(|_| store.get("a").is_err())
            .collect::<Vec<_>>()
    };
    let first = fails();
    assert_eq!(first, fails());
    let count = first.iter().filter(|failed| **failed).count();
    assert!((10..50).contains(&count), "{count}");
}

#[test]
fn rates_are_limited_apart() {
    let platform = platform(Faults {
        writes_per_s: Some(0),
        reads_per_s: Some(1_000),
        ..Faults::default()
    });
    let store = Store::new(&builder(&platform).build());
    let refused = store.txn(&put("a", 0)).unwrap_err();
    let StoreError::Refused { status, message } = refused else {
        panic!("{refused}");
    };
    assert_eq!((status, &*message), (429, "etcdserver: too many requests"));
    assert!(store.get("a").is_ok());
    assert_eq!(platform.counts().limited, 1);
}

#[test]
fn each_call_is_counted_and_a_waiting_watch_once() {
    let platform = platform(Faults::default());
    let store = Store::new(&builder(&platform).build());
    let mut watch = store.watch("a", 1).unwrap();
    store.txn(&put("a1", 0)).unwrap();
    store.txn(&put("a2", 0)).unwrap();
    let mut seen = 0;
    while seen < 2 {
        let chervilring_store::Changes::Some(changes) = watch.wait().unwrap() else {
            panic!("the watch ended");
        };
        seen += changes.len();
    }
    let lease = store.lease_grant(5).unwrap();
    assert!(store.lease_keepalive(lease).unwrap());
    store.lease_revoke(lease).unwrap();
    store.get("a1").unwrap();
    let counts = platform.counts();
    assert_eq!((counts.watch, counts.txn_write, counts.range), (1, 2, 1));
    let leases = (
        counts.lease_grant,
        counts.lease_keepalive,
        counts.lease_revoke,
    );
    assert_eq!((leases, counts.total()), ((1, 1, 1), 7));
}

#[test]
fn leases_lapse_on_its_clock_with_their_keys() {
    let platform = platform(Faults::default());
    let store = Store::new(&builder(&platform).build());
    let lease = store.lease_grant(5).unwrap();
    let mut txn = put("a", 0);
    txn.then = vec![Op::Put {
        key: "a".into(),
        value: Vec::new(),
        lease,
    }];
    assert!(store.txn(&txn).unwrap().done);
    platform.advance(Duration::from_secs(4));
    assert!(store.lease_keepalive(lease).unwrap());
    platform.advance(Duration::from_secs(4));
    assert!(store.get("a").unwrap().is_some());
    platform.advance(Duration::from_secs(2));
    assert_eq!(store.get("a").unwrap(), None);
    assert!(!store.lease_keepalive(lease).unwrap());
    assert!(store.lease_revoke(lease).is_ok(), "it is gone, as asked");
    let gone = store.txn(&txn).unwrap_err();
    assert!(
        matches!(gone, StoreError::Refused { status: 404, .. }),
        "{gone}"
    );
}

#[test]
fn values_past_a_megabyte_are_refused() {
    let platform = platform(Faults::default());
    let store = Store::new(&builder(&platform).build());
    let mut txn = put("a", 0);
    txn.then = vec![Op::Put {
        key: "a".into(),
        value: vec![0; (1 << 20) + 1],
        lease: 0,
    }];
    let refused = store.txn(&txn).unwrap_err();
    assert!(
        matches!(refused, StoreError::Refused { status: 400, .. }),
        "{refused}"
    );
}

#[test]
fn endpoints_are_checked() {
    for urls in [
        "",
        " , ",
        "localhost:1",
        "https://a:1",
        "http://",
        "http://a:1/path",
    ] {
        assert!(StoreSettings::builder(urls).is_err(), "{urls:?}");
    }
    assert!(StoreSettings::builder("http://a:1, http://b:2/").is_ok());
}

#[test]
fn answers_of_several_segments_do_not_wait_for_acknowledgements() {
    const READS: u32 = 50;
    let platform = platform(Faults::default());
    let store = Store::new(&builder(&platform).build());
    let mut txn = put("a", 0);
    txn.then = vec![Op::Put {
        key: "a".into(),
        value: vec![b'v'; 4_000],
        lease: 0,
    }];
    assert!(store.txn(&txn).unwrap().done);
    let read = |_| {
        let begun = Instant::now();
        assert!(store.get("a").unwrap().is_some());
        begun.elapsed()
    };
    // The fastest of them tells: a loaded machine slows some, a waiting connection slows all.
    let fastest = (0..READS).map(read).min().unwrap();
    assert!(fastest < Duration::from_millis(20), "{fastest:?}");
}
