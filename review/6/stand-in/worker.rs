//! A stand-in of a worker, as the pages describe one: runs under a lease on its own clock, fence
//! numbers, lists of what is active and has ended, and heartbeats to the daemon on its machine.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Reply, Request, Server, call};
use crate::json::{Json, quote};
use crate::record::Record;

/// The longest lease, `hold_max_ms`.
const HOLD_MAX_MS: u64 = 1_000;

/// `heartbeat_ms`.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// How much later a call without answer is carried out.
const LATE: Duration = Duration::from_secs(2);

/// How long the connection of a call without answer stays open.
const UNANSWERED: Duration = Duration::from_millis(500);

/// How many calls workers got, and how many of them they left unanswered.
pub static CALLS: AtomicU64 = AtomicU64::new(0);
pub static UNANSWERED_CALLS: AtomicU64 = AtomicU64::new(0);

/// What a worker is.
#[derive(Debug, Clone)]
pub struct Kind {
    pub id: String,
    pub service: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
    /// By how much the time of day on its machine is ahead as it starts.
    pub ahead_ms: u64,
}

/// A run as the worker saw it; times are microseconds since the case began.
#[derive(Debug, Clone)]
pub struct Seen {
    pub worker: String,
    pub labels: Vec<String>,
    pub task: String,
    pub attempt: u64,
    pub began: u64,
    /// When it ended and how; none while it goes on.
    pub ended: Option<(u64, &'static str)>,
}

/// The runs of all workers.
pub type AllSeen = Arc<Mutex<Vec<Seen>>>;

struct Active {
    attempt: u64,
    begin: Instant,
    length: Duration,
    seen: usize,
}

#[derive(Default)]
struct State {
    fence: u64,
    /// On the worker's clock, in milliseconds.
    lease_end: u64,
    active: BTreeMap<String, Active>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// The highest attempt of each task that was stopped or has ended.
    over: BTreeMap<String, u64>,
    sequence: u64,
    is_gone: bool,
    is_draining: bool,
    /// How many of the next calls get no answer.
    unanswered: u32,
    /// When the first of them came in.
    first_unanswered: Option<Instant>,
}

struct Shared {
    kind: Kind,
    name: String,
    addr: SocketAddr,
    runner: SocketAddr,
    born: u64,
    begin: Instant,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
    seen: AllSeen,
}

/// One life of a worker.
#[derive(Clone)]
pub struct Worker {
    shared: Arc<Shared>,
    server: Server,
}

/// Returns the time of day in milliseconds.
pub fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.map_or(0, |t| t.as_millis() as u64)
}

