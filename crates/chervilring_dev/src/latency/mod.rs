//! How much time a request spends in entry and agent, and what it costs the entry.
//!
//! Callers send requests in closed loops to a real entry on loopback, whose upstreams sleep for a
//! stated time. What a request takes beyond that is recorded, and once more for requests that are
//! sent straight to an upstream: the difference is what entry and agent add.

mod load;
mod usage;

use std::path::Path;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;

use crate::process::{BOUND, Cluster, ClusterPlan, WorkerPlan, service};
use load::{Load, Target};
use usage::CpuClock;

const SERVICE: &str = "echo";

/// Slots and connections of each upstream.
const SLOTS: u32 = 256;

const WORKERS: usize = 4;

/// The loads: callers, the upstream's work in milliseconds, and requests of each caller.
const LOADS: [(usize, u64, usize); 3] = [(1, 5, 400), (100, 50, 60), (1_000, 500, 8)];

/// The load that shows what the entry carries: as many requests as it takes.
const FULL: (usize, u64, usize) = (64, 0, 400);

/// Requests of each caller that are sent first and not recorded.
const WARM_UP: usize = 2;

/// One line of the result. Times are in microseconds.
#[derive(Debug, Serialize)]
pub struct Line {
    /// Requests in flight.
    pub callers: usize,
    /// What the upstream sleeps, in milliseconds.
    pub work_ms: u64,
    /// Requests recorded.
    pub requests: u64,
    /// Requests that got no answer with success.
    pub failed: u64,
    /// Median and 99th percentile of the time beyond the upstream's sleep, through the entry.
    pub through: (u64, u64),
    /// The same, straight at an upstream.
    pub direct: (u64, u64),
    /// Requests a second.
    pub rate: f64,
    /// Requests for each second of processor time that the entry used.
    pub per_core: f64,
}

/// Measures with the developers' program at `binary`.
///
/// # Errors
///
/// Returns an error when the processes do not start.
pub fn run(binary: &Path) -> eyre::Result<Vec<Line>> {
    let mut plan = ClusterPlan::new(binary).entries(1);
    for _ in 0..WORKERS {
        plan = plan.worker(WorkerPlan::new(SERVICE).slots(SLOTS).connections(SLOTS));
    }
    let mut cluster = Cluster::start(plan)?;
    let mut document = service(SERVICE, true, "30s");
    document["limits"] = json!({ "queue": 10_000 });
    cluster.add_services(0, &[document], BOUND)?;
    let loads = LOADS.iter().chain([&FULL]);
    let lines = loads.map(|load| measure(&cluster, *load));
    let lines = lines.collect::<eyre::Result<Vec<_>>>()?;
    cluster.stop()?;
    Ok(lines)
}

fn measure(
    cluster: &Cluster,
    (callers, work_ms, requests): (usize, u64, usize),
) -> eyre::Result<Line> {
    let load = Load {
        callers,
        work_ms,
        requests,
    };
    let entry = &cluster.entries[0];
    let path = format!("/v1/services/{SERVICE}/requests");
    let through = Target::new(&[entry.url() + &path]);
    let upstreams: Vec<String> = cluster
        .workers
        .iter()
        .map(|w| format!("{}/{SERVICE}", w.upstream.url()))
        .collect();
    let direct = Target::new(&upstreams);
    load.warm_up(&through, WARM_UP)?;
    let clock = CpuClock::start(entry.id())?;
    let start = Instant::now();
    let through = load.run(&through)?;
    let (took, used) = (start.elapsed(), clock.used()?);
    load.warm_up(&direct, WARM_UP)?;
    let direct = load.run(&direct)?;
    let count = through.times.len();
    Ok(Line {
        callers,
        work_ms,
        requests: count,
        failed: through.failed,
        through: percentiles(&through.times),
        direct: percentiles(&direct.times),
        rate: per_second(count, took),
        per_core: per_second(count, used),
    })
}

fn percentiles(times: &Histogram<u64>) -> (u64, u64) {
    (times.value_at_quantile(0.5), times.value_at_quantile(0.99))
}

fn per_second(count: u64, span: Duration) -> f64 {
    (count as f64 / span.as_secs_f64().max(f64::EPSILON)).round()
}
