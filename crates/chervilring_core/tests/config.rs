//! Tests of release notes: parsing, checks, and the resulting configuration.

use std::collections::BTreeMap;

use chervilring_core::config::{Config, Limits, Note, Quota, Rules, Selector, Service};
use chervilring_wire::{Micros, Name, Revision, ServiceName, TeamName};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SEED: u64 = 4;
const CASES: u64 = 300;

/// Returns a note that adds one service, with one part of its text replaced.
fn note_with(part: &str, replacement: &str) -> String {
    let template = r#"{"id": "n1", "base": 0, "added": [{
        "name": "parts",
        "selector": {"labels": ["gpu=yes"]},
        "limits": {"slots": 8, "queue": 100, "tasks": 50, "body": "1MiB"},
        "rules": {"idempotent": false, "deadline": "2s", "retry_percent": 10, "hedge_percent": 0},
        "quotas": {"andino": {"rate": 100, "burst": 10}}
    }]}"#;
    assert!(template.contains(part), "{part}");
    template.replacen(part, replacement, 1)
}

/// Returns the path and the allowed values of each fault in an invalid note.
fn faults(text: &str) -> Vec<(String, String)> {
    let error = Note::parse(text).expect_err(text);
    error
        .faults
        .into_iter()
        .map(|f| (f.path, f.allowed))
        .collect()
}

#[test]
fn parse_reads_all_fields() {
    let note = Note::parse(&note_with("\"n1\"", "\"n1\"")).unwrap();
    let service = &note.added[0];
    assert_eq!(service.selector.labels, [Name::from("gpu=yes")]);
    assert_eq!(service.limits.body_bytes, 1 << 20);
    assert_eq!(service.rules.deadline, Micros::from_secs(2));
    let quota = Quota {
        rate: 100,
        burst: 10,
    };
    assert_eq!(service.quotas[&TeamName::from("andino")], quota);
}

#[test]
fn example_in_operator_docs_is_valid() {
    let page = include_str!("../../../docs/NOTES.md");
    let (_, rest) = page.split_once("```json\n").expect("an example");
    let (example, _) = rest.split_once("```").expect("its end");
    let note = Note::parse(example).unwrap();
    assert_eq!((note.added.len(), note.withdrawn.len()), (1, 1));
}

