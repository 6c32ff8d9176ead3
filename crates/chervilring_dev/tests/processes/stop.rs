//! Planned stops under load.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use chervilring_dev::process::{BOUND, Cluster, Process, Starts, wait_for};
use chervilring_wire::{SubmissionId, Verdict};

use crate::common::{BOOKING, Fixture};

const CALLERS: usize = 12;

/// Requests that must be answered before and after the stop.
const SOME: usize = 60;

const CALL: Duration = Duration::from_secs(30);

/// What became of a request.
#[derive(Debug, Clone, PartialEq)]
enum Outcome {
    Answered,
    NotRun,
    CutOff(String),
}

#[test]
fn stop_of_an_entry_cuts_off_no_request() {
    check_stop(|cluster| vec![&cluster.entries[0]]);
}

#[test]
fn stop_of_an_agent_cuts_off_no_request() {
    check_stop(|cluster| vec![&cluster.workers[0].agent]);
}

#[test]
fn stop_of_an_entry_and_an_agent_together_cuts_off_no_request() {
    check_stop(|cluster| vec![&cluster.entries[1], &cluster.workers[1].agent]);
}

/// Stops processes under load and checks every request against what the upstreams started.
fn check_stop(choose: fn(&Cluster) -> Vec<&Process>) {
    let mut fixture = Fixture::start(&[1.0, 1.0, 0.5]);
    let cluster = &fixture.cluster;
    let over = AtomicBool::new(false);
    let outcomes = Mutex::new(Vec::new());
    let count = || outcomes.lock().unwrap().len();
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (over, outcomes) = (&over, &outcomes);
            scope.spawn(move || call(cluster, caller, over, outcomes));
        }
        let stop = || -> eyre::Result<()> {
            wait_for("requests before the stop", BOUND, || {
                (count() > SOME).then_some(())
            })?;
            let chosen = choose(cluster);
            for process in &chosen {
                process.terminate();
            }
            for process in chosen {
                let gone = || (!process.is_listening()).then_some(());
                wait_for("the process stops", BOUND, gone)?;
            }
            let more = count() + SOME;
            wait_for("requests after the stop", BOUND, || {
                (count() > more).then_some(())
            })
        };
        let result = stop();
        over.store(true, Ordering::Release);
        result.unwrap();
    });
    let starts = fixture.cluster.starts().unwrap();
    for (id, outcome) in outcomes.into_inner().unwrap() {
        check(&id, &outcome, &starts);
    }
}

fn check(id: &str, outcome: &Outcome, starts: &Starts) {
    let expected = match outcome {
        Outcome::Answered => 1,
        Outcome::NotRun => 0,
        Outcome::CutOff(how) => panic!("request {id} was cut off: {how}"),
    };
    assert_eq!(starts.of(id), expected, "request {id}: {outcome:?}");
}

/// Sends requests one after the other, each to the first entry that takes it.
fn call(
    cluster: &Cluster,
    caller: usize,
    over: &AtomicBool,
    outcomes: &Mutex<Vec<(String, Outcome)>>,
) {
    let order: Vec<usize> = (0..3).map(|i| (caller + i) % 3).collect();
    let client = cluster.client(&order, CALL).unwrap();
    let path = format!("/v1/services/{BOOKING}/requests");
    while !over.load(Ordering::Acquire) {
        let id = SubmissionId::generate().to_string();
        let headers = [("Idempotency-Key", id.clone())];
        let outcome = match client.send("POST", &path, &headers, Some(b"work_ms=30")) {
            Ok(response) if response.is_success() => Outcome::Answered,
            Ok(response) if response.verdict == Some(Verdict::NotRun) => Outcome::NotRun,
            Ok(response) => Outcome::CutOff(String::from_utf8_lossy(&response.body).into()),
            Err(error) => Outcome::CutOff(error.message),
        };
        outcomes.lock().unwrap().push((id, outcome));
    }
}
