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

/// The time from that heartbeat to the clients' jobs, and from there to the end of the runner.
const TO_JOB: Duration = Duration::from_millis(40);
const TO_KILL: Duration = Duration::from_millis(100);

/// How long the runner is down.
const RUNNER_DOWN: Duration = Duration::from_secs(3);

/// How long clients wait.
const WAIT: Duration = Duration::from_millis(1_500);

/// The jobs before the crash and after it, and the tasks of each.
const FIRST_JOBS: u64 = 3;
const SECOND_JOBS: u64 = 8;
const TASKS: u32 = 8;

/// How long a task takes, in milliseconds.
const TASK_MS: u64 = 750;

/// How often this is played.
const ROUNDS: u64 = 5;

/// An overlap below this may be one of the stand-ins' threads only.
const LEAST: Duration = Duration::from_millis(20);

/// The worker crashes under its runs and is back at once; jobs begin there, and the runner is killed.
pub fn play(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let plan = Plan {
        config: config(10, &[route("main", "/main/", 1_500)]),
        link: None,
        bounds: SMALL_BOUNDS,
    };
    let mut deployment = Deployment::start(&plan, record)?;
    deployment.set_silent(0, SILENT);
    for round in 1..=ROUNDS {
        let first = send(record, &deployment, 100 * round, FIRST_JOBS);
        thread::sleep(Duration::from_millis(300));
        if trouble {
            deployment.crash(0);
        }
        thread::sleep(DOWN);
        if trouble {
            deployment.restart(0)?;
        }
        thread::sleep(SILENT + TO_JOB);
        let second = send(record, &deployment, 100 * round + 50, SECOND_JOBS);
        thread::sleep(TO_KILL);
        deployment.runners[0].kill(record);
        thread::sleep(RUNNER_DOWN);
        deployment.runners[0].start(record)?;
        for client in first.into_iter().chain(second) {
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

/// Sends jobs, each on a thread of its own.
fn send(
    record: &Record,
    deployment: &Deployment,
    first: u64,
    jobs: u64,
) -> Vec<thread::JoinHandle<()>> {
    let client = |number: u64| {
        let place = number as usize % deployment.planners.len();
        let planner = deployment.planners[place].frontend();
        let record = record.clone();
        thread::spawn(move || {
            let path = format!("/main/{number:016x}");
            ask(
                &record,
                planner,
                "POST",
                &path,
                &job(TASKS, TASK_MS, ""),
                WAIT,
            );
        })
    };
    (first..first + jobs).map(client).collect()
}
