//! Replay against real processes on loopback: entries, agents, stand-ins of upstreams and store.
//!
//! Loopback lacks the deployment's latencies; its shortest round trip is added to each response,
//! so that responses can be held against the same ideal. Messages are not counted.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use chervilring::Response;
use chervilring_core::dispatch::DispatchCounters;
use chervilring_wire::{Failure, Kind, Micros, Reason, SubmissionId, Verdict};
use eyre::{bail, eyre};
use rustc_hash::FxHashMap;
use serde_json::{Value, json};

use super::measure::{Ending, Fate, Played, Tally};
use super::trace::{Arrival, Change, Fault, Trace};
use crate::process::{BOUND, Cluster, ClusterPlan, WorkerPlan, service};

/// How long a caller waits beyond its patience for the final answer.
const GRACE: Duration = Duration::from_secs(5);

/// The stack of a caller's thread, in bytes.
const STACK: usize = 256 << 10;

/// Plays a trace against processes of the developers' program at `binary`.
///
/// # Errors
///
/// Returns an error when processes do not start, or the trace has a fault that only the decision
/// core can be shown.
pub fn play_processes(trace: &Trace, binary: &Path) -> eyre::Result<Played> {
    check_faults(&trace.faults)?;
    let deployment = &trace.head.deployment;
    let mut plan = ClusterPlan::new(binary).entries(deployment.domains.len());
    for worker in &deployment.workers {
        let plan_worker = WorkerPlan::new(&deployment.service)
            .speed(1.0 / worker.slowness)
            .slots(worker.slots)
            .connections(worker.connections);
        plan = plan.worker(plan_worker);
    }
    let mut cluster = Cluster::start(plan)?;
    cluster.add_services(0, &[document(trace)], BOUND)?;
    let fates = play_all(&cluster, trace)?;
    let tally = tally(&mut cluster, trace, &fates)?;
    cluster.stop()?;
    Ok(Played {
        counters: vec![DispatchCounters::default()],
        fates: fates.into_iter().map(|(fate, _)| fate).collect(),
        tally,
    })
}

fn check_faults(faults: &[Fault]) -> eyre::Result<()> {
    for fault in faults {
        if let Change::Lose { .. } | Change::Return { .. } | Change::Restart { .. } = fault.change {
            bail!("hosts that go and come are played with --core only");
        }
    }
    Ok(())
}

/// Returns the service of a trace, as a release note has it.
fn document(trace: &Trace) -> Value {
    let mut document = service(&trace.head.deployment.service, true, "15s");
    document["rules"]["hedge_percent"] = json!(5);
    for (team, rate) in &trace.head.quotas {
        document["quotas"][team.as_str()] = json!({ "rate": rate, "burst": rate });
    }
    document
}

/// Sends all arrivals at their times, and puts faults in force.
fn play_all(cluster: &Cluster, trace: &Trace) -> eyre::Result<Vec<(Fate, Option<String>)>> {
    let start = Instant::now();
    let until = |at: Micros| {
        let due = start + Duration::from_micros(at.0);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    };
    thread::scope(|scope| {
        let faults = scope.spawn(move || -> eyre::Result<()> {
            for fault in &trace.faults {
                until(fault.at);
                put_fault(cluster, &fault.change)?;
            }
            Ok(())
        });
        let mut callers = Vec::with_capacity(trace.arrivals.len());
        for (index, arrival) in trace.arrivals.iter().enumerate() {
            until(arrival.at);
            let builder = thread::Builder::new().stack_size(STACK);
            let call = move || call(cluster, trace, index, arrival, start);
            callers.push(builder.spawn_scoped(scope, call)?);
        }
        let joined = callers.into_iter().map(thread::ScopedJoinHandle::join);
        let fates: Vec<_> = joined
            .map(|fate| fate.map_err(|_| eyre!("a caller panicked"))?)
            .collect::<eyre::Result<_>>()?;
        faults.join().map_err(|_| eyre!("the faults panicked"))??;
        Ok(fates)
    })
}

fn put_fault(cluster: &Cluster, change: &Change) -> eyre::Result<()> {
    let (worker, faults) = match change {
        Change::Slow { worker, factor } => (*worker, json!({ "slow": factor })),
        Change::Fail { worker } => (*worker, json!({ "fail": true })),
        Change::Mute { worker } => (*worker, json!({ "hang": true })),
        Change::Heal { worker } => (*worker, json!({})),
        Change::Store { up } => {
            let down = if *up { "no" } else { "hang" };
            return cluster.set_faults(&cluster.platform, &json!({ "down": down }));
        }
        Change::Lose { .. } | Change::Return { .. } | Change::Restart { .. } => return Ok(()),
    };
    cluster.set_faults(&cluster.workers[worker].upstream, &faults)
}

