//! Threads for work that may block on a client.

use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A thread ends after it had nothing to do for this long.
const IDLE: Duration = Duration::from_secs(5);

/// When no job was taken for this long, all threads are held up and another one is started.
const STUCK: Duration = Duration::from_millis(5);

type Job = Box<dyn FnOnce() + Send>;

/// Threads that run jobs in order of arrival. Their number grows while jobs block.
#[derive(Clone)]
pub(crate) struct Pool {
    shared: Arc<Shared>,
}

struct Shared {
    name: &'static str,
    base: usize,
    most: usize,
    state: Mutex<State>,
    wake: Condvar,
}

struct State {
    jobs: VecDeque<Job>,
    threads: usize,
    idle: usize,
    taken: Instant,
}

impl Pool {
    /// Creates a pool of up to `base` threads while none blocks, and at most `most`.
    pub(crate) fn new(name: &'static str, base: usize, most: usize) -> Self {
        let state = State {
            jobs: VecDeque::new(),
            threads: 0,
            idle: 0,
            taken: Instant::now(),
        };
        let shared = Shared {
            name,
            base,
            most,
            state: Mutex::new(state),
            wake: Condvar::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Runs a job that is not expected to block.
    pub(crate) fn run(&self, job: impl FnOnce() + Send + 'static) {
        let mut state = self.shared.lock();
        state.jobs.push_back(Box::new(job));
        let few = state.threads < self.shared.base;
        let stuck = state.threads < self.shared.most && state.taken.elapsed() > STUCK;
        if state.idle >= state.jobs.len() || !(few || stuck) {
            drop(state);
            self.shared.wake.notify_one();
            return;
        }
        self.grow(state);
    }

    /// Runs a job that may block for long: a thread is started unless one is idle.
    pub(crate) fn run_slow(&self, job: impl FnOnce() + Send + 'static) {
        let mut state = self.shared.lock();
        state.jobs.push_back(Box::new(job));
        if state.idle >= state.jobs.len() || state.threads >= self.shared.most {
            drop(state);
            self.shared.wake.notify_one();
            return;
        }
        self.grow(state);
    }

    fn grow(&self, mut state: MutexGuard<'_, State>) {
        state.threads += 1;
        drop(state);
        let shared = Arc::clone(&self.shared);
        let spawned = thread::Builder::new()
            .name(self.shared.name.to_owned())
            .spawn(move || shared.work());
        if spawned.is_err() {
            // The host has no thread to spare: the job waits for one of those that run.
            self.shared.lock().threads -= 1;
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn work(&self) {
        while let Some(job) = self.take() {
            job();
        }
    }

    /// Returns the next job, or `None` when the thread shall end.
    fn take(&self) -> Option<Job> {
        let mut state = self.lock();
        loop {
            if let Some(job) = state.jobs.pop_front() {
                state.taken = Instant::now();
                return Some(job);
            }
            state.idle += 1;
            let (woken, wait) = self
                .wake
                .wait_timeout(state, IDLE)
                .unwrap_or_else(PoisonError::into_inner);
            state = woken;
            state.idle -= 1;
            state.taken = Instant::now();
            if wait.timed_out() && state.jobs.is_empty() {
                state.threads -= 1;
                return None;
            }
        }
    }
}