#[test]
fn each_fault_has_its_path_and_allowed_values() {
    let duration = "text of a whole number and a unit (us, ms, s, min)";
    let size = "text of a whole number and a unit (B, KiB, MiB)";
    let cases = [
        (
            "\"queue\"",
            "\"queeu\"",
            "added[0].limits.queeu",
            "slots, queue, tasks, body",
        ),
        ("\"name\"", "\"nmae\"", "added[0].name", "1 to 64 of"),
        ("\"n1\"", "\"n 1\"", "id", "1 to 64 of"),
        (
            "\"base\": 0",
            "\"base\": -1",
            "base",
            "the revision the note was written against",
        ),
        ("\"2s\"", "2", "added[0].rules.deadline", duration),
        ("\"2s\"", "\"2\"", "added[0].rules.deadline", duration),
        ("\"2s\"", "\"2m\"", "added[0].rules.deadline", duration),
        ("\"2s\"", "\"2 s\"", "added[0].rules.deadline", duration),
        ("\"2s\"", "\"2MiB\"", "added[0].rules.deadline", duration),
        (
            "\"2s\"",
            "\"18446744073710s\"",
            "added[0].rules.deadline",
            duration,
        ),
        (
            "\"2s\"",
            "\"1us\"",
            "added[0].rules.deadline",
            "1ms to 10min",
        ),
        (
            "\"2s\"",
            "\"11min\"",
            "added[0].rules.deadline",
            "1ms to 10min",
        ),
        ("\"1MiB\"", "\"1s\"", "added[0].limits.body", size),
        (
            "\"1MiB\"",
            "\"17MiB\"",
            "added[0].limits.body",
            "1B to 16MiB",
        ),
        ("\"1MiB\"", "\"0B\"", "added[0].limits.body", "1B to 16MiB"),
        (
            "\"slots\": 8",
            "\"slots\": 0",
            "added[0].limits.slots",
            "1 to 1024",
        ),
        (
            "\"queue\": 100",
            "\"queue\": 0",
            "added[0].limits.queue",
            "1 to 1000000",
        ),
        (
            "\"tasks\": 50",
            "\"tasks\": 101",
            "added[0].limits.tasks",
            "at most `queue`",
        ),
        (
            "\"tasks\": 50",
            "\"tasks\": 1.5",
            "added[0].limits.tasks",
            "a whole number",
        ),
        (
            "false",
            "\"no\"",
            "added[0].rules.idempotent",
            "true or false",
        ),
        (
            "\"idempotent\": false,",
            "",
            "added[0].rules.idempotent",
            "true or false",
        ),
        (
            "\"retry_percent\": 10",
            "\"retry_percent\": 101",
            "added[0].rules.retry_percent",
            "0 to 100",
        ),
        (
            "\"hedge_percent\": 0",
            "\"hedge_percent\": 1",
            "added[0].rules.hedge_percent",
            "0 unless `idempotent` is true",
        ),
        (
            "\"gpu=yes\"",
            "\"gpu\"",
            "added[0].selector.labels[0]",
            "`key=value`",
        ),
        (
            "\"gpu=yes\"",
            "\"a=1\", \"a=2\"",
            "added[0].selector.labels[1]",
            "each key once",
        ),
        ("\"andino\"", "\"\"", "added[0].quotas.", "1 to 64 of"),
        (
            "\"burst\": 10",
            "\"burst\": 0",
            "added[0].quotas.andino.burst",
            "1 to 10000000",
        ),
        (
            "\"burst\": 10",
            "\"burts\": 10",
            "added[0].quotas.andino.burst",
            "a whole number",
        ),
        (
            "\"n1\",",
            "\"n1\", \"withdrawn\": [\"parts\"],",
            "withdrawn[0]",
            "each service once",
        ),
        (
            "\"added\"",
            "\"addde\"",
            "addde",
            "id, base, reason, added, changed, withdrawn",
        ),
    ];
    for (part, replacement, path, allowed) in cases {
        let found = faults(&note_with(part, replacement));
        let is_expected = |(p, a): &(String, String)| p == path && a.starts_with(allowed);
        assert!(
            found.iter().any(is_expected),
            "{replacement} in place of {part}: {found:?}"
        );
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = note_with("\"2s\"", "\"2h\"").replace("\"queue\": 100", "\"queue\": 0");
    let paths: Vec<String> = faults(&text).into_iter().map(|(path, _)| path).collect();
    assert_eq!(paths, ["added[0].rules.deadline"]);
    let text = text.replace("\"2h\"", "\"0s\"");
    let paths: Vec<String> = faults(&text).into_iter().map(|(path, _)| path).collect();
    let queue = "added[0].limits.queue";
    assert_eq!(
        paths,
        [queue, "added[0].limits.tasks", "added[0].rules.deadline"]
    );
}

#[test]
fn duplicate_field_is_reported_with_its_line() {
    let text = note_with("\"n1\",", "\"n1\", \"added\": [],");
    let error = Note::parse(&text).unwrap_err();
    assert_eq!(error.faults.len(), 1);
    assert!(
        error.faults[0]
            .problem
            .contains("duplicate field \"added\" at line 1")
    );
}

#[test]
fn text_that_is_not_a_note_is_rejected() {
    for text in [
        "",
        "[]",
        "{",
        "null",
        "{\"id\": \"n\", \"base\": 0}",
        "\u{0}",
    ] {
        assert!(!faults(text).is_empty());
    }
    let long = format!("{{\"id\": \"{}\"}}", "x".repeat(2 << 20));
    assert_eq!(faults(&long)[0].0, "document");
}

#[test]
fn apply_accepts_or_rejects_the_complete_note() {
    let first = Config::empty()
        .apply(&Note::parse(&note_with("n1", "n1")).unwrap())
        .unwrap();
    assert_eq!((first.revision, &*first.note), (Revision(1), "n1"));
    let added = &first.services[&ServiceName::from("parts")];
    assert_eq!(added.limits.queue, 100);

    let changed = note_with("\"added\"", "\"changed\"").replace("\"base\": 0", "\"base\": 1");
    let second = first
        .apply(&Note::parse(&changed.replace("100,", "60,")).unwrap())
        .unwrap();
    assert_eq!(
        second.services[&ServiceName::from("parts")].limits.queue,
        60
    );

    let path = |config: &Config, text: &str| {
        let error = config.apply(&Note::parse(text).unwrap()).unwrap_err();
        error.faults[0].path.clone()
    };
    assert_eq!(path(&first, &note_with("n1", "n2")), "base");
    assert_eq!(
        path(&first, &note_with("\"base\": 0", "\"base\": 1")),
        "added[0].name"
    );
    assert_eq!(
        path(&Config::empty(), &note_with("added", "changed")),
        "changed[0].name"
    );
    let withdrawn = r#"{"id": "n3", "base": 1, "withdrawn": ["parts", "bays"]}"#;
    assert_eq!(path(&first, withdrawn), "withdrawn[1]");
}

#[test]
fn unknown_fields_of_a_newer_configuration_are_ignored() {
    let text = br#"{"revision": 7, "note": "n7", "since": 5, "services": [
        {"name": "parts", "rules": {"idempotent": true, "deadline": "1s", "new": 1}}]}"#;
    let config = Config::from_json(text).unwrap();
    assert_eq!((config.revision, config.services.len()), (Revision(7), 1));
    assert!(Config::from_json(b"{}").is_err());
}

