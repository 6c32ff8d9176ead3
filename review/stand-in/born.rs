//! A worker that goes down and up while the time of day on its machine jumps back.

use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{
    Deployment, FIRST_KIND, Failure, Plan, SMALL_BOUNDS, ask, config, job, route,
};
use crate::record::Record;

/// How long the worker is down after each of its two crashes, and up between them.
const HALF: Duration = Duration::from_millis(700);

/// How far the time of day jumps back, and for how long.
const BEHIND_MS: u64 = 2_400;
const JUMP: Duration = Duration::from_secs(6);

/// `contact_ms`, with a second more: the machine is in touch then.
const CONTACT: Duration = Duration::from_secs(4);

/// `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Jobs that are sent before and after the worker drains.
const JOBS: u64 = 3;

/// The worker starts twice; the time of day jumps back in between, so that `born` falls. Later it
/// drains.
pub fn play(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let plan = Plan {
        config: config(10, &[route("main", "/main/", 1_500)]),
        link: None,
        bounds: SMALL_BOUNDS,
    };
    let mut deployment = Deployment::start(&plan, record)?;
    deployment.crash(0);
    thread::sleep(HALF);
    deployment.restart(0)?;
    thread::sleep(HALF / 2);
    if trouble {
        deployment.set_behind(0, BEHIND_MS);
    }
    thread::sleep(HALF / 2);
    deployment.crash(0);
    thread::sleep(HALF);
    deployment.restart(0)?;
    thread::sleep(JUMP);
    deployment.set_behind(0, 0);
    thread::sleep(CONTACT);
    send(record, &deployment, 0);
    let worker = deployment.workers[0].as_ref().ok_or("no worker")?;
    if !worker.drain() {
        return Err("the draining worker is not acknowledged".into());
    }
    let acknowledged = Instant::now();
    record.write("the runner acknowledges that the worker is draining");
    thread::sleep(DRAIN + Duration::from_millis(500));
    let after = acknowledged.elapsed();
    send(record, &deployment, JOBS);
    let starts = |n: u64| record.starts(&format!("{n:016x}")).len();
    let before: usize = (1..=JOBS).map(starts).sum();
    let late: usize = (JOBS + 1..=2 * JOBS).map(starts).sum();
    record.write(&format!("starts before: {before}, {after:?} after: {late}"));
    if before == 0 {
        return Err("the worker has no starts before it drains".into());
    }
    if late == 0 {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "{late} starts on a worker later than {after:?} after its draining was acknowledged"
    )))
}

/// Sends jobs that only this worker can run, one after the other.
fn send(record: &Record, deployment: &Deployment, after: u64) {
    for number in after + 1..=after + JOBS {
        let planner = deployment.planners[number as usize % deployment.planners.len()].frontend();
        let path = format!("/main/{number:016x}");
        let body = job(1, 60, &format!(",\"required_label\":\"{FIRST_KIND}\""));
        ask(
            record,
            planner,
            "POST",
            &path,
            &body,
            Duration::from_millis(1_500),
        );
    }
}
