//! What demo, measurements and tests ask of a cluster.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use chervilring::{ClientError, Response};
use chervilring_core::config::Note;
use chervilring_store::{ConfigStore, StoreSettings};
use chervilring_wire::{Revision, Timestamp};
use eyre::eyre;
use serde_json::{Value, json};

use super::child::Process;
use super::cluster::Cluster;
use super::wait::wait_for;

/// How long the stand-in of the store may take in these uses.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// How many times each task was started, over all upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Starts(pub BTreeMap<String, u64>);

impl Starts {
    /// Returns the number of all starts.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }

    /// Returns the number of starts of a submission's tasks.
    pub fn of(&self, id: &str) -> u64 {
        let tasks = self.0.iter().filter(|(task, _)| task.starts_with(id));
        tasks.map(|(_, count)| count).sum()
    }

    /// Returns the tasks that were started more than once.
    pub fn repeated(&self) -> Vec<(&str, u64)> {
        let repeated = self.0.iter().filter(|(_, count)| **count > 1);
        repeated
            .map(|(task, count)| (task.as_str(), *count))
            .collect()
    }

    /// Adds the starts of another count.
    pub fn add(&mut self, other: &Self) {
        for (task, count) in &other.0 {
            *self.0.entry(task.clone()).or_default() += count;
        }
    }
}

impl Cluster {
    /// Returns the starts that all running upstreams have counted.
    ///
    /// # Errors
    ///
    /// Returns an error when an upstream does not answer.
    pub fn starts(&mut self) -> eyre::Result<Starts> {
        let mut starts = Starts::default();
        for index in 0..self.workers.len() {
            if self.workers[index].upstream.is_running() {
                starts.add(&self.starts_at(index)?);
            }
        }
        Ok(starts)
    }

    /// Returns the starts that one upstream has counted.
    ///
    /// # Errors
    ///
    /// Returns an error when the upstream does not answer.
    pub fn starts_at(&self, worker: usize) -> eyre::Result<Starts> {
        let counts = self.get(&self.workers[worker].upstream, "/counts")?;
        Ok(Starts(serde_json::from_value(counts["tasks"].clone())?))
    }

    /// Sets the faults of an upstream or of the store.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in does not answer.
    pub fn set_faults(&self, stand_in: &Process, faults: &Value) -> eyre::Result<()> {
        let is_platform = stand_in.id() == self.platform.id();
        let path = if is_platform {
            "/control/faults"
        } else {
            "/faults"
        };
        self.put(stand_in, path, faults).map(drop)
    }

    /// Submits a release note, straight to the store.
    ///
    /// # Errors
    ///
    /// Returns why it was not accepted.
    pub fn submit_note(&self, note: &Value) -> eyre::Result<Revision> {
        let settings = StoreSettings::builder(&self.platform.url())
            .map_err(|error| eyre!("{error}"))?
            .timeout(STORE_TIMEOUT)
            .build();
        let note = Note::parse(&note.to_string()).map_err(|error| eyre!("{error}"))?;
        let wall = SystemTime::now().duration_since(UNIX_EPOCH)?;
        let when = Timestamp(wall.as_millis() as u64);
        let accepted = ConfigStore::new(&settings).submit(&note, &"dev".into(), when);
        Ok(accepted.map_err(|error| eyre!("{error}"))?.revision)
    }

    /// Submits a note that adds services, and waits until it is in force everywhere. Returns how
    /// long that took.
    ///
    /// # Errors
    ///
    /// Returns why it was not accepted, or where it is not in force within `bound`.
    pub fn add_services(
        &self,
        base: u64,
        services: &[Value],
        bound: Duration,
    ) -> eyre::Result<Duration> {
        let id = format!("note-{}", base + 1);
        let note = json!({ "id": id, "base": base, "added": services });
        let start = Instant::now();
        let revision = self.submit_note(&note)?;
        self.wait_in_force(revision, bound)?;
        Ok(start.elapsed())
    }

    /// Waits until a revision is in force at all entries and agents.
    ///
    /// # Errors
    ///
    /// Returns an error when it is not within `bound`.
    pub fn wait_in_force(&self, revision: Revision, bound: Duration) -> eyre::Result<()> {
        let processes = || {
            let agents = self.workers.iter().map(|w| &w.agent);
            self.entries.iter().chain(agents)
        };
        let in_force = |process| self.revision(process) == Some(revision.0);
        let what = format!("revision {revision} is in force everywhere");
        let all = || processes().all(in_force).then_some(());
        wait_for(&what, bound, all)
    }

    /// Returns the revision that an entry or agent has in force, if it answers.
    pub fn revision(&self, process: &Process) -> Option<u64> {
        self.status(process).ok()?["revision"].as_u64()
    }

    /// Submits a job at one entry and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry does not answer.
    pub fn put_job(
        &self,
        entry: usize,
        id: &str,
        job: &Value,
        wait: Duration,
    ) -> Result<Response, ClientError> {
        let headers = [("Prefer", format!("wait={}", wait.as_secs()))];
        let body = job.to_string().into_bytes();
        let (url, path) = (self.entries[entry].url(), format!("/v1/jobs/{id}"));
        self.client
            .send_to(&url, "PUT", &path, &headers, Some(&body))
    }

    /// Submits a request at one entry and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry does not answer.
    pub fn post(
        &self,
        entry: usize,
        service: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> Result<Response, ClientError> {
        let path = format!("/v1/services/{service}/requests");
        let url = self.entries[entry].url();
        self.client
            .send_to(&url, "POST", &path, headers, Some(body))
    }
}

/// Returns a service for a release note.
pub fn service(name: &str, idempotent: bool, deadline: &str) -> Value {
    json!({
        "name": name,
        "rules": { "idempotent": idempotent, "deadline": deadline },
    })
}

/// Returns a job of tasks that each run for some milliseconds at speed one.
pub fn job(service: &str, tasks: usize, work_ms: u64) -> Value {
    let tasks: Vec<Value> = (0..tasks)
        .map(|index| json!({ "work_ms": work_ms, "index": index }))
        .collect();
    json!({ "service": service, "tasks": tasks })
}
