//! Release notes: accepted once, whole, and never lost.

use std::time::Duration;

use chervilring_core::config::Note;
use chervilring_dev::platform::Faults;
use chervilring_store::{ConfigStore, SubmitError};
use chervilring_wire::{Revision, Timestamp};

use crate::common::{adding, builder, config_store, platform};

const WHEN: Timestamp = Timestamp(1);

#[test]
fn note_is_accepted_with_its_record_and_a_repetition_is_not_applied() {
    let platform = platform(Faults::default());
    let store = config_store(&platform);
    let note = adding("n1", 0, "search");
    let accepted = store.submit(&note, &"op".into(), WHEN).unwrap();
    assert_eq!((accepted.revision, accepted.repeated), (Revision(1), false));
    let accepted = store.submit(&note, &"op".into(), WHEN).unwrap();
    assert_eq!((accepted.revision, accepted.repeated), (Revision(1), true));

    let config = store.current().unwrap().config;
    assert_eq!((config.revision, &*config.note), (Revision(1), "n1"));
    let records = store.audit(Revision(0)).unwrap();
    assert_eq!(records.len(), 1);
    assert_eq!((&*records[0].who, &records[0].note), ("op", &note));
}

#[test]
fn conflict_names_the_competing_note() {
    let platform = platform(Faults::default());
    let store = config_store(&platform);
    store
        .submit(&adding("n1", 0, "search"), &"ann".into(), WHEN)
        .unwrap();
    let refused = store
        .submit(&adding("n2", 0, "parts"), &"bob".into(), WHEN)
        .unwrap_err();
    let SubmitError::Conflict { competing, .. } = refused else {
        panic!("{refused}");
    };
    assert_eq!((&*competing[0].id, &*competing[0].who), ("n1", "ann"));
}

#[test]
fn id_belongs_to_one_note() {
    let platform = platform(Faults::default());
    let store = config_store(&platform);
    let who = "op".into();
    store
        .submit(&adding("n1", 0, "search"), &who, WHEN)
        .unwrap();
    for other in [adding("n1", 0, "parts"), adding("n1", 1, "parts")] {
        let refused = store.submit(&other, &who, WHEN).unwrap_err();
        assert!(matches!(refused, SubmitError::IdReused { .. }), "{refused}");
    }
}

#[test]
fn note_that_may_still_take_effect_is_not_reported_refused() {
    let platform = platform(Faults {
        late_next: 1,
        late_ms: 500,
        writes_per_s: Some(1),
        ..Faults::default()
    });
    let settings = builder(&platform)
        .settle(Duration::from_millis(200))
        .build();
    let store = ConfigStore::new(&settings);
    let note = adding("n1", 0, "search");
    // The first write may still take effect; those after it are refused for their rate.
    let told = store.submit(&note, &"op".into(), WHEN);
    assert!(
        matches!(told, Ok(_) | Err(SubmitError::Unclear(_))),
        "{told:?}"
    );
    platform.wait_late();
    assert_eq!(
        store.submit(&note, &"op".into(), WHEN).unwrap().revision,
        Revision(1)
    );
}

#[test]
fn note_that_was_never_sent_is_reported_refused() {
    let platform = platform(Faults {
        writes_per_s: Some(0),
        ..Faults::default()
    });
    let store = config_store(&platform);
    let refused = store
        .submit(&adding("n1", 0, "search"), &"op".into(), WHEN)
        .unwrap_err();
    assert!(matches!(refused, SubmitError::Store(_)), "{refused}");
    assert_eq!(store.current().unwrap().config.revision, Revision(0));
}

/// Returns a note of about `bytes` bytes.
fn large(id: &str, base: u64, bytes: usize) -> Note {
    let mut note = adding(id, base, id);
    let label = |i: usize| format!("{}={i}", "k".repeat(60)).into();
    note.added[0].selector.labels = (0..bytes / 68).map(label).collect();
    note
}

#[test]
fn what_the_store_cannot_hold_is_refused_with_its_size() {
    let platform = platform(Faults::default());
    let store = config_store(&platform);
    let who = "op".into();
    let told = store
        .submit(&large("n0", 0, 450_000), &who, WHEN)
        .unwrap_err();
    let SubmitError::TooLarge { what, allowed, .. } = told else {
        panic!("{told}");
    };
    assert_eq!((what, allowed), ("the note's audit record", 400_000));
    // What is just allowed fits one transaction of the store.
    for base in 0..2 {
        let note = large(&format!("n{base}"), base, 380_000);
        store.submit(&note, &who, WHEN).unwrap();
    }
    let told = store
        .submit(&large("n2", 2, 380_000), &who, WHEN)
        .unwrap_err();
    let SubmitError::TooLarge { what, allowed, .. } = told else {
        panic!("{told}");
    };
    assert_eq!((what, allowed), ("the configuration", 1_000_000));
    assert_eq!(store.current().unwrap().config.revision, Revision(2));
}

#[test]
fn audit_trail_keeps_so_many_notes_and_no_more() {
    let platform = platform(Faults::default());
    let store = ConfigStore::new(&builder(&platform).kept(3).build());
    for base in 0..6 {
        let note = adding(&format!("n{base}"), base, &format!("s{base}"));
        store.submit(&note, &"op".into(), WHEN).unwrap();
    }
    let kept = store.audit(Revision(0)).unwrap();
    let revisions: Vec<u64> = kept.iter().map(|r| r.revision.0).collect();
    assert_eq!(revisions, [4, 5, 6]);
    // A note that is no longer known cannot be applied again: its base has passed.
    let told = store
        .submit(&adding("n0", 0, "s0"), &"op".into(), WHEN)
        .unwrap_err();
    assert!(matches!(told, SubmitError::Conflict { .. }), "{told}");
}
