//! Properties that hold for random sequences of events from callers, agents and links.

use std::collections::BTreeMap;

use chervilring_core::dispatch::Work;
use chervilring_wire::{
    AgentState, Kind, Micros, Reason, SubmissionId, TaskIndex, TaskKey, Time, Verdict,
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use super::fixture::{Fixture, SLOTS, done, failed, service};

const SEED: u64 = 5;
const AGENTS: usize = 7;

/// An event of a random sequence.
#[derive(Debug, Clone)]
enum Event {
    Submit {
        tasks: u8,
        idempotent: bool,
        deadline_millis: u16,
    },
    Done(u8),
    Fail(u8),
    Refuse(u8),
    Cancel(u8),
    LinkDown(u8),
    LinkUp(u8),
    Leave(u8),
    Authority(bool),
    Advance(u16),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let selector = u8::arbitrary(g);
        match u8::arbitrary(g) % 20 {
            0..=4 => Self::Submit {
                tasks: 1 + u8::arbitrary(g) % 12,
                idempotent: bool::arbitrary(g),
                deadline_millis: u16::arbitrary(g) % 8_000,
            },
            5..=9 => Self::Done(selector),
            10 | 11 => Self::Fail(selector),
            12 => Self::Refuse(selector),
            13 => Self::Cancel(selector),
            14 => Self::LinkDown(selector),
            15 => Self::LinkUp(selector),
            16 => Self::Leave(selector),
            17 => Self::Authority(!selector.is_multiple_of(3)),
            _ => Self::Advance(u16::arbitrary(g) % 400),
        }
    }
}

/// Record of a sequence so far.
#[derive(Default)]
struct History {
    works: BTreeMap<SubmissionId, Work>,
    accepted: Vec<SubmissionId>,
    /// Attempts that an agent accepted and did not refuse.
    accepted_attempts: BTreeMap<(SubmissionId, TaskIndex), Vec<TaskKey>>,
    checked_starts: usize,
}

fn select_in_flight(fixture: &Fixture, selector: u8) -> Option<TaskKey> {
    let count = fixture.in_flight.len().max(1);
    fixture
        .in_flight
        .keys()
        .nth(usize::from(selector) % count)
        .copied()
}

fn apply(fixture: &mut Fixture, history: &mut History, event: &Event) {
    let agent = |selector: u8| usize::from(selector) % AGENTS;
    match *event {
        Event::Submit {
            tasks,
            idempotent,
            deadline_millis,
        } => {
            let kind = if tasks < 6 { Kind::Request } else { Kind::Job };
            let tasks = if tasks < 6 { 1 } else { usize::from(tasks) };
            let mut work = fixture.work(history.works.len() as u128 + 1, kind, tasks);
            work.idempotent = idempotent;
            work.deadline = fixture.now + Micros::from_millis(u64::from(deadline_millis));
            history.works.insert(work.id, work.clone());
            let id = work.id;
            match fixture.submit(work) {
                Ok(()) => history.accepted.push(id),
                Err(failure) => assert_eq!(failure.verdict, Verdict::NotRun),
            }
        }
        Event::Done(selector) => {
            if let Some(key) = select_in_flight(fixture, selector) {
                fixture.answer(key, done(key));
            }
        }
        Event::Fail(selector) => {
            if let Some(key) = select_in_flight(fixture, selector) {
                fixture.answer(key, failed(Verdict::Ran, Reason::UpstreamFailed));
            }
        }
        Event::Refuse(selector) => {
            if let Some(key) = select_in_flight(fixture, selector) {
                let task = history
                    .accepted_attempts
                    .get_mut(&(key.submission, key.index));
                task.expect("the task was started").retain(|k| *k != key);
                fixture.answer(key, failed(Verdict::NotRun, Reason::Busy));
            }
        }
        Event::Cancel(selector) => {
            let ids: Vec<_> = history.works.keys().copied().collect();
            if let Some(id) = ids.get(usize::from(selector) % ids.len().max(1)) {
                fixture.dispatcher.cancel(fixture.now, *id);
                fixture.run();
            }
        }
        Event::LinkDown(selector) => {
            let id = fixture.agents[agent(selector)].clone();
            fixture.dispatcher.agent_disconnected(fixture.now, &id);
            fixture.run();
        }
        Event::LinkUp(selector) => {
            let id = fixture.agents[agent(selector)].clone();
            fixture.dispatcher.agent_connected(fixture.now, &id);
            fixture.run();
        }
        Event::Leave(selector) => fixture.announce(agent(selector), AgentState::Leaving),
        Event::Authority(granted) => {
            fixture.authority = granted.then_some(Time::NEVER);
        }
        Event::Advance(millis) => fixture.advance(Micros::from_millis(u64::from(millis))),
    }
}

