//! Release notes: accepted once, whole, and never lost.

use chervilring_dev::platform::Faults;
use chervilring_platform::SubmitError;
use chervilring_wire::{Revision, Stamp};

use crate::common::{adding, config_store, platform};

const WHEN: Stamp = Stamp(1);

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
