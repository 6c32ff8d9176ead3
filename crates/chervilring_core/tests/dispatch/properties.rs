//! What must hold whatever callers, agents and links do.

use std::collections::BTreeMap;

use chervilring_core::dispatch::Work;
use chervilring_wire::{
    AgentState, Kind, Micros, Reason, SubmissionId, TaskIndex, TaskKey, Time, Verdict,
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use super::fixture::{Fixture, SLOTS, done, failed, service};

const SEED: u64 = 5;
const AGENTS: usize = 7;

/// One thing that happens.
#[derive(Debug, Clone)]
enum Event {
    Submit {
        tasks: u8,
        idempotent: bool,
        span: u16,
    },
    Done(u8),
    Fail(u8),
    Refuse(u8),
    Cancel(u8),
    LinkDown(u8),
    LinkUp(u8),
    Leave(u8),
    Authority(bool),
    Pass(u16),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let place = u8::arbitrary(g);
        match u8::arbitrary(g) % 20 {
            0..=4 => Self::Submit {
                tasks: 1 + u8::arbitrary(g) % 12,
                idempotent: bool::arbitrary(g),
                span: u16::arbitrary(g) % 8_000,
            },
            5..=9 => Self::Done(place),
            10 | 11 => Self::Fail(place),
            12 => Self::Refuse(place),
            13 => Self::Cancel(place),
            14 => Self::LinkDown(place),
            15 => Self::LinkUp(place),
            16 => Self::Leave(place),
            17 => Self::Authority(!place.is_multiple_of(3)),
            _ => Self::Pass(u16::arbitrary(g) % 400),
        }
    }
}

/// What the run has shown so far.
#[derive(Default)]
struct Seen {
    works: BTreeMap<SubmissionId, Work>,
    accepted: Vec<SubmissionId>,
    /// Attempts that an agent took and did not refuse.
    taken: BTreeMap<(SubmissionId, TaskIndex), Vec<TaskKey>>,
    checked: usize,
}

fn nth_held(fixture: &Fixture, place: u8) -> Option<TaskKey> {
    let count = fixture.held.len().max(1);
    fixture.held.keys().nth(usize::from(place) % count).copied()
}

fn apply(fixture: &mut Fixture, seen: &mut Seen, event: &Event) {
    let agent = |place: u8| usize::from(place) % AGENTS;
    match *event {
        Event::Submit {
            tasks,
            idempotent,
            span,
        } => {
            let kind = if tasks < 6 { Kind::Request } else { Kind::Job };
            let tasks = if tasks < 6 { 1 } else { usize::from(tasks) };
            let mut work = fixture.work(seen.works.len() as u128 + 1, kind, tasks);
            work.idempotent = idempotent;
            work.deadline = fixture.now + Micros::from_millis(u64::from(span));
            seen.works.insert(work.id, work.clone());
            let id = work.id;
            match fixture.submit(work) {
                Ok(()) => seen.accepted.push(id),
                Err(failure) => assert_eq!(failure.verdict, Verdict::NotRun),
            }
        }
        Event::Done(place) => {
            if let Some(key) = nth_held(fixture, place) {
                fixture.answer(key, done(key));
            }
        }
        Event::Fail(place) => {
            if let Some(key) = nth_held(fixture, place) {
                fixture.answer(key, failed(Verdict::Ran, Reason::UpstreamFailed));
            }
        }
        Event::Refuse(place) => {
            if let Some(key) = nth_held(fixture, place) {
                let task = seen.taken.get_mut(&(key.submission, key.index));
                task.expect("it was started").retain(|k| *k != key);
                fixture.answer(key, failed(Verdict::NotRun, Reason::Busy));
            }
        }
        Event::Cancel(place) => {
            let ids: Vec<_> = seen.works.keys().copied().collect();
            if let Some(id) = ids.get(usize::from(place) % ids.len().max(1)) {
                fixture.dispatcher.cancel(fixture.now, *id);
                fixture.run();
            }
        }
        Event::LinkDown(place) => {
            let id = fixture.agents[agent(place)].clone();
            fixture.dispatcher.agent_disconnected(fixture.now, &id);
            fixture.run();
        }
        Event::LinkUp(place) => {
            let id = fixture.agents[agent(place)].clone();
            fixture.dispatcher.agent_connected(fixture.now, &id);
            fixture.run();
        }
        Event::Leave(place) => fixture.announce(agent(place), AgentState::Leaving),
        Event::Authority(given) => {
            fixture.authority = given.then_some(Time::NEVER);
        }
        Event::Pass(millis) => fixture.pass(Micros::from_millis(u64::from(millis))),
    }
}

