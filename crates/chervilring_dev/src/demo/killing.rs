//! An entry is killed while jobs run.

use std::thread;
use std::time::{Duration, Instant};

use chervilring::{ClientError, Response};
use chervilring_wire::{SubmissionId, Verdict};
use eyre::{ensure, eyre};

use super::report::{print, seconds};
use super::{ENTRIES, LOOKUP};
use crate::process::{Cluster, Starts, job, wait_for};

const JOBS: usize = 9;
const TASKS: usize = 24;
const TASK_MS: u64 = 300;

/// The entry that is killed.
const VICTIM: usize = 1;

/// How long callers wait.
const WAIT: Duration = Duration::from_secs(20);

/// How long a caller goes on to submit a job again while it is told to come back.
const PATIENCE: Duration = Duration::from_secs(15);

/// What a caller got for its job.
struct Caller {
    id: String,
    entry: usize,
    first: Result<Response, ClientError>,
}

/// Kills an entry while jobs run, and shows what each caller got.
pub(super) fn show(cluster: &mut Cluster) -> eyre::Result<()> {
    let ids: Vec<String> = (0..JOBS)
        .map(|_| SubmissionId::generate().to_string())
        .collect();
    print(&format!(
        "{JOBS} jobs of {TASKS} tasks at e1 to e{ENTRIES}; e{} is killed",
        VICTIM + 1
    ));
    let callers = run_and_kill(cluster, &ids)?;
    for caller in &callers {
        let (id, entry) = (&caller.id, caller.entry + 1);
        let got = describe(&caller.first);
        print(&format!("  caller of {id} at e{entry}: {got}"));
    }
    for caller in &callers {
        settle(cluster, caller)?;
    }
    let starts = cluster.starts()?;
    let repeated = starts.repeated();
    print(&format!("tasks started more than once: {}", repeated.len()));
    ensure!(repeated.is_empty(), "started more than once: {repeated:?}");
    Ok(())
}

/// Runs the jobs and kills an entry as soon as each has started a task.
fn run_and_kill(cluster: &mut Cluster, ids: &[String]) -> eyre::Result<Vec<Caller>> {
    let job = job(LOOKUP, TASKS, TASK_MS);
    let shared = &*cluster;
    thread::scope(|scope| {
        let callers: Vec<_> = ids
            .iter()
            .enumerate()
            .map(|(index, id)| {
                let (job, entry) = (&job, index % ENTRIES);
                let call = move || shared.put_job(entry, id, job, WAIT);
                (id, entry, scope.spawn(call))
            })
            .collect();
        let some_started = || {
            let starts = total(shared).ok()?;
            (starts.total() > 0 && ids.iter().filter(|id| starts.of(id) > 0).count() > JOBS / 2)
                .then_some(())
        };
        wait_for("jobs have started", WAIT, some_started)?;
        shared.entries[VICTIM].kill_soon();
        let callers = callers.into_iter().map(|(id, entry, call)| {
            let first = call.join().map_err(|_| eyre!("a caller panicked"))?;
            Ok(Caller {
                id: id.clone(),
                entry,
                first,
            })
        });
        callers.collect()
    })
}

fn total(cluster: &Cluster) -> eyre::Result<Starts> {
    let mut starts = Starts::default();
    for index in 0..cluster.workers.len() {
        starts.add(&cluster.starts_at(index)?);
    }
    Ok(starts)
}

fn describe(result: &Result<Response, ClientError>) -> String {
    match result {
        Ok(response) if response.is_success() => "the whole answer".to_owned(),
        Ok(response) => {
            let verdict = response.verdict.map_or("none", Verdict::as_str);
            format!("status {}, verdict {verdict}", response.status)
        }
        Err(error) if error.sent => "no answer: may have run".to_owned(),
        Err(_) => "not reached: not run".to_owned(),
    }
}

/// Submits a job again at an entry that lives, until there is a final answer, and checks it
/// against what the upstreams started.
fn settle(cluster: &mut Cluster, caller: &Caller) -> eyre::Result<()> {
    let id = &caller.id;
    if caller.first.as_ref().is_ok_and(Response::is_success) {
        let starts = cluster.starts()?.of(id);
        ensure!(
            starts == TASKS as u64,
            "job {id} answered after {starts} starts"
        );
        return Ok(());
    }
    let entry = (VICTIM + 1) % ENTRIES;
    let job = job(LOOKUP, TASKS, TASK_MS);
    let start = Instant::now();
    let response = loop {
        let response = cluster.put_job(entry, id, &job, WAIT)?;
        if response.status != 503 || start.elapsed() > PATIENCE {
            break response;
        }
        thread::sleep(Duration::from_millis(200));
    };
    let starts = cluster.starts()?.of(id);
    let took = seconds(start.elapsed());
    if response.is_success() {
        ensure!(
            starts == TASKS as u64,
            "job {id} answered after {starts} starts"
        );
    } else if response.verdict == Some(Verdict::NotRun) {
        ensure!(starts == 0, "job {id} was not run, after {starts} starts");
    }
    let got = describe(&Ok(response));
    print(&format!(
        "  {id} again at e{}: {got} after {took}, {starts} starts",
        entry + 1
    ));
    Ok(())
}
