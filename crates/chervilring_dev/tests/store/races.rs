//! Operators that race each other while the store fails.
//!
//! The property: no accepted note is lost, applied twice or reported refused.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use chervilring_core::config::{AuditRecord, Config, Note};
use chervilring_dev::platform::{Down, Faults, Platform};
use chervilring_store::{ConfigStore, SubmitError};
use chervilring_wire::{Revision, Timestamp};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::common::{adding, builder, platform};

const SEED: u64 = 7;
const SCHEDULES: u64 = 25;

/// How long an operator goes on with one note that has no clear answer.
const PATIENCE: Duration = Duration::from_mins(1);

/// How long the store is down at a time.
const OUTAGE: Duration = Duration::from_millis(60);

#[derive(Debug, Clone)]
struct Schedule {
    operators: u64,
    notes: u64,
    lose: u32,
    late: u32,
    late_ms: u64,
    fail: u32,
    outages: u32,
    seed: u64,
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut below = |n: u64| u64::arbitrary(g) % n;
        Self {
            operators: 2 + below(3),
            notes: 2 + below(3),
            lose: below(50) as u32,
            late: below(50) as u32,
            late_ms: 20 + below(200),
            fail: below(30) as u32,
            outages: below(3) as u32,
            seed: below(u64::MAX),
        }
    }
}

impl Schedule {
    fn faults(&self, down: Down) -> Faults {
        Faults {
            down,
            lose_percent: self.lose,
            late_percent: self.late,
            late_ms: self.late_ms,
            fail_percent: self.fail,
            seed: self.seed,
            ..Faults::default()
        }
    }
}

/// What an operator was told of a note.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Accepted(Revision),
    Refused,
    Unclear,
}

/// Submits a note until it is clear what became of it.
fn submit(store: &ConfigStore, note: &Note, who: &str) -> Told {
    let end = Instant::now() + PATIENCE;
    let mut told = Told::Refused;
    while Instant::now() < end {
        match store.submit(note, &who.into(), Timestamp(1)) {
            Ok(accepted) => return Told::Accepted(accepted.revision),
            // What the earlier try left unclear stays so until the store answers again.
            Err(SubmitError::Store(_)) if told == Told::Unclear => {}
            Err(SubmitError::Unclear(_)) => told = Told::Unclear,
            Err(_) => return Told::Refused,
        }
    }
    told
}

/// Submits notes one after the other, each on the newest base that can be read.
fn operate(store: &ConfigStore, operator: u64, notes: u64) -> Vec<(String, Told)> {
    let mut told = Vec::new();
    for n in 0..notes {
        let end = Instant::now() + PATIENCE;
        let mut current = store.current();
        while current.is_err() && Instant::now() < end {
            current = store.current();
        }
        let base = current.expect("a store that is back").config.revision.0;
        let id = format!("note-{operator}-{n}");
        let note = adding(&id, base, &format!("service-{operator}-{n}"));
        told.push((id, submit(store, &note, &format!("op{operator}"))));
    }
    told
}

fn run(schedule: &Schedule) -> (Vec<(String, Told)>, Platform) {
    let platform = platform(schedule.faults(Down::No));
    // Short, so that operators come upon what they left unclear themselves.
    let settings = builder(&platform)
        .settle(Duration::from_millis(300))
        .build();
    let store = ConfigStore::new(&settings);
    let told = thread::scope(|scope| {
        let operators = (0..schedule.operators)
            .map(|operator| {
                let store = &store;
                scope.spawn(move || operate(store, operator, schedule.notes))
            })
            .collect::<Vec<_>>();
        for _ in 0..schedule.outages {
            thread::sleep(OUTAGE);
            platform.set_faults(schedule.faults(Down::Refuse));
            thread::sleep(OUTAGE);
            platform.set_faults(schedule.faults(Down::No));
        }
        let ended = operators.into_iter().map(|o| o.join().expect("no panic"));
        ended.flatten().collect()
    });
    platform.wait_late();
    platform.set_faults(Faults::default());
    (told, platform)
}

/// Returns what is wrong with what the operators were told, against what the store holds.
fn wrong(told: &[(String, Told)], records: &[AuditRecord], config: &Config) -> Option<String> {
    let mut made = BTreeMap::new();
    let mut folded = Config::empty();
    for record in records {
        if made
            .insert(record.note.id.to_string(), record.revision)
            .is_some()
        {
            return Some(format!("{} was applied twice", record.note.id));
        }
        match folded.apply(&record.note) {
            Ok(next) if next.revision == record.revision => folded = next,
            other => return Some(format!("{record:?} does not follow: {other:?}")),
        }
    }
    if folded != *config {
        return Some("the document is not what the notes make".into());
    }
    told.iter().find_map(|(id, told)| {
        let right = match (told, made.get(id)) {
            (Told::Accepted(revision), made) => made == Some(revision),
            (Told::Refused, made) => made.is_none(),
            (Told::Unclear, _) => false,
        };
        (!right).then(|| format!("{id}: told {told:?}, made {:?}", made.get(id)))
    })
}

#[test]
fn no_note_is_lost_applied_twice_or_reported_refused() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the test library passes values"
    )]
    fn holds(schedule: Schedule) -> Result<bool, String> {
        let (told, platform) = run(&schedule);
        let store = ConfigStore::new(&builder(&platform).build());
        let records = store.audit(Revision(0)).map_err(|e| e.to_string())?;
        let config = store.current().map_err(|e| e.to_string())?.config;
        match wrong(&told, &records, &config) {
            Some(what) => Err(format!("{what} under {schedule:?}")),
            None => Ok(true),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(SCHEDULES)
        .quickcheck(holds as fn(Schedule) -> Result<bool, String>);
}