fn check_step(fixture: &Fixture, seen: &mut Seen) {
    for (_, key) in &fixture.starts[seen.checked..] {
        let task = seen.taken.entry((key.submission, key.index)).or_default();
        task.push(*key);
        let work = &seen.works[&key.submission];
        let repeatable = work.idempotent && work.kind == Kind::Request;
        assert!(repeatable || task.len() == 1, "{key} was started again");
    }
    seen.checked = fixture.starts.len();
    let counters = fixture.dispatcher.counters();
    let budget = 10 + counters.started / 10;
    assert!(counters.retried <= budget, "{} retries", counters.retried);
    assert!(counters.hedged <= budget, "{} hedges", counters.hedged);
    let out = counters.ejected - counters.restored;
    assert!(out <= AGENTS as u64 * 30 / 100, "{out} upstreams are out");
}

fn check_end(fixture: &Fixture, seen: &Seen) {
    let mut ended: Vec<_> = fixture.ended.iter().map(|(id, _)| *id).collect();
    ended.sort_unstable();
    let mut accepted = seen.accepted.clone();
    accepted.sort_unstable();
    assert_eq!(
        ended, accepted,
        "each accepted submission ends exactly once"
    );
    for (id, result) in &fixture.ended {
        let tasks = seen.works[id].bodies.len();
        match result {
            Ok(outputs) => {
                assert_eq!(outputs.len(), tasks, "no answer is partial");
                for (index, output) in outputs.iter().enumerate() {
                    assert_eq!(output.body, format!("{id}/{index}").as_bytes());
                }
            }
            Err(failure) if failure.verdict == Verdict::NotRun => {
                let mut taken = seen
                    .taken
                    .range((*id, TaskIndex(0))..=(*id, TaskIndex(u32::MAX)));
                assert!(
                    taken.all(|(_, keys)| keys.is_empty()),
                    "{id} was taken by an agent"
                );
            }
            Err(_) => {}
        }
    }
    let status = fixture.dispatcher.status(fixture.now);
    assert_eq!(status.submissions, 0);
    assert_eq!(status.running, 0);
    assert!(status.services.iter().all(|s| s.queued == 0));
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the signature that quickcheck calls"
)]
fn holds(events: Vec<Event>) -> TestResult {
    if events.is_empty() {
        return TestResult::discard();
    }
    let mut fixture = Fixture::new(AGENTS, service());
    let mut seen = Seen::default();
    for event in &events {
        apply(&mut fixture, &mut seen, event);
        check_step(&fixture, &mut seen);
    }
    // Nobody answers any more: all that is left runs into its deadline.
    fixture.pass_silent(Micros::from_secs(30));
    check_step(&fixture, &mut seen);
    check_end(&fixture, &seen);
    TestResult::passed()
}

#[test]
fn submissions_end_once_and_whole_and_start_at_most_once() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(250, SEED))
        .tests(300)
        .quickcheck(holds as fn(Vec<Event>) -> TestResult);
}

#[test]
fn an_agent_is_never_sent_more_than_its_slots() {
    let mut fixture = Fixture::new(2, service());
    let work = fixture.work(1, Kind::Job, 100);
    fixture.submit(work).expect("there is room");
    for _ in 0..100 {
        for agent in 0..2 {
            assert!(fixture.held_by(agent).len() <= SLOTS as usize);
        }
        let Some(&key) = fixture.held.keys().next() else {
            break;
        };
        fixture.now = fixture.now + Micros::from_millis(10);
        fixture.answer(key, done(key));
    }
    assert_eq!(fixture.result(1).map(Result::is_ok), Some(true));
}
