//! A cluster for each test, one at a time.

use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use chervilring::Response;
use chervilring_dev::process::{Cluster, ClusterPlan, WorkerPlan, service};
use chervilring_wire::{DomainName, EntryId, Incarnation, Member, Ring, SubmissionId, Verdict};
use serde_json::Value;

/// Tasks may run again.
pub(crate) const LOOKUP: &str = "lookup";

/// Tasks must not run twice.
pub(crate) const BOOKING: &str = "booking";

/// How long callers wait for jobs.
pub(crate) const WAIT: Duration = Duration::from_secs(30);

/// How long a job is submitted again and again.
const SETTLE: Duration = Duration::from_secs(15);

/// A caller comes back at once when it is told to do so within this time, in milliseconds.
const SOON_MS: u64 = 5_000;

/// Time between two looks of a loop that does more than look.
pub(crate) const PAUSE: Duration = Duration::from_millis(20);

static TURN: Mutex<()> = Mutex::new(());

/// A cluster with both services in force.
pub(crate) struct Fixture {
    pub(crate) cluster: Cluster,
    _turn: MutexGuard<'static, ()>,
}

impl Fixture {
    /// Starts three entries and workers with upstreams of these speeds.
    pub(crate) fn start(speeds: &[f64]) -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let binary = Path::new(env!("CARGO_BIN_EXE_chervilring_dev"));
        let mut plan = ClusterPlan::new(binary).entries(3);
        for speed in speeds {
            plan = plan.worker(WorkerPlan::new(LOOKUP).service(BOOKING).speed(*speed));
        }
        let cluster = Cluster::start(plan).unwrap();
        let services = [service(LOOKUP, true, "20s"), service(BOOKING, false, "20s")];
        cluster.add_services(0, &services, WAIT).unwrap();
        Self {
            cluster,
            _turn: turn,
        }
    }

    /// Submits a job at an entry until it is no longer told to come back soon.
    pub(crate) fn settle(&self, entry: usize, id: &str, job: &Value) -> Response {
        let until = Instant::now() + SETTLE;
        loop {
            let response = self.cluster.put_job(entry, id, job, WAIT).unwrap();
            let problem: Value = serde_json::from_slice(&response.body).unwrap_or_default();
            let soon = problem["retry_after_ms"]
                .as_u64()
                .is_some_and(|ms| ms <= SOON_MS);
            if response.status != 503 || !soon || Instant::now() > until {
                return response;
            }
            std::thread::sleep(PAUSE);
        }
    }

    /// Checks an answer against what the upstreams started.
    pub(crate) fn check_job(&mut self, id: &str, tasks: u64, response: &Response) {
        let starts = self.cluster.starts().unwrap();
        assert!(starts.repeated().is_empty(), "{:?}", starts.repeated());
        let started = starts.of(id);
        let body = String::from_utf8_lossy(&response.body);
        match response.verdict {
            Some(Verdict::Ran) if response.is_success() => {
                let document: Value = serde_json::from_slice(&response.body).unwrap();
                let outputs = document["tasks"].as_array().unwrap();
                assert_eq!(outputs.len() as u64, tasks);
                assert_eq!(started, tasks);
            }
            Some(Verdict::NotRun) => assert_eq!(started, 0, "{body}"),
            Some(_) => assert!(!response.is_success(), "{body}"),
            None => panic!("no verdict: {} {body}", response.status),
        }
    }
}

/// Returns a new id whose home is the entry of this index, of three.
pub(crate) fn id_at_home(entry: usize) -> String {
    let member = |index: usize| Member {
        entry: EntryId {
            name: format!("e{}", index + 1).into(),
            incarnation: Incarnation(0),
        },
        domain: DomainName::from("any"),
        addr: ([127, 0, 0, 1], 1).into(),
        draining: false,
    };
    let ring = Ring {
        members: (0..3).map(member).collect(),
        ..Ring::default()
    };
    let name = format!("e{}", entry + 1);
    let mut ids = std::iter::repeat_with(SubmissionId::generate);
    let is_home = |id: &SubmissionId| ring.home(*id).is_some_and(|m| *m.entry.name == *name);
    ids.find(is_home).unwrap().to_string()
}
