//! A worker that crashes and starts again under its id as another kind.

use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{
    Deployment, FIRST_KIND, Failure, OTHER_KIND, Plan, SMALL_BOUNDS, ask, config, job, route,
};
use crate::record::Record;

/// How often the worker crashes.
const ROUNDS: u64 = 5;

/// The time from the crash to the client's job.
const TO_JOB: Duration = Duration::from_millis(60);

/// The time from the crash until the worker is back.
const DOWN: Duration = Duration::from_millis(300);

/// A job that requires the label `b` is sent while the only worker with it is down; the worker comes
/// back as kind `a`.
pub fn play(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let plan = Plan {
        config: config(10, &[route("main", "/main/", 1_500)]),
        link: None,
        bounds: SMALL_BOUNDS,
    };
    let mut deployment = Deployment::start(&plan, record)?;
    let mut wrong = Vec::new();
    for round in 1..=ROUNDS {
        let id = format!("{round:016x}");
        if trouble {
            deployment.crash(0);
        }
        thread::sleep(TO_JOB);
        let planner = deployment.planners[0].frontend();
        let (path, body) = (
            format!("/main/{id}"),
            job(1, 900, &format!(",\"required_label\":\"{FIRST_KIND}\"")),
        );
        let own = record.clone();
        let wait = Duration::from_millis(1_500);
        let client = thread::spawn(move || ask(&own, planner, "POST", &path, &body, wait));
        thread::sleep(DOWN - TO_JOB);
        if trouble {
            deployment.set_kind(0, OTHER_KIND);
            deployment.restart(0)?;
        }
        client.join().map_err(|_| "the client panicked")?;
        let starts = record.starts(&id);
        wrong.extend(
            starts
                .into_iter()
                .filter(|s| !s.labels.iter().any(|l| l == FIRST_KIND)),
        );
        // The worker becomes one of kind b again for the next round.
        if trouble {
            thread::sleep(Duration::from_secs(2));
            deployment.crash(0);
            thread::sleep(Duration::from_secs(2));
            deployment.set_kind(0, FIRST_KIND);
            deployment.restart(0)?;
            thread::sleep(Duration::from_secs(4));
        }
    }
    if wrong.is_empty() {
        return Ok(Verdict::Held);
    }
    let first = &wrong[0];
    Ok(Verdict::Broken(format!(
        "{} starts of tasks that require the label b on a worker without it, such as {} run {} on one \
         with {:?}",
        wrong.len(),
        first.task,
        first.attempt,
        first.labels
    )))
}
