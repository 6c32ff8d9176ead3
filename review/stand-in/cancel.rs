//! A job that is cancelled at another daemon than the one that has it.

use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{Deployment, Failure, Plan, SMALL_BOUNDS, ask, config, job, route};
use crate::record::Record;

/// `cancel_ms` and `stop_timeout_ms`.
const GONE: Duration = Duration::from_millis(3_000 + 50);

/// What is added to that before the workers are looked at.
const MARGIN: Duration = Duration::from_millis(250);

/// How long a client waits for its job.
const WAIT: Duration = Duration::from_secs(12);

/// How long a client waits for the answer to its cancel.
const SHORT: Duration = Duration::from_secs(1);

fn start(record: &Record) -> Result<Deployment, Failure> {
    let plan = Plan {
        config: config(10, &[route("main", "/main/", 12_000)]),
        link: None,
        bounds: SMALL_BOUNDS,
    };
    Deployment::start(&plan, record)
}

/// A job is sent to one daemon and its cancel to another, or without trouble to the same one.
pub fn play(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let deployment = start(record)?;
    let id = "00000000000000c1";
    let path = format!("/main/{id}");
    let planner = deployment.planners[0].frontend();
    let (own, job_path) = (record.clone(), path.clone());
    let client =
        thread::spawn(move || ask(&own, planner, "POST", &job_path, &job(2, 8_000, ""), WAIT));
    thread::sleep(Duration::from_secs(1));
    if deployment.active(id).is_empty() {
        return Err("the job has not begun".into());
    }
    let at = deployment.planners[usize::from(trouble)].frontend();
    let answer = ask(record, at, "DELETE", &path, "", SHORT).ok_or("the cancel gets no answer")?;
    if !(200..300).contains(&answer.status) && answer.status != 410 {
        return Err(format!("the cancel is answered {}", answer.status).into());
    }
    thread::sleep(GONE + MARGIN);
    let active = deployment.active(id);
    record.write(&format!(
        "at work {:?} after the cancel's answer: {active:?}",
        GONE + MARGIN
    ));
    let answer = client.join().map_err(|_| "the client panicked")?;
    if active.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "{} tasks of a job run {:?} after its cancel was acknowledged; its client was answered {:?}",
        active.len(),
        GONE + MARGIN,
        answer.map(|a| a.body)
    )))
}
