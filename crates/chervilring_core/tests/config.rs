//! Release notes: their check, and the configuration they make.

use std::collections::BTreeMap;

use chervilring_core::config::{Config, Limits, Note, Quota, Rules, Selector, Service};
use chervilring_wire::{Micros, Name, Revision, ServiceName, TeamName};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SEED: u64 = 4;
const CASES: u64 = 300;

/// A note that adds one service, with one part of the document replaced.
fn with(part: &str, by: &str) -> String {
    let whole = r#"{"id": "n1", "base": 0, "added": [{
        "name": "parts",
        "selector": {"labels": ["gpu=yes"]},
        "limits": {"slots": 8, "queue": 100, "tasks": 50, "body": "1MiB"},
        "rules": {"idempotent": false, "deadline": "2s", "retry_percent": 10, "hedge_percent": 0},
        "quotas": {"andino": {"rate": 100, "burst": 10}}
    }]}"#;
    assert!(whole.contains(part), "{part}");
    whole.replacen(part, by, 1)
}

fn faults(text: &str) -> Vec<(String, String)> {
    let error = Note::parse(text).expect_err(text);
    error
        .faults
        .into_iter()
        .map(|f| (f.path, f.allowed))
        .collect()
}

#[test]
fn note_is_read_with_all_its_fields() {
    let note = Note::parse(&with("\"n1\"", "\"n1\"")).unwrap();
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
fn example_for_operators_is_valid() {
    let page = include_str!("../../../docs/NOTES.md");
    let (_, rest) = page.split_once("```json\n").expect("an example");
    let (example, _) = rest.split_once("```").expect("its end");
    let note = Note::parse(example).unwrap();
    assert_eq!((note.added.len(), note.withdrawn.len()), (1, 1));
}

#[test]
fn each_fault_has_its_path_and_what_is_allowed() {
    let span = "text of a whole number and a unit (us, ms, s, min)";
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
        ("\"2s\"", "2", "added[0].rules.deadline", span),
        ("\"2s\"", "\"2\"", "added[0].rules.deadline", span),
        ("\"2s\"", "\"2m\"", "added[0].rules.deadline", span),
        ("\"2s\"", "\"2 s\"", "added[0].rules.deadline", span),
        ("\"2s\"", "\"2MiB\"", "added[0].rules.deadline", span),
        (
            "\"2s\"",
            "\"18446744073710s\"",
            "added[0].rules.deadline",
            span,
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
    for (part, by, path, allowed) in cases {
        let found = faults(&with(part, by));
        let told = |(p, a): &(String, String)| p == path && a.starts_with(allowed);
        assert!(found.iter().any(told), "{by} in place of {part}: {found:?}");
    }
}

#[test]
fn all_faults_are_told_at_once() {
    let text = with("\"2s\"", "\"2h\"").replace("\"queue\": 100", "\"queue\": 0");
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
fn field_that_stands_twice_is_told_with_its_place() {
    let text = with("\"n1\",", "\"n1\", \"added\": [],");
    let error = Note::parse(&text).unwrap_err();
    assert_eq!(error.faults.len(), 1);
    assert!(
        error.faults[0]
            .what
            .contains("field \"added\" stands twice at line 1")
    );
}

#[test]
fn what_is_no_note_is_told_so() {
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
fn note_applies_whole_or_not_at_all() {
    let first = Config::empty()
        .apply(&Note::parse(&with("n1", "n1")).unwrap())
        .unwrap();
    assert_eq!((first.revision, &*first.note), (Revision(1), "n1"));
    let added = &first.services[&ServiceName::from("parts")];
    assert_eq!(added.limits.queue, 100);

    let changed = with("\"added\"", "\"changed\"").replace("\"base\": 0", "\"base\": 1");
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
    assert_eq!(path(&first, &with("n1", "n2")), "base");
    assert_eq!(
        path(&first, &with("\"base\": 0", "\"base\": 1")),
        "added[0].name"
    );
    assert_eq!(
        path(&Config::empty(), &with("added", "changed")),
        "changed[0].name"
    );
    let withdrawn = r#"{"id": "n3", "base": 1, "withdrawn": ["parts", "bays"]}"#;
    assert_eq!(path(&first, withdrawn), "withdrawn[1]");
}

#[test]
fn newer_document_is_read_without_what_is_not_known() {
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
        let service = |name: String, g: &mut Gen| {
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
            added: (0..=count).map(|i| service(format!("s{i}"), g)).collect(),
            changed: Vec::new(),
            withdrawn: Vec::new(),
        })
    }
}

fn check() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(CASES)
}

#[test]
fn notes_and_configurations_survive_being_written_and_read() {
    fn survives(AnyNote(note): AnyNote) -> bool {
        let text = serde_json::to_string(&note).unwrap();
        let config = Config::empty().apply(&note).unwrap();
        Note::parse(&text).as_ref() == Ok(&note)
            && Config::from_json(&config.to_json()).as_ref() == Ok(&config)
    }
    check().quickcheck(survives as fn(AnyNote) -> bool);
}

#[test]
fn garbage_is_refused_without_a_panic() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the test library passes values"
    )]
    fn is_checked(AnyNote(note): AnyNote, place: usize, byte: u8, junk: String) -> bool {
        let mut text = serde_json::to_vec(&note).unwrap();
        let place = place % text.len();
        text[place] = byte;
        let _ = Note::parse(&String::from_utf8_lossy(&text));
        let _ = Config::from_json(&text);
        Note::parse(&junk).is_err()
    }
    check().quickcheck(is_checked as fn(AnyNote, usize, u8, String) -> bool);
}
