//! Size of the configuration, and the time to read, write and change it.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use chervilring_core::config::{
    AuditRecord, Config, Limits, Note, Quota, Rules, Selector, Service,
};
use chervilring_wire::{Micros, Revision, ServiceName, TeamName, Timestamp};

/// Runs of each step; the shortest is told.
const RUNS: u32 = 5;

/// What a configuration of some size costs.
#[derive(Debug, Clone, Copy)]
pub struct ConfigCost {
    /// Services in force.
    pub services: usize,
    /// Teams with a quota on each service.
    pub teams: usize,
    /// Size of the document, in bytes.
    pub document: usize,
    /// Size of the audit record of a note that changes one service, in bytes.
    pub record: usize,
    /// Time to check a note that adds all services.
    pub parse: Duration,
    /// Time to apply a note that changes one service.
    pub apply: Duration,
    /// Time to write the document.
    pub write: Duration,
    /// Time to read the document.
    pub read: Duration,
}

/// Measures a configuration of this many services with this many teams each.
///
/// # Panics
///
/// Panics when the made-up notes are not valid, which would be a fault of this program.
pub fn config_cost(services: usize, teams: usize) -> ConfigCost {
    let all = Note {
        id: "all".into(),
        base: Revision(0),
        reason: None,
        added: (0..services).map(|i| service(i, teams)).collect(),
        changed: Vec::new(),
        withdrawn: Vec::new(),
    };
    let config = Config::empty().apply(&all).expect("a valid note");
    let one = Note {
        id: "one".into(),
        base: config.revision,
        changed: vec![service(0, teams)],
        added: Vec::new(),
        ..all.clone()
    };
    let record = AuditRecord {
        revision: Revision(2),
        previous: "all".into(),
        who: "operator".into(),
        when: Timestamp(1_796_354_421_486),
        note: one.clone(),
    };
    let document = config.to_json();
    // The limit on the size of one note does not bear on what is measured here.
    let parts = all.added.chunks(1).map(|added| Note {
        added: added.to_vec(),
        ..all.clone()
    });
    let texts: Vec<String> = parts.map(|note| json(&note)).collect();
    ConfigCost {
        services,
        teams,
        document: document.len(),
        record: json(&record).len(),
        parse: shortest(|| {
            for text in &texts {
                black_box(Note::parse(text).expect("a valid note"));
            }
        }),
        apply: shortest(|| {
            black_box(config.apply(&one).expect("a valid note"));
        }),
        write: shortest(|| {
            black_box(config.to_json());
        }),
        read: shortest(|| {
            black_box(Config::from_json(&document).expect("a document"));
        }),
    }
}

fn shortest(step: impl Fn()) -> Duration {
    let run = |_| {
        let begun = Instant::now();
        step();
        begun.elapsed()
    };
    (0..RUNS).map(run).min().unwrap_or_default()
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("maps have text for keys")
}

fn service(number: usize, teams: usize) -> Service {
    let quota = Quota {
        rate: 1_000,
        burst: 200,
    };
    let quotas = (0..teams).map(|i| (TeamName::from(&*format!("team-{i:03}")), quota));
    Service {
        name: ServiceName::from(&*format!("service-{number:04}")),
        selector: Selector {
            labels: vec!["pool=workshop".into()],
        },
        limits: Limits::default(),
        rules: Rules::new(false, Micros::from_secs(5)),
        quotas: quotas.collect::<BTreeMap<_, _>>(),
    }
}