impl Worker {
    /// Begins a life: it listens, and sends heartbeats at once and from then on.
    pub fn start(
        kind: Kind,
        name: &str,
        addr: SocketAddr,
        runner: SocketAddr,
        record: &Record,
        seen: &AllSeen,
    ) -> io::Result<Self> {
        let born = unix_ms() + kind.ahead_ms;
        let shared = Arc::new(Shared {
            kind,
            name: name.to_owned(),
            addr,
            runner,
            born,
            begin: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            record: record.clone(),
            seen: Arc::clone(seen),
        });
        let answering = Arc::clone(&shared);
        let server = Server::start(addr, move |request| Shared::answer(&answering, &request))?;
        let ticking = Arc::clone(&shared);
        thread::spawn(move || {
            while ticking.tick() {
                thread::sleep(Duration::from_millis(1));
            }
        });
        let beating = Arc::clone(&shared);
        thread::spawn(move || {
            while beating.heartbeat() {
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(Self { shared, server })
    }

    /// Says that it leaves, and goes on with what it runs.
    pub fn drain(&self) {
        self.shared.state.lock().unwrap().is_draining = true;
        self.shared.heartbeat();
    }

    /// Leaves the next calls unanswered; they are carried out late.
    pub fn leave_unanswered(&self, calls: u32) {
        let mut state = self.shared.state.lock().unwrap();
        state.unanswered = calls;
        state.first_unanswered = None;
    }

    /// Returns whether the first call without answer came in so long ago.
    pub fn is_unanswered_since(&self, span: Duration) -> bool {
        let first = self.shared.state.lock().unwrap().first_unanswered;
        first.is_some_and(|at| at.elapsed() >= span)
    }

    /// Ends the life without a word: all that runs ends, and nobody listens any more.
    pub fn crash(&self) {
        let mut state = self.shared.state.lock().unwrap();
        state.is_gone = true;
        for (_, active) in std::mem::take(&mut state.active) {
            self.shared.note_end(active.seen, "crashed");
        }
        drop(state);
        self.server.end();
        self.shared.record.add(format!("{} crashes", self.shared.name));
    }

    pub fn active(&self) -> usize {
        self.shared.state.lock().unwrap().active.len()
    }

    /// Returns the path and the body of the last heartbeat, as one that was delayed on its way.
    pub fn last_heartbeat(&self) -> (String, String) {
        let shared = &self.shared;
        let sequence = shared.state.lock().unwrap().sequence;
        let body = shared.body(&shared.kind.service, shared.addr, shared.born, sequence);
        (format!("/-/instances/{}", shared.kind.id), body)
    }

    /// Returns the body of a heartbeat with these words in place of its own.
    pub fn heartbeat_body(&self, service: &str, address: SocketAddr, born: u64) -> String {
        self.shared.body(service, address, born, 1)
    }
}

impl Shared {
    fn clock(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64 + 1_000
    }

    fn body(&self, service: &str, address: SocketAddr, born: u64, sequence: u64) -> String {
        let labels: Vec<String> = self.kind.labels.iter().map(|l| quote(l)).collect();
        let is_draining = self.state.lock().unwrap().is_draining;
        let state = if is_draining { "draining" } else { "ready" };
        format!(
            "{{\"service\":{},\"address\":\"{address}\",\"zone\":\"z1\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\
             \"mem_mb\":{},\"gpu\":0}},\"labels\":[{}],\"clock_ms\":{},\"sequence\":{sequence},\
             \"born\":{born}}}",
            quote(service),
            self.kind.cpu,
            self.kind.mem_mb,
            labels.join(","),
            self.clock()
        )
    }

    /// Sends a heartbeat; returns whether the life goes on.
    fn heartbeat(&self) -> bool {
        let sequence = {
            let mut state = self.state.lock().unwrap();
            if state.is_gone {
                return false;
            }
            state.sequence += 1;
            state.sequence
        };
        let body = self.body(&self.kind.service, self.addr, self.born, sequence);
        let path = format!("/-/instances/{}", self.kind.id);
        let patience = Duration::from_secs(1);
        let reply = call(self.runner, "PUT", &path, &[], &body, patience);
        let status = reply.map_or("no answer".to_owned(), |r| r.status.to_string());
        self.record.add(format!("{}: heartbeat {sequence}: {status}", self.name));
        true
    }

    /// Ends what is done or whose lease has run out.
    fn tick(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.is_gone {
            return false;
        }
        let is_done = |a: &Active| a.begin.elapsed() >= a.length;
        let done = state.active.iter().filter(|(_, a)| is_done(a));
        let done: Vec<String> = done.map(|(t, _)| t.clone()).collect();
        for task in done {
            self.end(&mut state, &task, "done");
        }
        if self.clock() >= state.lease_end {
            let lapsed: Vec<String> = state.active.keys().cloned().collect();
            for task in lapsed {
                self.end(&mut state, &task, "lapsed");
            }
        }
        true
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(active) = state.active.remove(task) else {
            return;
        };
        state.last_end += 1;
        let row = (state.last_end, task.to_owned(), active.attempt, how);
        state.ended.push(row);
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(active.attempt);
        self.note_end(active.seen, how);
        self.changed.notify_all();
    }

    fn note_end(&self, seen: usize, how: &'static str) {
        let mut all = self.seen.lock().unwrap();
        let row = &mut all[seen];
        row.ended = Some((self.record.now(), how));
        let line = format!("{}: {} run {} ends: {how}", self.name, row.task, row.attempt);
        self.record.add(line);
    }

    fn answer(this: &Arc<Self>, request: &Request) -> Option<Reply> {
        let is_left = {
            let mut state = this.state.lock().unwrap();
            if state.is_gone {
                return None;
            }
            let is_left = state.unanswered > 0;
            CALLS.fetch_add(1, Ordering::Relaxed);
        if is_left {
            UNANSWERED_CALLS.fetch_add(1, Ordering::Relaxed);
                state.unanswered -= 1;
                state.first_unanswered.get_or_insert(Instant::now());
            }
            is_left
        };
        if is_left {
            this.record.add(format!("{}: leaves {} unanswered", this.name, request.path));
            let (late, request) = (Arc::clone(this), request.clone());
            thread::spawn(move || {
                thread::sleep(LATE);
                let is_gone = late.state.lock().unwrap().is_gone;
                if !is_gone {
                    late.record.add(format!("{}: late {}", late.name, request.path));
                    late.carry(&request);
                }
            });
            thread::sleep(UNANSWERED);
            return None;
        }
        Some(this.carry(request))
    }

    fn carry(&self, request: &Request) -> Reply {
        if request.method == "GET" {
            let mut reply = Reply::json(200, "");
            let id = ("Chervilring-Instance-Id".to_owned(), self.kind.id.clone());
            reply.headers.push(id);
            return reply;
        }
        let expected = request.header("Chervilring-Expect-Instance");
        if expected.is_some_and(|id| id != self.kind.id) {
            return Reply::json(421, "{}");
        }
        let Some(body) = Json::read(&request.body) else {
            return Reply::json(400, "{}");
        };
        let mut state = self.state.lock().unwrap();
        let fence = body.number("fencing_token").unwrap_or(0);
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        match request.path.as_str() {
            "/-/run-start" => self.start_run(&mut state, &body),
            "/-/run-stop" => self.stop_run(&mut state, &body),
            "/-/hold" => self.hold(state, &body),
            _ => Reply::json(404, "{}"),
        }
    }

    fn refuse(&self, reason: &str) -> Reply {
        let clock = self.clock();
        Reply::json(409, format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"))
    }

    fn accept(&self) -> Reply {
        Reply::json(200, format!("{{\"clock_ms\":{}}}", self.clock()))
    }

    fn extend(&self, state: &mut State, body: &Json) {
        if let Some(end) = body.number("deadline_ms") {
            let end = end.min(self.clock() + HOLD_MAX_MS);
            state.lease_end = state.lease_end.max(end);
        }
    }

    fn start_run(&self, state: &mut State, body: &Json) -> Reply {
        let task = body.text("task").unwrap_or("").to_owned();
        let attempt = body.number("attempt").unwrap_or(0);
        let spec = body.text("spec").unwrap_or("").to_owned();
        if state.active.get(&task).is_some_and(|a| a.attempt == attempt) {
            self.extend(state, body);
            return self.accept();
        }
        if body.number("deadline_ms").unwrap_or(0) <= self.clock() {
            return self.refuse("late");
        }
        self.extend(state, body);
        let is_over = state.over.get(&task).is_some_and(|over| attempt <= *over);
        if is_over || state.active.contains_key(&task) {
            return self.refuse("old");
        }
        let seen = {
            let mut all = self.seen.lock().unwrap();
            all.push(Seen {
                worker: self.name.clone(),
                labels: self.kind.labels.clone(),
                task: task.clone(),
                attempt,
                began: self.record.now(),
                ended: None,
            });
            all.len() - 1
        };
        self.record.add(format!("{}: {task} run {attempt} starts", self.name));
        let length = length_of(&task, &spec);
        let begin = Instant::now();
        let active = Active {
            attempt,
            begin,
            length,
            seen,
        };
        state.active.insert(task, active);
        self.accept()
    }

    fn stop_run(&self, state: &mut State, body: &Json) -> Reply {
        let task = body.text("task").unwrap_or("").to_owned();
        let attempt = body.number("attempt").unwrap_or(0);
        self.record.add(format!("{}: told to stop {task} run {attempt}", self.name));
        let over = state.over.entry(task.clone()).or_default();
        *over = (*over).max(attempt);
        if state.active.get(&task).is_some_and(|a| a.attempt <= attempt) {
            self.end(state, &task, "stopped");
        }
        self.accept()
    }

    fn hold(&self, mut state: std::sync::MutexGuard<'_, State>, body: &Json) -> Reply {
        self.extend(&mut state, body);
        let acknowledged = body.number("acknowledged").unwrap_or(0);
        state.ended.retain(|(n, ..)| *n > acknowledged);
        let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        while state.ended.is_empty() && !state.is_gone {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let active = state.active.iter().map(|(task, a)| {
            let done = a.begin.elapsed().as_secs_f64() / a.length.as_secs_f64().max(1e-6);
            let percent = (done * 100.0).min(99.0) as u64;
            format!("[{},{},\"\",{percent},100]", quote(task), a.attempt)
        });
        let active: Vec<String> = active.collect();
        let ended = state.ended.iter().take(500);
        let ended = ended.map(|(n, t, a, how)| format!("[{n},{},{a},\"{how}\",\"\"]", quote(t)));
        let ended: Vec<String> = ended.collect();
        Reply::json(
            200,
            format!(
                "{{\"clock_ms\":{},\"born\":{},\"active\":[{}],\"ended\":[{}]}}",
                self.clock(),
                self.born,
                active.join(","),
                ended.join(",")
            ),
        )
    }
}

/// Returns how long a task works: its spec gives the milliseconds for each step, between commas.
fn length_of(task: &str, spec: &str) -> Duration {
    let step = task.split('.').nth(2).and_then(|s| s.parse().ok());
    let mut lengths = spec.split(',').map(|l| l.parse().unwrap_or(100));
    Duration::from_millis(lengths.nth(step.unwrap_or(0)).unwrap_or(100))
}