fn check_starts_and_budgets(fixture: &Fixture, history: &mut History) {
    for (_, key) in &fixture.starts[history.checked_starts..] {
        let task = history
            .accepted_attempts
            .entry((key.submission, key.index))
            .or_default();
        task.push(*key);
        let work = &history.works[&key.submission];
        let repeatable = work.idempotent && work.kind == Kind::Request;
        assert!(repeatable || task.len() == 1, "{key} was started again");
    }
    history.checked_starts = fixture.starts.len();
    let counters = fixture.dispatcher.counters();
    let budget = 10 + counters.started / 10;
    assert!(counters.retried <= budget, "{} retries", counters.retried);
    assert!(counters.hedged <= budget, "{} hedges", counters.hedged);
    let ejected = counters.ejected - counters.restored;
    assert!(
        ejected <= AGENTS as u64 * 30 / 100,
        "{ejected} upstreams are ejected"
    );
}

fn check_results(fixture: &Fixture, history: &History) {
    let mut ended: Vec<_> = fixture.ended.iter().map(|(id, _)| *id).collect();
    ended.sort_unstable();
    let mut accepted = history.accepted.clone();
    accepted.sort_unstable();
    assert_eq!(
        ended, accepted,
        "each accepted submission ends exactly once"
    );
    for (id, result) in &fixture.ended {
        let tasks = history.works[id].bodies.len();
        match result {
            Ok(outputs) => {
                assert_eq!(
                    outputs.len(),
                    tasks,
                    "a completed submission has all outputs"
                );
                for (index, output) in outputs.iter().enumerate() {
                    assert_eq!(output.body, format!("{id}/{index}").as_bytes());
                }
            }
            Err(failure) if failure.verdict == Verdict::NotRun => {
                let mut attempts = history
                    .accepted_attempts
                    .range((*id, TaskIndex(0))..=(*id, TaskIndex(u32::MAX)));
                assert!(
                    attempts.all(|(_, keys)| keys.is_empty()),
                    "{id} was accepted by an agent"
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
fn check_invariants(events: Vec<Event>) -> TestResult {
    if events.is_empty() {
        return TestResult::discard();
    }
    let mut fixture = Fixture::new(AGENTS, service());
    let mut history = History::default();
    for event in &events {
        apply(&mut fixture, &mut history, event);
        check_starts_and_budgets(&fixture, &mut history);
    }
    // No agent answers any more, so all remaining submissions reach their deadline.
    fixture.advance_silent(Micros::from_secs(30));
    check_starts_and_budgets(&fixture, &mut history);
    check_results(&fixture, &history);
    TestResult::passed()
}

#[test]
fn submissions_end_once_and_complete_and_start_at_most_once() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(250, SEED))
        .tests(300)
        .quickcheck(check_invariants as fn(Vec<Event>) -> TestResult);
}

#[test]
fn agent_is_never_sent_more_tasks_than_its_slots() {
    let mut fixture = Fixture::new(2, service());
    let work = fixture.work(1, Kind::Job, 100);
    fixture.submit(work).expect("the queue has capacity");
    for _ in 0..100 {
        for agent in 0..2 {
            assert!(fixture.in_flight_at(agent).len() <= SLOTS as usize);
        }
        let Some(&key) = fixture.in_flight.keys().next() else {
            break;
        };
        fixture.now = fixture.now + Micros::from_millis(10);
        fixture.answer(key, done(key));
    }
    assert_eq!(fixture.result(1).map(Result::is_ok), Some(true));
}
