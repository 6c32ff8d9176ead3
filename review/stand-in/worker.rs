//! Workers: each is one life of a worker beside a runner.
//!
//! The `spec` of a task is the time that it takes, in milliseconds.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Request, Server, call};
use crate::json::{Json, quoted};
use crate::record::{Record, Start};

/// The longest lease (`hold_max_ms`).
const LONGEST_HOLD_MS: u64 = 1_000;

/// Time between heartbeats (`heartbeat_ms`).
const BEAT: Duration = Duration::from_millis(1_500);

/// How long a stop takes; `stop_timeout_ms` is 50.
const STOP: Duration = Duration::from_millis(10);

/// What a worker is.
#[derive(Debug, Clone)]
pub struct Kind {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    /// Its `app` address.
    pub app: SocketAddr,
    /// The `control_plane` address on its machine.
    pub beats: SocketAddr,
    /// The time from its start to its first heartbeat.
    pub silent: Duration,
    /// How far the time of day on its machine is behind the true one, in milliseconds.
    pub behind_ms: u64,
}

/// A run that is at work.
#[derive(Debug, Clone)]
struct Run {
    attempt: u64,
    began: Instant,
    takes: Duration,
    stopping: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

struct State {
    alive: bool,
    draining: bool,
    /// The number of heartbeats so far.
    sequence: u64,
    fence: u64,
    /// The end of the lease on the worker's clock, in milliseconds.
    hold: u64,
    active: BTreeMap<String, Run>,
    /// The highest run of each task that was stopped or has ended.
    past: BTreeMap<String, u64>,
    ended: Vec<End>,
    ends: u64,
}

struct Shared {
    kind: Kind,
    born: u64,
    begin: Instant,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

/// A life of a worker.
pub struct Worker {
    shared: Arc<Shared>,
    server: Server,
}

impl Worker {
    /// Starts a life and registers it at once.
    pub fn start(kind: Kind, record: &Record) -> io::Result<Self> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = now.map_or(0, |t| t.as_millis() as u64) - kind.behind_ms;
        record.write(&format!(
            "worker {} starts, labels {:?}, born {born}",
            kind.id, kind.labels
        ));
        let app = kind.app;
        let shared = Arc::new(Shared {
            kind,
            born,
            begin: Instant::now(),
            state: Mutex::new(State {
                alive: true,
                draining: false,
                sequence: 0,
                fence: 0,
                hold: 0,
                active: BTreeMap::new(),
                past: BTreeMap::new(),
                ended: Vec::new(),
                ends: 0,
            }),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let own = Arc::clone(&shared);
        let server = Server::start(app, None, move |request| own.answer(&request))?;
        let own = Arc::clone(&shared);
        thread::spawn(move || own.work());
        let own = Arc::clone(&shared);
        thread::spawn(move || own.beat());
        Ok(Self { shared, server })
    }

    /// Crashes: everything on it ends, and nobody listens any more.
    pub fn crash(mut self) {
        let mut state = self.shared.lock();
        state.alive = false;
        let active: Vec<String> = state.active.keys().cloned().collect();
        state.active.clear();
        for task in &active {
            self.shared.record.add_end(&self.shared.kind.id, task);
        }
        drop(state);
        let id = &self.shared.kind.id;
        self.shared
            .record
            .write(&format!("worker {id} crashes with {active:?}"));
        self.server.close();
    }

    /// Says that it drains, and returns whether that is acknowledged.
    pub fn drain(&self) -> bool {
        self.shared.lock().draining = true;
        self.shared.beat_once()
    }

    /// Returns the tasks of a job that are at work.
    pub fn active(&self, job: &str) -> Vec<String> {
        let state = self.shared.lock();
        let of_job = state.active.keys().filter(|t| t.starts_with(job));
        of_job.cloned().collect()
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.shared.lock().alive = false;
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn clock(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64 + 1_000
    }

    /// Ends what is done, stopped or whose lease has expired.
    fn work(&self) {
        loop {
            thread::sleep(Duration::from_millis(1));
            let mut state = self.lock();
            if !state.alive {
                return;
            }
            let lapsed = state.hold <= self.clock();
            let now = Instant::now();
            let how = |run: &Run| match run.stopping {
                _ if run.began + run.takes <= now => Some("done"),
                Some(at) if at <= now => Some("stopped"),
                _ if lapsed => Some("lapsed"),
                _ => None,
            };
            let over = state.active.iter();
            let over = over.filter_map(|(task, run)| Some((task.clone(), run.attempt, how(run)?)));
            let over: Vec<(String, u64, &'static str)> = over.collect();
            for (task, attempt, how) in over {
                state.active.remove(&task);
                self.record.add_end(&self.kind.id, &task);
                state.end(task.clone(), attempt, how);
                let id = &self.kind.id;
                let text = format!("worker {id}: {task} run {attempt} ends {how}");
                self.record.write(&text);
                self.changed.notify_all();
            }
        }
    }

    /// Sends heartbeats for as long as the life lasts.
    fn beat(&self) {
        thread::sleep(self.kind.silent);
        while self.lock().alive {
            // A runner that is not there yet is told again.
            let taken = self.beat_once();
            thread::sleep(if taken {
                BEAT
            } else {
                Duration::from_millis(50)
            });
        }
    }

    /// Sends a heartbeat and returns whether it is acknowledged.
    fn beat_once(&self) -> bool {
        let labels: Vec<String> = self.kind.labels.iter().map(|l| quoted(l)).collect();
        let mut state = self.lock();
        state.sequence += 1;
        let draining = state.draining;
        let word = if draining { "draining" } else { "ready" };
        let body = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{word}\",\"cold_remaining_ms\":0,{}\
             \"capacity\":{{\"cpu\":16000,\"mem_mb\":65536,\"gpu\":0}},\"labels\":[{}],\
             \"clock_ms\":{},\"sequence\":{},\"born\":{}}}",
            quoted(&self.kind.service),
            self.kind.app,
            quoted(&self.kind.zone),
            if draining {
                "\"remaining_ms\":2000,"
            } else {
                ""
            },
            labels.join(","),
            self.clock(),
            state.sequence,
            self.born
        );
        drop(state);
        let path = format!("/-/instances/{}", self.kind.id);
        let second = Duration::from_secs(1);
        let answer = call(self.kind.beats, "PUT", &path, &[], &body, second);
        answer.is_ok_and(|a| a.status == 200)
    }

    fn answer(&self, request: &Request) -> Option<Answer> {
        if request.path == "/healthz" {
            let status = if self.lock().draining { 503 } else { 200 };
            let mut answer = Answer::new(status, String::new());
            let id = self.kind.id.clone();
            answer.headers.push(("Chervilring-Instance-Id".into(), id));
            return Some(answer);
        }
        let meant = request.header("chervilring-expect-instance");
        if meant.is_some_and(|id| id != self.kind.id) {
            return Some(Answer::new(421, "{}".into()));
        }
        let Some(body) = Json::read(&request.body) else {
            return Some(Answer::new(400, "{}".into()));
        };
        let mut state = self.lock();
        if !state.alive {
            return None;
        }
        let fence = body.number("fencing_token").unwrap_or(0);
        if fence < state.fence {
            return Some(self.refusal("fence"));
        }
        state.fence = fence;
        match request.path.as_str() {
            "/-/run-start" => Some(self.start(&mut state, &body)),
            "/-/run-stop" => Some(self.stop(&mut state, &body)),
            "/-/hold" => Some(self.hold(state, &body)),
            _ => Some(Answer::new(404, "{}".into())),
        }
    }

    fn refusal(&self, reason: &str) -> Answer {
        let clock = self.clock();
        Answer::new(
            409,
            format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"),
        )
    }

    fn done(&self) -> Answer {
        Answer::new(200, format!("{{\"clock_ms\":{}}}", self.clock()))
    }

    fn start(&self, state: &mut State, body: &Json) -> Answer {
        let task = body.text("task").to_owned();
        let attempt = body.number("attempt").unwrap_or(0);
        let deadline = body.number("deadline_ms").unwrap_or(0);
        if deadline <= self.clock() {
            return self.refusal("late");
        }
        self.extend(state, deadline);
        if state
            .active
            .get(&task)
            .is_some_and(|r| r.attempt == attempt)
        {
            return self.done();
        }
        if state.past.get(&task).is_some_and(|&past| attempt <= past) {
            return self.refusal("old");
        }
        let spec = body.text("spec");
        let Ok(millis) = spec.parse() else {
            return Answer::new(400, "{}".into());
        };
        let id = &self.kind.id;
        self.record.write(&format!(
            "worker {id} (labels {:?}): {task} run {attempt} starts, spec {spec:?}",
            self.kind.labels
        ));
        let began = Instant::now();
        self.record.add_start(
            id,
            Start {
                task: task.clone(),
                attempt,
                labels: self.kind.labels.clone(),
            },
        );
        let run = Run {
            attempt,
            began,
            takes: Duration::from_millis(millis),
            stopping: None,
        };
        state.active.insert(task, run);
        self.done()
    }

    fn stop(&self, state: &mut State, body: &Json) -> Answer {
        let task = body.text("task").to_owned();
        let attempt = body.number("attempt").unwrap_or(0);
        let id = &self.kind.id;
        self.record.write(&format!(
            "worker {id}: {task} run {attempt} is told to stop"
        ));
        if let Some(run) = state.active.get_mut(&task)
            && run.attempt <= attempt
        {
            run.stopping.get_or_insert(Instant::now() + STOP);
        }
        let past = state.past.entry(task).or_default();
        *past = attempt.max(*past);
        self.done()
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Answer {
        let acknowledged = body.number("acknowledged").unwrap_or(0);
        state.ended.retain(|e| e.number > acknowledged);
        if let Some(deadline) = body.number("deadline_ms") {
            self.extend(&mut state, deadline);
        }
        let wait = body.number("wait_ms").unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        while state.ended.is_empty() && state.alive {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let active = state.active.iter().map(|(task, run)| {
            let done = run.began.elapsed().as_secs_f64() / run.takes.as_secs_f64().max(0.001);
            let percent = (done * 100.0).min(99.0) as u64;
            format!("[\"{task}\",{},\"\",{percent},1000]", run.attempt)
        });
        let ended = state.ended.iter().take(500);
        let ended = ended.map(|e| {
            format!(
                "[{},\"{}\",{},\"{}\",\"\"]",
                e.number, e.task, e.attempt, e.how
            )
        });
        let body = format!(
            "{{\"clock_ms\":{},\"born\":{},\"active\":[{}],\"ended\":[{}]}}",
            self.clock(),
            self.born,
            active.collect::<Vec<_>>().join(","),
            ended.collect::<Vec<_>>().join(",")
        );
        Answer::new(200, body)
    }

    fn extend(&self, state: &mut State, deadline: u64) {
        let longest = self.clock() + LONGEST_HOLD_MS;
        state.hold = state.hold.max(deadline.min(longest));
    }
}

impl State {
    fn end(&mut self, task: String, attempt: u64, how: &'static str) {
        self.ends += 1;
        let past = self.past.entry(task.clone()).or_default();
        *past = attempt.max(*past);
        self.ended.push(End {
            number: self.ends,
            task,
            attempt,
            how,
        });
    }
}
