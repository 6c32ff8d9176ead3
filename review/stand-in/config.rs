//! A configuration that is changed while a planner reads what operators have written.

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::deployment::{Deployment, Failure, GROWN_BOUNDS, Plan, ask, config, job, route};
use crate::record::Record;

/// The routes beside those that clients use: as many as the largest `big_config` of the sites adds.
const ROUTES: usize = 1_400;

/// The narrowest link of an `edge` machine, 19 Mbit/s, in bytes a second.
const LINK: u64 = 19_000_000 / 8;

/// The time from the evacuation to the change of the configuration.
const BETWEEN: Duration = Duration::from_millis(545);

/// `config_apply_ms`, from the acknowledgement of the configuration.
const APPLY: Duration = Duration::from_millis(3_000);

/// How long the planners are asked from then on.
const ASKED: Duration = Duration::from_secs(50);

/// A zone is evacuated, and half a second later a configuration replaces a route.
pub fn play(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let plan = Plan {
        config: document(10, "/old/"),
        link: Some(LINK),
        bounds: GROWN_BOUNDS,
    };
    record.write(&format!(
        "the configuration has {} bytes",
        plan.config.len()
    ));
    let deployment = Deployment::start(&plan, record)?;
    // The evacuation comes at any moment of the planners' waits for changes, which last half a second.
    thread::sleep(Duration::from_millis(u64::from(random_below(500))));
    if trouble {
        deployment.store.put("op/evacuate/zone-c", "{}");
        record.write("the operator evacuates zone-c");
    }
    thread::sleep(BETWEEN);
    deployment.store.put("op/config", &document(11, "/new/"));
    let acknowledged = Instant::now();
    record.write("configuration 11 is acknowledged: /old/ is dropped, /new/ is added");
    thread::sleep(APPLY + Duration::from_millis(500));
    let mut number = 0;
    let mut stale = 0;
    let mut last = Duration::ZERO;
    while acknowledged.elapsed() < APPLY + ASKED {
        for planner in &deployment.planners {
            number += 1;
            let path = format!("/new/{number:016x}");
            let wait = Duration::from_millis(1_500);
            let sent = acknowledged.elapsed();
            let answer = ask(
                record,
                planner.frontend(),
                "POST",
                &path,
                &job(1, 60, ""),
                wait,
            );
            if answer.is_some_and(|a| a.status == 404) {
                stale += 1;
                last = sent;
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    for planner in &deployment.planners {
        let version = planner.metric("chervilring_config_version");
        record.write(&format!("{} serves version {version:?}", planner.ip));
    }
    if stale == 0 {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "{stale} of {number} requests on a route of the acknowledged configuration were refused with \
         404, the last one sent {} ms after the acknowledgement",
        last.as_millis()
    )))
}

/// Returns a number that differs between runs.
fn random_below(limit: u32) -> u32 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |t| t.subsec_micros() % limit)
}

/// Returns a configuration of nearly a megabyte; names in it are as long as DNS allows.
fn document(version: u64, prefix: &str) -> String {
    let mut routes = vec![route("main", "/main/", 1_500), route(prefix, prefix, 1_500)];
    for number in 0..ROUTES {
        let label = "x".repeat(59);
        let host = format!("n{number:05}.{label}.{label}.{label}.example");
        let path = format!("/{number:05}{}/", "y".repeat(370));
        let row = route(&format!("r-{number:05}"), &path, 1_500);
        routes.push(row.replace(crate::deployment::HOST, &host));
    }
    config(version, &routes)
}
