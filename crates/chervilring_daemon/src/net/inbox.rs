//! Typed events from threads into the loop.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use stakker::{Core, Fwd, Waker};

/// The sending side of a queue into the loop; any thread may hold a clone.
pub struct Inbox<E> {
    queue: Queue<E>,
    waker: Arc<Waker>,
}

type Queue<E> = Arc<Mutex<Vec<E>>>;

impl<E> Clone for Inbox<E> {
    fn clone(&self) -> Self {
        Self {
            queue: Arc::clone(&self.queue),
            waker: Arc::clone(&self.waker),
        }
    }
}

impl<E> fmt::Debug for Inbox<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inbox").finish_non_exhaustive()
    }
}

impl<E: Send + 'static> Inbox<E> {
    /// Creates an inbox whose events are forwarded in batches, in order.
    pub fn new(core: &mut Core, deliver: Fwd<Vec<E>>) -> Self {
        let queue: Queue<E> = Arc::default();
        let source = Arc::clone(&queue);
        let waker = core.waker(move |_, _| {
            let batch = std::mem::take(&mut *lock(&source));
            if !batch.is_empty() {
                deliver.fwd(batch);
            }
        });
        Self {
            queue,
            waker: Arc::new(waker),
        }
    }

    /// Adds an event and wakes the loop.
    pub fn push(&self, event: E) {
        let mut queue = lock(&self.queue);
        let first = queue.is_empty();
        queue.push(event);
        drop(queue);
        // A queue that was not empty has a wake-up under way already.
        if first {
            self.waker.wake();
        }
    }
}

/// Locks the queue; a thread that panicked while pushing has left it whole.
fn lock<E>(queue: &Mutex<Vec<E>>) -> MutexGuard<'_, Vec<E>> {
    queue.lock().unwrap_or_else(PoisonError::into_inner)
}
