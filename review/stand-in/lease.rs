//! A worker that crashes and starts again under its id, and whose runner is killed soon after.

use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{Deployment, Failure, Plan, SMALL_BOUNDS, ask, config, job, route};
use crate::record::Record;

/// How long the worker is down.
const DOWN: Duration = Duration::from_millis(100);

/// The time from its start to its first heartbeat.
const SILENT: Duration = Duration::from_millis(90);

/// The time from that heartbeat to the client's job, and from there to the end of the runner.
const TO_JOB: Duration = Duration::from_millis(40);
const TO_KILL: Duration = Duration::from_millis(100);

/// How long the runner is down.
const RUNNER_DOWN: Duration = Duration::from_secs(3);

/// How long clients wait.
const WAIT: Duration = Duration::from_millis(3_000);

/// How often this is played.
const ROUNDS: u64 = 5;

/// An overlap below this may be one of the stand-ins' threads only.
const LEAST: Duration = Duration::from_millis(20);

/// The worker crashes under its runs and is back at once; a job begins there, and the runner is killed.
pub fn play(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let plan = Plan {
        planners: 3,
        workers: vec![vec!["a", "r1-0"], vec!["a", "r1-1"], vec!["a", "r1-2"]],
        config: config(10, &[route("main", "/main/", 3_000)]),
        link: None,
        bounds: SMALL_BOUNDS,
    };
    let mut deployment = Deployment::start(&plan, record)?;
    deployment.set_silent(0, SILENT);
    for round in 1..=ROUNDS {
        let first = send(record, &deployment, 2 * round, 6);
        thread::sleep(Duration::from_millis(300));
        if trouble {
            deployment.crash(0);
        }
        thread::sleep(DOWN);
        if trouble {
            deployment.restart(0)?;
        }
        thread::sleep(SILENT + TO_JOB);
        let second = send(record, &deployment, 2 * round + 1, 16);
        thread::sleep(TO_KILL);
        deployment.runners[0].kill(record);
        thread::sleep(RUNNER_DOWN);
        deployment.runners[0].start(record)?;
        for client in [first, second] {
            client.join().map_err(|_| "a client panicked")?;
        }
        thread::sleep(Duration::from_secs(5));
    }
    let mut overlaps = record.overlaps();
    overlaps.retain(|o| o.lasted >= LEAST);
    let Some(longest) = overlaps.iter().max_by_key(|o| o.lasted) else {
        return Ok(Verdict::Held);
    };
    Ok(Verdict::Broken(format!(
        "{} tasks had two runs at the same time, {} for {:?}",
        overlaps.len(),
        longest.task,
        longest.lasted
    )))
}

/// Sends a job of tasks of a second on a thread of its own.
fn send(
    record: &Record,
    deployment: &Deployment,
    number: u64,
    tasks: u32,
) -> thread::JoinHandle<()> {
    let planner = deployment.planners[1].frontend();
    let record = record.clone();
    thread::spawn(move || {
        let path = format!("/main/{number:016x}");
        let body = job(tasks, 1_000, "");
        ask(&record, planner, "POST", &path, &body, WAIT);
    })
}
