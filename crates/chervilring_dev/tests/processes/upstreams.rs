//! Upstreams that die, leave or lose replies.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use chervilring_dev::process::{BOUND, Cluster, job, wait_for};
use chervilring_wire::{SubmissionId, Verdict};
use serde_json::json;

use crate::common::{BOOKING, Fixture, LOOKUP, WAIT};

/// Within which a leaving upstream must get no more new work.
const LEAVE: Duration = Duration::from_secs(3);

#[test]
fn job_fails_whole_when_an_upstream_dies_with_part_of_its_tasks() {
    let mut fixture = Fixture::start(&[1.0, 1.0]);
    let job = job(LOOKUP, 16, 1_000);
    let id = SubmissionId::generate().to_string();
    let cluster = &fixture.cluster;
    let response = thread::scope(|scope| {
        let caller = scope.spawn(|| cluster.put_job(0, &id, &job, WAIT));
        let both = || {
            let started = |i| cluster.starts_at(i).unwrap().of(&id) > 0;
            (started(0) && started(1)).then_some(())
        };
        let result = wait_for("both upstreams have part of the job", BOUND, both);
        cluster.workers[0].upstream.kill_soon();
        result.unwrap();
        caller.join().unwrap().unwrap()
    });
    assert_eq!(
        response.status,
        502,
        "{}",
        String::from_utf8_lossy(&response.body)
    );
    assert_eq!(response.verdict, Some(Verdict::MayHaveRun));
    for entry in 0..3 {
        let again = fixture.settle(entry, &id, &job);
        assert_eq!(again.status, 502);
        fixture.check_job(&id, 16, &again);
    }
}

#[test]
fn leaving_upstream_gets_no_new_work_after_three_seconds() {
    check_leaving(|cluster| {
        let upstream = &cluster.workers[0].upstream;
        cluster.delete(upstream, "/").unwrap();
    });
}

#[test]
fn stopping_agent_gives_no_new_work_after_three_seconds() {
    check_leaving(|cluster| cluster.workers[0].agent.terminate());
}

#[test]
fn upstream_of_a_frozen_agent_gets_no_new_work_after_three_seconds() {
    check_leaving(|cluster| cluster.workers[0].agent.pause());
}

/// Has the first worker leave under load, and counts what it starts after the bound.
fn check_leaving(leave: fn(&Cluster)) {
    let fixture = Fixture::start(&[4.0, 1.0]);
    let cluster = &fixture.cluster;
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        for caller in 0..8 {
            let over = &over;
            scope.spawn(move || {
                let headers = [("Chervilring-Timeout-Ms", "2000".to_owned())];
                while !over.load(Ordering::Acquire) {
                    // What a request that was running there gets is not the matter here.
                    let _ = cluster.post(caller % 3, LOOKUP, &headers, b"work_ms=20");
                }
            });
        }
        let total = |worker: usize| cluster.starts_at(worker).unwrap().total();
        let watch = || -> eyre::Result<(u64, u64)> {
            wait_for("it has work", BOUND, || (total(0) > 50).then_some(()))?;
            let left = Instant::now();
            leave(cluster);
            wait_for("the bound is over", BOUND, || {
                (left.elapsed() > LEAVE).then_some(())
            })?;
            let (at_bound, other) = (total(0), total(1));
            wait_for("the other goes on", BOUND, || {
                (total(1) > other + 50).then_some(())
            })?;
            Ok((at_bound, total(0)))
        };
        let result = watch();
        over.store(true, Ordering::Release);
        cluster.workers[0].agent.resume();
        let (at_bound, later) = result.unwrap();
        assert_eq!(at_bound, later, "starts after the bound");
    });
}

#[test]
fn reply_lost_after_the_run_does_not_run_again() {
    let mut fixture = Fixture::start(&[1.0, 1.0]);
    let cluster = &fixture.cluster;
    for worker in &cluster.workers {
        cluster
            .set_faults(&worker.upstream, &json!({ "drop": true }))
            .unwrap();
    }
    let id = SubmissionId::generate().to_string();
    let headers = [("Idempotency-Key", id.clone())];
    for entry in [0, 1, 2, 0] {
        let response = fixture
            .cluster
            .post(entry, BOOKING, &headers, b"bay 4")
            .unwrap();
        assert_eq!(response.status, 502);
        assert_eq!(response.verdict, Some(Verdict::MayHaveRun));
        assert_eq!(fixture.cluster.starts().unwrap().of(&id), 1);
    }
}