/// Sends one submission and waits for its final answer.
fn call(
    cluster: &Cluster,
    trace: &Trace,
    index: usize,
    arrival: &Arrival,
    start: Instant,
) -> eyre::Result<(Fate, Option<String>)> {
    let entry = index % cluster.entries.len();
    let timeout = Duration::from_micros(arrival.patience.0) + GRACE;
    let client = cluster.client(&[entry], timeout)?;
    let service = arrival.service.as_ref();
    let service = service.unwrap_or(&trace.head.deployment.service);
    let millis = arrival.patience.0 / 1_000;
    let bodies = arrival.runs.iter();
    let mut bodies = bodies.map(|&run| json!({ "work_ms": f64::from(run) / 1_000.0 }));
    let id = SubmissionId::generate().to_string();
    let mut headers = vec![
        ("Content-Type", "application/json".to_owned()),
        ("Chervilring-Team", arrival.team.to_string()),
        ("Chervilring-Timeout-Ms", millis.to_string()),
    ];
    let (method, path, body) = match arrival.kind {
        Kind::Request => {
            if arrival.keyed {
                headers.push(("Idempotency-Key", id.clone()));
            }
            if !arrival.idempotent {
                headers.push(("Chervilring-Idempotent", "no".to_owned()));
            }
            let path = format!("/v1/services/{service}/requests");
            ("POST", path, bodies.next().unwrap_or_default())
        }
        Kind::Job => {
            headers.push(("Prefer", format!("wait={}", timeout.as_secs())));
            let tasks: Vec<Value> = bodies.collect();
            let team = arrival.team.as_str();
            let body = json!({
                "service": &**service, "team": team, "timeout_ms": millis, "tasks": tasks,
            });
            ("PUT", format!("/v1/jobs/{id}"), body)
        }
    };
    let body = serde_json::to_vec(&body)?;
    let response = client.send(method, &path, &headers, Some(&body));
    let trip = trace.head.deployment.round_trip();
    let at = Micros(start.elapsed().as_micros() as u64) + trip;
    let mut fate = Fate {
        at,
        ..Fate::default()
    };
    let Ok(response) = response else {
        return Ok((fate, None));
    };
    fate.accepted = 1;
    fate.endings = 1;
    fate.ending = ending(arrival, &response);
    Ok((fate, response.id))
}

/// Returns how a submission ended, by the answer to its caller.
fn ending(arrival: &Arrival, response: &Response) -> Option<Ending> {
    let document: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    if response.status == 200 {
        let whole = match arrival.kind {
            Kind::Request => true,
            Kind::Job => document["tasks"].as_array().map(Vec::len) == Some(arrival.runs.len()),
        };
        return whole.then_some(Ending::Complete);
    }
    let reason = serde_json::from_value(document["reason"].clone());
    let failure = Failure {
        verdict: response.verdict.unwrap_or(Verdict::MayHaveRun),
        reason: reason.unwrap_or(Reason::UnknownId),
        retry_after: document["retry_after_ms"].as_u64().map(Micros::from_millis),
    };
    if failure.verdict == Verdict::NotRun {
        Some(Ending::Refused(failure))
    } else {
        Some(Ending::Failed(failure))
    }
}

/// Holds the answers against what the upstreams have counted.
fn tally(
    cluster: &mut Cluster,
    trace: &Trace,
    fates: &[(Fate, Option<String>)],
) -> eyre::Result<Tally> {
    let starts = cluster.starts()?;
    let mut tally = Tally::default();
    let ids: FxHashMap<&str, usize> = fates
        .iter()
        .enumerate()
        .filter_map(|(index, (_, id))| Some((id.as_deref()?, index)))
        .collect();
    let mut started = vec![false; fates.len()];
    for (task, count) in &starts.0 {
        let id = task.split('/').next().unwrap_or_default();
        let Some(&index) = ids.get(id) else { continue };
        started[index] = true;
        let arrival = &trace.arrivals[index];
        let repeatable = arrival.idempotent && arrival.kind == Kind::Request;
        if *count > 1 && !repeatable {
            let text = format!("{task} was started {count} times");
            tally.violations.push(text);
        }
    }
    for (index, (fate, _)) in fates.iter().enumerate() {
        let mut fate = fate.clone();
        fate.started = started[index];
        tally.turned_away += u64::from(matches!(fate.ending, Some(Ending::Refused(_))));
        fate.check(&trace.arrivals[index], index, &mut tally.violations);
        if fate.ending.is_none() {
            tally
                .violations
                .push(format!("submission {index} has no whole answer"));
        }
    }
    Ok(tally)
}
