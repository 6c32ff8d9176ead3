//! Tests with upstreams that fail, hang, go silent or leave.

use chervilring_wire::{AgentState, Incarnation, Kind, Micros, Reason, Verdict};

use super::fixture::{Fixture, done, failed, service};

/// Answers all attempts in flight: agents below `failing` fail theirs, the others succeed.
fn answer_all(fixture: &mut Fixture, failing: usize) {
    for (key, agent) in fixture.in_flight.clone() {
        let outcome = if agent < failing {
            failed(Verdict::Ran, Reason::UpstreamFailed)
        } else {
            done(key)
        };
        fixture.answer(key, outcome);
    }
}

#[test]
fn failing_upstream_is_ejected_and_restored_by_a_single_trial() {
    let mut fixture = Fixture::new(10, service());
    let mut id = 0;
    let mut round = |fixture: &mut Fixture, failing: usize| {
        for _ in 0..40 {
            id += 1;
            let work = fixture.work(id, Kind::Request, 1);
            fixture.submit(work).expect("the queue has capacity");
        }
        fixture.advance(Micros::from_millis(100));
        answer_all(fixture, failing);
    };
    for _ in 0..10 {
        round(&mut fixture, 0);
    }
    for _ in 0..10 {
        round(&mut fixture, 1);
    }
    assert_eq!(fixture.dispatcher.counters().ejected, 1);
    let before = fixture.starts.len();
    for _ in 0..100 {
        round(&mut fixture, 1);
    }
    let trials = fixture.starts[before..].iter().filter(|(a, _)| *a == 0);
    let trials = trials.count();
    assert!((1..=4).contains(&trials), "{trials} trials in ten seconds");
    for _ in 0..700 {
        round(&mut fixture, 0);
    }
    assert_eq!(fixture.dispatcher.counters().restored, 1);
}

#[test]
fn ejections_stay_within_the_configured_share() {
    let mut fixture = Fixture::new(10, service());
    for id in 1..=2_000 {
        let work = fixture.work(id, Kind::Request, 1);
        let _ = fixture.submit(work);
        if id % 20 == 0 {
            fixture.advance(Micros::from_millis(50));
            answer_all(&mut fixture, 8);
        }
        let counters = fixture.dispatcher.counters();
        assert!(counters.ejected - counters.restored <= 3);
    }
}

#[test]
fn a_failed_task_fails_its_job_at_once_and_the_rest_is_cancelled() {
    let mut fixture = Fixture::new(2, service());
    let work = fixture.work(1, Kind::Job, 20);
    fixture.submit(work).expect("the queue has capacity");
    let key = *fixture.in_flight.keys().next().expect("tasks have started");
    let others = fixture.in_flight.len() - 1;
    fixture.answer(key, failed(Verdict::MayHaveRun, Reason::UpstreamLost));
    let result = fixture.result(1).expect("the job ends at once");
    let failure = result.as_ref().expect_err("the job failed");
    assert_eq!(failure.verdict, Verdict::MayHaveRun);
    assert_eq!(fixture.cancels.len(), others);
    assert_eq!(fixture.starts.len(), others + 1, "no task is started again");
}

#[test]
fn cancelled_submission_ends_at_once_and_its_attempts_are_cancelled() {
    let mut fixture = Fixture::new(2, service());
    let work = fixture.work(1, Kind::Job, 20);
    fixture.submit(work).expect("the queue has capacity");
    let running = fixture.in_flight.len();
    fixture
        .dispatcher
        .cancel(fixture.now, chervilring_wire::SubmissionId(1));
    fixture.run();
    let failure = fixture
        .result(1)
        .expect("ended")
        .as_ref()
        .expect_err("cancelled");
    assert_eq!(
        (failure.reason, failure.verdict),
        (Reason::Cancelled, Verdict::MayHaveRun)
    );
    assert_eq!(fixture.cancels.len(), running);
}