/// A valid note with arbitrary services.
#[derive(Debug, Clone)]
struct AnyNote(Note);

impl Arbitrary for AnyNote {
    fn arbitrary(g: &mut Gen) -> Self {
        let arbitrary_service = |name: String, g: &mut Gen| {
            let mut below = |n: u32| u32::arbitrary(g) % n;
            let queue = 1 + below(1_000_000);
            let idempotent = below(2) == 0;
            Service {
                name: ServiceName::from(name.as_str()),
                selector: Selector {
                    labels: (0..below(3)).map(|i| format!("k{i}=v").into()).collect(),
                },
                limits: Limits {
                    slots: (below(2) == 0).then(|| 1 + below(1_024)),
                    queue,
                    tasks: 1 + below(queue.min(10_000)),
                    body_bytes: u64::from(1 + below(16 << 20)),
                },
                rules: Rules {
                    idempotent,
                    deadline: Micros(u64::from(1_000 + below(599_999_001))),
                    retry_percent: below(101),
                    hedge_percent: if idempotent { below(101) } else { 0 },
                },
                quotas: (0..below(4))
                    .map(|i| {
                        let (rate, burst) = (1 + below(10_000_000), 1 + below(10_000_000));
                        (TeamName::from(&*format!("t{i}")), Quota { rate, burst })
                    })
                    .collect::<BTreeMap<_, _>>(),
            }
        };
        let count = usize::arbitrary(g) % 3;
        Self(Note {
            id: "n1".into(),
            base: Revision(0),
            reason: bool::arbitrary(g).then(|| "why".into()),
            added: (0..=count)
                .map(|i| arbitrary_service(format!("s{i}"), g))
                .collect(),
            changed: Vec::new(),
            withdrawn: Vec::new(),
        })
    }
}

fn quickcheck() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(CASES)
}

#[test]
fn notes_and_configurations_round_trip_through_json() {
    fn round_trips(AnyNote(note): AnyNote) -> bool {
        let text = serde_json::to_string(&note).unwrap();
        let config = Config::empty().apply(&note).unwrap();
        Note::parse(&text).as_ref() == Ok(&note)
            && Config::from_json(&config.to_json()).as_ref() == Ok(&config)
    }
    quickcheck().quickcheck(round_trips as fn(AnyNote) -> bool);
}

#[test]
fn corrupted_input_does_not_panic_and_random_text_is_rejected() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the test library passes values"
    )]
    fn is_rejected(AnyNote(note): AnyNote, position: usize, byte: u8, junk: String) -> bool {
        let mut text = serde_json::to_vec(&note).unwrap();
        let position = position % text.len();
        text[position] = byte;
        let _ = Note::parse(&String::from_utf8_lossy(&text));
        let _ = Config::from_json(&text);
        Note::parse(&junk).is_err()
    }
    quickcheck().quickcheck(is_rejected as fn(AnyNote, usize, u8, String) -> bool);
}
