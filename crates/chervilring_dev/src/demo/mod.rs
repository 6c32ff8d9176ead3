//! The demo: a whole deployment on this machine, and what it does when an entry is killed.

mod killing;
mod report;

use std::path::Path;
use std::time::{Duration, Instant};

use chervilring::Response;
use chervilring_wire::{SubmissionId, Verdict};
use eyre::{ensure, eyre};
use serde_json::{Value, json};

use crate::process::{Cluster, ClusterPlan, WorkerPlan, job, service};
use report::{print, seconds};

/// The service of most of the demo.
const LOOKUP: &str = "lookup";

/// The service that the second note adds; it must not run twice.
const BOOKING: &str = "booking";

/// How many times as fast as declared each upstream works.
const SPEEDS: [f64; 5] = [2.0, 1.5, 1.0, 0.7, 0.4];

const ENTRIES: usize = 3;
const TASKS: usize = 200;
const TASK_MS: u64 = 60;

/// How long a caller waits for a job.
const WAIT: Duration = Duration::from_secs(20);

/// Within which an accepted note must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(7);

/// Runs the demo with the developers' program at `binary`.
///
/// # Errors
///
/// Returns what did not turn out as it must.
pub fn run(binary: &Path) -> eyre::Result<()> {
    let start = Instant::now();
    let mut plan = ClusterPlan::new(binary).entries(ENTRIES);
    for speed in SPEEDS {
        let worker = WorkerPlan::new(LOOKUP).service(BOOKING).speed(speed);
        plan = plan.worker(worker);
    }
    let mut cluster = Cluster::start(plan)?;
    report::processes(&cluster, &SPEEDS, start.elapsed());
    if let Err(error) = show(&mut cluster) {
        eprintln!("{}", cluster.report());
        return Err(error);
    }
    let stop = Instant::now();
    cluster.stop()?;
    print(&format!(
        "all processes stopped in {}",
        seconds(stop.elapsed())
    ));
    print(&format!("the demo took {}", seconds(start.elapsed())));
    Ok(())
}

fn show(cluster: &mut Cluster) -> eyre::Result<()> {
    let lookup = service(LOOKUP, true, "10s");
    let took = cluster.add_services(0, &[lookup], IN_FORCE)?;
    print(&format!(
        "first note (adds {LOOKUP}): in force everywhere after {}",
        seconds(took)
    ));
    show_request(cluster)?;
    show_job(cluster)?;
    let booking = service(BOOKING, false, "10s");
    let took = cluster.add_services(1, &[booking], IN_FORCE)?;
    print(&format!(
        "second note (adds {BOOKING}): in force everywhere after {}",
        seconds(took)
    ));
    show_booking(cluster)?;
    killing::show(cluster)
}

fn show_request(cluster: &Cluster) -> eyre::Result<()> {
    let body = json!({ "part": "front wheel", "work_ms": 50 }).to_string();
    let headers = [("Content-Type", "application/json".to_owned())];
    let start = Instant::now();
    let response = cluster
        .post(0, LOOKUP, &headers, body.as_bytes())?
        .check()?;
    let took = start.elapsed();
    let text = String::from_utf8_lossy(&response.body).into_owned();
    print(&format!(
        "request at e1, answered in {}: {text}",
        seconds(took)
    ));
    Ok(())
}

/// Submits a job at one entry, and again at another.
fn show_job(cluster: &mut Cluster) -> eyre::Result<()> {
    let id = SubmissionId::generate().to_string();
    let job = job(LOOKUP, TASKS, TASK_MS);
    let start = Instant::now();
    let first = cluster.put_job(0, &id, &job, WAIT)?.check()?;
    let took = start.elapsed();
    let outputs = outputs(&first)?;
    ensure!(
        outputs.len() == TASKS,
        "{} of {TASKS} outputs",
        outputs.len()
    );
    let by_upstream = report::by_upstream(&outputs);
    print(&format!(
        "job of {TASKS} tasks of {TASK_MS} ms at e1, answered in {}",
        seconds(took)
    ));
    print(&format!("  outputs by upstream: {by_upstream}"));
    let before = cluster.starts()?;
    ensure!(before.of(&id) == TASKS as u64, "{} starts", before.of(&id));

    let start = Instant::now();
    let second = cluster.put_job(1, &id, &job, WAIT)?.check()?;
    let took = start.elapsed();
    ensure!(
        second.body == first.body,
        "the second answer differs from the first"
    );
    let further = cluster.starts()?.total() - before.total();
    print(&format!(
        "same job at e2: the same answer in {}, {further} further starts at the upstreams",
        seconds(took)
    ));
    ensure!(further == 0, "{further} further starts");
    Ok(())
}

/// Submits a request that must not run twice, twice.
fn show_booking(cluster: &mut Cluster) -> eyre::Result<()> {
    let id = SubmissionId::generate().to_string();
    let headers = [("Idempotency-Key", id.clone())];
    for entry in 0..ENTRIES {
        cluster.post(entry, BOOKING, &headers, b"bay 4")?.check()?;
    }
    let starts = cluster.starts()?.of(&id);
    print(&format!(
        "booking sent to each entry with one id: started {starts} time"
    ));
    ensure!(starts == 1, "{starts} starts");
    let other = cluster.post(2, BOOKING, &headers, b"bay 5")?;
    let verdict = other.verdict.map_or("none", Verdict::as_str);
    print(&format!(
        "same id with another body: status {}, {verdict}",
        other.status
    ));
    ensure!(other.status == 409, "status {}", other.status);
    Ok(())
}

fn outputs(response: &Response) -> eyre::Result<Vec<Value>> {
    let document: Value = serde_json::from_slice(&response.body)?;
    let tasks = document["tasks"].as_array().cloned();
    tasks.ok_or_else(|| eyre!("no outputs in {document}"))
}
