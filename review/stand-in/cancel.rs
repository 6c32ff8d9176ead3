//! Jobs that are cancelled.

use std::thread;
use std::time::{Duration, Instant};

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

/// `config_apply_ms`, with half a second more.
const APPLY: Duration = Duration::from_millis(2_500);

/// `ack_ms`.
const ACK: Duration = Duration::from_millis(4_000);

/// How long the tasks of a job take whose cancel is not acknowledged.
const LONG_JOB: Duration = Duration::from_secs(14);

/// `retransmit_ms`.
const RESEND: Duration = Duration::from_millis(1_300);

fn start(record: &Record) -> Result<Deployment, Failure> {
    let plan = Plan {
        planners: 3,
        workers: vec![vec!["a", "r1-0"], vec!["a", "r1-1"], vec!["a", "r1-2"]],
        config: config(10, &[route("main", "/main/", 12_000)]),
        link: None,
        bounds: SMALL_BOUNDS,
    };
    Deployment::start(&plan, record)
}

/// A job is sent to one daemon and its cancel to another, or without trouble to the same one.
pub fn elsewhere(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
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

/// A job is cancelled at the daemon that has it; its client, which is another one, sends it again after
/// the 504 as the protocol says.
pub fn resent(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let deployment = start(record)?;
    let id = "00000000000000c2";
    let path = format!("/main/{id}");
    let planner = deployment.planners[0].frontend();
    let (own, job_path) = (record.clone(), path.clone());
    let client = thread::spawn(move || {
        let body = job(2, 4_000, "");
        let answer = ask(&own, planner, "POST", &job_path, &body, WAIT);
        if answer.is_some_and(|a| a.status != 502 && a.status != 504) {
            return;
        }
        thread::sleep(RESEND);
        ask(&own, planner, "POST", &job_path, &body, WAIT);
    });
    thread::sleep(Duration::from_secs(1));
    if deployment.active(id).is_empty() {
        return Err("the job has not begun".into());
    }
    let mut cancelled = Instant::now();
    if trouble {
        let answer = ask(record, planner, "DELETE", &path, "", SHORT);
        cancelled = Instant::now();
        if answer.is_none_or(|a| a.status != 200) {
            return Err("the cancel is not answered 200".into());
        }
    }
    thread::sleep((GONE + MARGIN).saturating_sub(cancelled.elapsed()));
    let active = deployment.active(id);
    record.write(&format!("at work {:?} later: {active:?}", GONE + MARGIN));
    client.join().map_err(|_| "the client panicked")?;
    if !trouble || active.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "{} tasks of a job run {:?} after its cancel was answered 200",
        active.len(),
        GONE + MARGIN
    )))
}

/// The route of a job is removed from the configuration while it runs; then its client cancels it, again and
/// again until it gets an acknowledgement.
pub fn dropped_route(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let deployment = start(record)?;
    let id = "00000000000000c3";
    let path = format!("/main/{id}");
    let planner = deployment.planners[0].frontend();
    let (own, job_path) = (record.clone(), path.clone());
    let client = thread::spawn(move || {
        let wait = LONG_JOB + Duration::from_secs(2);
        let body = job(2, LONG_JOB.as_millis() as u64, "");
        ask(&own, planner, "POST", &job_path, &body, wait)
    });
    thread::sleep(Duration::from_secs(1));
    if deployment.active(id).is_empty() {
        return Err("the job has not begun".into());
    }
    if trouble {
        let routes = [route("other", "/other/", 12_000)];
        deployment.store.put("op/config", &config(11, &routes));
        record.write("configuration 11 is acknowledged: /main/ is dropped");
        thread::sleep(APPLY);
    }
    let asked = Instant::now();
    let mut acknowledged = None;
    while acknowledged.is_none() && asked.elapsed() < ACK {
        let answer = ask(record, planner, "DELETE", &path, "", SHORT);
        let is_ack = |status: u16| (200..300).contains(&status) || status == 410;
        acknowledged = answer.filter(|a| is_ack(a.status));
        thread::sleep(Duration::from_millis(500));
    }
    thread::sleep((ACK + GONE + MARGIN).saturating_sub(asked.elapsed()));
    let active = deployment.active(id);
    record.write(&format!(
        "at work {:?} after the first cancel: {active:?}",
        asked.elapsed()
    ));
    client.join().map_err(|_| "the client panicked")?;
    if active.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "{} tasks of a job run {:?} after its client began to cancel it",
        active.len(),
        ACK + GONE + MARGIN
    )))
}
