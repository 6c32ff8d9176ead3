//! The loop of a process.

use std::io;
use std::time::{Duration, Instant};

use stakker::Stakker;
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};

/// How many events one poll of the system brings in at most.
const EVENTS: usize = 1024;

/// The longest wait for an event.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// The priority at which events from threads are handled, out of `0..=10`.
const WAKER_PRIORITY: u32 = 10;

/// A `stakker` loop that polls sockets.
pub struct EventLoop {
    /// The actor system: daemons create their actors in it before [`EventLoop::run`].
    pub stakker: Stakker,
    /// The poller, for links and sockets.
    pub poll: MioPoll,
}

impl EventLoop {
    /// Creates a loop.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no poller can be had.
    pub fn new() -> io::Result<Self> {
        let mut stakker = Stakker::new(Instant::now());
        let poll = Poll::new()?;
        let poll = MioPoll::new(
            &mut stakker,
            poll,
            Events::with_capacity(EVENTS),
            WAKER_PRIORITY,
        )?;
        Ok(Self { stakker, poll })
    }

    /// Runs until an actor shuts the system down.
    ///
    /// # Errors
    ///
    /// Returns the system's error when polling fails.
    pub fn run(&mut self) -> io::Result<()> {
        let mut idle = self.stakker.run(Instant::now(), false);
        let mut pending = false;
        while self.stakker.not_shutdown() {
            let now = Instant::now();
            let wait = self.stakker.next_wait_max(now, MAX_WAIT, idle || pending);
            let (activity, io_pending) = self.poll.poll(wait)?;
            pending = io_pending;
            idle = self.stakker.run(Instant::now(), !activity);
        }
        Ok(())
    }
}
