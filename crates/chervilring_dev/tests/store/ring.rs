//! Leases and the ring.

use std::time::Duration;

use chervilring_dev::platform::Faults;
use chervilring_store::{RingStore, StoreError, StoreSettings};
use chervilring_wire::{Ring, RingVersion, Verdict};

use crate::common::{TIMEOUT, adding, builder, config_store, entry, platform};

const LEASE_SECS: u64 = 5;

fn ring(version: u64) -> Ring {
    Ring {
        version: RingVersion(version),
        ..Ring::default()
    }
}

#[test]
fn renewal_sees_ring_entries_and_head() {
    let platform = platform(Faults::default());
    let settings = builder(&platform).build();
    let mut one = RingStore::new(&settings, entry("one", 1), LEASE_SECS);
    let mut two = RingStore::new(&settings, entry("two", 1), LEASE_SECS);
    let first = one.renew().unwrap();
    assert!(first.kept && first.ring.is_none());
    assert!(two.renew().unwrap().kept);
    assert!(one.cas_ring(0, &ring(1)).unwrap().done);
    let note = adding("n1", 0, "search");
    config_store(&platform)
        .submit(&note, &"op".into(), chervilring_wire::Timestamp(1))
        .unwrap();

    let seen = two.renew().unwrap();
    assert_eq!(seen.live, [entry("one", 1), entry("two", 1)]);
    assert_eq!(seen.ring.unwrap().1, ring(1));
    assert_eq!(seen.head.0, 1);
}

#[test]
fn renewal_at_rest_is_two_calls() {
    let platform = platform(Faults::default());
    let mut one = RingStore::new(&builder(&platform).build(), entry("one", 1), LEASE_SECS);
    one.renew().unwrap();
    let before = platform.counts();
    for _ in 0..10 {
        assert!(one.renew().unwrap().kept);
    }
    let after = platform.counts();
    assert_eq!(after.lease_keepalive - before.lease_keepalive, 10);
    assert_eq!(after.range - before.range, 10);
    assert_eq!(after.total() - before.total(), 20);
}

#[test]
fn lapsed_lease_is_gone_for_others_and_taken_out_anew() {
    let platform = platform(Faults::default());
    let settings = builder(&platform).build();
    let mut one = RingStore::new(&settings, entry("one", 1), LEASE_SECS);
    let mut two = RingStore::new(&settings, entry("two", 1), LEASE_SECS);
    one.renew().unwrap();
    platform.advance(Duration::from_secs(LEASE_SECS));
    assert_eq!(two.renew().unwrap().live, [entry("two", 1)]);
    let again = one.renew().unwrap();
    assert!(again.kept);
    assert_eq!(again.live, [entry("one", 1), entry("two", 1)]);
}

#[test]
fn newer_life_takes_the_key_and_the_older_one_is_told() {
    let platform = platform(Faults::default());
    let settings = builder(&platform).build();
    let mut old = RingStore::new(&settings, entry("one", 1), LEASE_SECS);
    let mut new = RingStore::new(&settings, entry("one", 2), LEASE_SECS);
    old.renew().unwrap();
    assert!(new.renew().unwrap().kept);
    let seen = old.renew().unwrap();
    assert!(!seen.kept);
    assert_eq!(seen.live, [entry("one", 2)]);
    // That the old life gives its lease back does not harm the new one.
    old.release().unwrap();
    assert!(new.renew().unwrap().kept);
}

#[test]
fn key_is_put_under_the_lease_that_is_renewed() {
    let platform = platform(Faults::default());
    let settings = builder(&platform).build();
    let mut first = RingStore::new(&settings, entry("one", 1), LEASE_SECS);
    first.renew().unwrap();
    // The same life begins with a lease of its own and never renews the one before.
    let mut again = RingStore::new(&settings, entry("one", 1), LEASE_SECS);
    for _ in 0..3 {
        assert!(again.renew().unwrap().kept);
        platform.advance(Duration::from_secs(LEASE_SECS - 1));
        let mut other = RingStore::new(&settings, entry("two", 1), LEASE_SECS);
        let seen = other.renew().unwrap().live;
        assert_eq!(seen, [entry("one", 1), entry("two", 1)]);
    }
}

#[test]
fn released_entry_is_gone_at_once() {
    let platform = platform(Faults::default());
    let settings = builder(&platform).build();
    let mut one = RingStore::new(&settings, entry("one", 1), LEASE_SECS);
    let mut two = RingStore::new(&settings, entry("two", 1), LEASE_SECS);
    one.renew().unwrap();
    one.release().unwrap();
    assert_eq!(two.renew().unwrap().live, [entry("two", 1)]);
}

#[test]
fn ring_is_written_on_its_base_only() {
    let platform = platform(Faults::default());
    let one = RingStore::new(&builder(&platform).build(), entry("one", 1), LEASE_SECS);
    let base = one.cas_ring(0, &ring(1)).unwrap().ring.unwrap().0;
    assert!(one.cas_ring(base, &ring(2)).unwrap().done);
    let late = one.cas_ring(base, &ring(3)).unwrap();
    assert!(!late.done);
    assert_eq!(late.ring.unwrap().1, ring(2));
}

#[test]
fn lost_answer_may_have_taken_effect_and_a_refusal_has_not() {
    let platform = platform(Faults::default());
    let one = RingStore::new(&builder(&platform).build(), entry("one", 1), LEASE_SECS);
    platform.set_faults(Faults {
        lose_next: 1,
        ..Faults::default()
    });
    let lost = one.cas_ring(0, &ring(1)).unwrap_err();
    assert_eq!(lost.verdict(), Verdict::MayHaveRun);
    let again = one.cas_ring(0, &ring(1)).unwrap();
    assert!(!again.done, "the lost write took effect");

    platform.set_faults(Faults {
        writes_per_s: Some(0),
        ..Faults::default()
    });
    let base = again.ring.unwrap().0;
    let refused = one.cas_ring(base, &ring(2)).unwrap_err();
    assert!(matches!(refused, StoreError::Refused { status: 429, .. }));
    assert_eq!(refused.verdict(), Verdict::NotRun);
    platform.set_faults(Faults::default());
    assert!(one.cas_ring(base, &ring(2)).unwrap().done);
}

#[test]
fn calls_go_on_to_another_endpoint() {
    let platform = platform(Faults::default());
    let free = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let urls = format!("http://{free},{}", platform.url());
    let settings = StoreSettings::builder(&urls)
        .unwrap()
        .timeout(TIMEOUT)
        .build();
    let mut one = RingStore::new(&settings, entry("one", 1), LEASE_SECS);
    assert!(one.renew().unwrap().kept);
    assert!(one.cas_ring(0, &ring(1)).unwrap().done);

    let settings = StoreSettings::builder(&format!("http://{free}"))
        .unwrap()
        .build();
    let alone = RingStore::new(&settings, entry("one", 1), LEASE_SECS);
    let unsent = alone.cas_ring(0, &ring(1)).unwrap_err();
    assert!(matches!(unsent, StoreError::NotSent(_)), "{unsent}");
}