#[test]
fn silent_agent_gets_no_new_work_and_its_attempts_fail_once_it_is_lost() {
    let mut fixture = Fixture::new(1, service());
    let mut work = fixture.work(1, Kind::Request, 1);
    work.idempotent = false;
    fixture.submit(work).expect("the queue has capacity");
    fixture.advance_silent(Micros::from_millis(2_000));
    let work = fixture.work(2, Kind::Request, 1);
    let _ = fixture.submit(work);
    assert_eq!(fixture.starts.len(), 1, "a suspect agent gets no new work");
    assert!(fixture.result(1).is_none(), "the agent is not lost yet");
    fixture.advance_silent(Micros::from_millis(4_000));
    let failure = fixture
        .result(1)
        .expect("ended")
        .as_ref()
        .expect_err("lost");
    assert_eq!(
        (failure.reason, failure.verdict),
        (Reason::UpstreamLost, Verdict::MayHaveRun)
    );
}

#[test]
fn leaving_agent_gets_no_new_work_and_its_answers_count() {
    let mut fixture = Fixture::new(1, service());
    let work = fixture.work(1, Kind::Request, 1);
    fixture.submit(work).expect("the queue has capacity");
    fixture.announce(0, AgentState::Leaving);
    let work = fixture.work(2, Kind::Request, 1);
    let _ = fixture.submit(work);
    assert_eq!(fixture.starts.len(), 1);
    answer_all(&mut fixture, 0);
    assert_eq!(fixture.result(1).map(Result::is_ok), Some(true));
}

#[test]
fn answers_resent_after_a_broken_link_count() {
    let mut fixture = Fixture::new(1, service());
    let work = fixture.work(1, Kind::Request, 1);
    fixture.submit(work).expect("the queue has capacity");
    let id = fixture.agents[0].clone();
    fixture.dispatcher.agent_disconnected(fixture.now, &id);
    fixture.advance(Micros::from_millis(500));
    fixture.dispatcher.agent_connected(fixture.now, &id);
    answer_all(&mut fixture, 0);
    assert_eq!(fixture.result(1).map(Result::is_ok), Some(true));
}

#[test]
fn slow_request_is_hedged_on_a_faster_upstream() {
    let mut fixture = Fixture::new(10, service());
    for id in 1..=200 {
        let work = fixture.work(id, Kind::Request, 1);
        fixture.submit(work).expect("the queue has capacity");
        fixture.advance(Micros::from_millis(100));
        answer_all(&mut fixture, 0);
    }
    let work = fixture.work(1_000, Kind::Request, 1);
    fixture.submit(work).expect("the queue has capacity");
    let (silent, first) = *fixture.starts.last().expect("the request was started");
    // The agent goes silent during the task; the others keep announcing themselves.
    for _ in 0..20 {
        fixture.now = fixture.now + Micros::from_millis(100);
        for agent in (0..10).filter(|&a| a != silent) {
            fixture.announce(agent, AgentState::Ready);
        }
        fixture.run();
    }
    let (_, second) = *fixture.starts.last().expect("the request was hedged");
    assert_eq!((second.submission, second.attempt.0), (first.submission, 1));
    fixture.answer(second, done(second));
    assert_eq!(fixture.result(1_000).map(Result::is_ok), Some(true));
    assert!(
        fixture.cancels.contains(&first),
        "the slow attempt is cancelled"
    );
}

#[test]
fn replaced_agents_are_lost_at_once_and_removed_later() {
    let mut fixture = Fixture::new(4, service());
    let work = fixture.work(1, Kind::Job, 16);
    fixture.submit(work).expect("the queue has capacity");
    for incarnation in 2..200 {
        for agent in 0..4 {
            let id = fixture.agents[agent].clone();
            fixture.dispatcher.agent_disconnected(fixture.now, &id);
            fixture.agents[agent].incarnation = Incarnation(incarnation);
            fixture.announce(agent, AgentState::Ready);
            let id = fixture.agents[agent].clone();
            fixture.dispatcher.agent_connected(fixture.now, &id);
        }
        fixture.in_flight.clear();
        fixture.advance(Micros::from_millis(500));
    }
    assert!(fixture.result(1).is_some_and(Result::is_err));
    assert_eq!(fixture.dispatcher.counters().lost_agents, 4 * 198);
    fixture.advance(Micros::from_secs(61));
    assert_eq!(fixture.dispatcher.status(fixture.now).agents.len(), 4);
}
