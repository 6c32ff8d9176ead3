//! The threads that call the upstream.

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

use chervilring_core::agent::{CallEnd, UpstreamCall};
use chervilring_wire::TaskKey;
use rustc_hash::{FxHashMap, FxHashSet};
use ureq::Agent;

use super::call::{call, client};
use crate::net::{Clock, Inbox};

/// The stack of a calling thread, in bytes.
const STACK: usize = 256 << 10;

/// The end of a call.
pub(super) type Ended = (TaskKey, CallEnd);

/// A pool of threads, each with a connection of its own; it grows with the calls at once.
pub(super) struct Calls {
    shared: Arc<Shared>,
    threads: usize,
    limit: usize,
}

/// What all threads share.
struct Shared {
    state: Mutex<State>,
    ready: Condvar,
    clock: Clock,
    ends: Inbox<Ended>,
    /// The largest answer, in bytes.
    answer: u64,
}

#[derive(Default)]
struct State {
    queue: VecDeque<UpstreamCall>,
    idle: usize,
    /// The clients of the calls under way.
    clients: FxHashMap<TaskKey, Agent>,
    aborted: FxHashSet<TaskKey>,
}

impl Calls {
    /// Creates a pool of at most `limit` threads; answers may have `answer` bytes.
    pub(super) fn new(clock: Clock, ends: Inbox<Ended>, limit: usize, answer: u64) -> Self {
        let shared = Shared {
            state: Mutex::default(),
            ready: Condvar::new(),
            clock,
            ends,
            answer,
        };
        Self {
            shared: Arc::new(shared),
            threads: 0,
            limit,
        }
    }

    /// Starts a call; its end comes through the inbox.
    ///
    /// # Errors
    ///
    /// Returns the system's error when a thread is needed and cannot be had; the call waits then
    /// for one that becomes free.
    pub(super) fn start(&mut self, call: UpstreamCall) -> io::Result<()> {
        let mut state = self.shared.lock();
        state.queue.push_back(call);
        let grow = state.queue.len() > state.idle && self.threads < self.limit;
        drop(state);
        self.shared.ready.notify_one();
        if !grow {
            return Ok(());
        }
        let shared = Arc::clone(&self.shared);
        let name = format!("call-{}", self.threads);
        let thread = thread::Builder::new().name(name).stack_size(STACK);
        thread.spawn(move || shared.work())?;
        self.threads += 1;
        Ok(())
    }

    /// Gives up a call by closing its connection.
    pub(super) fn abort(&self, key: TaskKey) {
        let mut state = self.shared.lock();
        if let Some(place) = state.queue.iter().position(|c| c.key == key) {
            state.queue.remove(place);
            drop(state);
            self.shared.ends.push((key, CallEnd::Aborted));
            return;
        }
        let Some(client) = state.clients.remove(&key) else {
            return;
        };
        state.aborted.insert(key);
        drop(state);
        client.shutdown();
    }
}

impl Shared {
    /// Carries out calls for as long as the process lives.
    fn work(&self) {
        let mut own = client();
        loop {
            let task = self.next(&own);
            let mut end = call(&own, &task, self.clock.time(), self.answer);
            if self.finish(task.key) {
                own = client();
                if !matches!(end, CallEnd::Answer { .. }) {
                    end = CallEnd::Aborted;
                }
            }
            self.ends.push((task.key, end));
        }
    }

    /// Waits for the next call and takes it.
    fn next(&self, own: &Agent) -> UpstreamCall {
        let mut state = self.lock();
        loop {
            if let Some(call) = state.queue.pop_front() {
                state.clients.insert(call.key, own.clone());
                return call;
            }
            state.idle += 1;
            let woken = self.ready.wait(state);
            state = woken.unwrap_or_else(PoisonError::into_inner);
            state.idle -= 1;
        }
    }

    /// Takes note that a call has ended; returns whether it was aborted.
    fn finish(&self, key: TaskKey) -> bool {
        let mut state = self.lock();
        state.clients.remove(&key);
        state.aborted.remove(&key)
    }

    /// Locks the state; a thread that panicked has left it whole.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
