//! The threads that call the upstream of a runner.

use chervilring_core::runs::runner::{CallOutcome, UpstreamCall};
use chervilring_wire::Time;

use super::dialect::WorkerDialect;
use crate::http::pool::Pool;
use crate::net::{Clock, Inbox};

/// Threads for short calls while none of them blocks.
const THREADS: usize = 3;

/// Most threads for short calls.
const MAX_THREADS: usize = 24;

/// A call that has ended: when it was made, what it was, and what became of it.
#[derive(Debug)]
pub(super) struct Called {
    pub(super) sent: Time,
    pub(super) call: UpstreamCall,
    pub(super) outcome: CallOutcome,
}

/// The threads.
pub(super) struct Calls {
    short: Pool,
    long: Pool,
    dialect: WorkerDialect,
    clock: Clock,
    ends: Inbox<Called>,
}

impl Calls {
    pub(super) fn new(dialect: WorkerDialect, clock: Clock, ends: Inbox<Called>) -> Self {
        Self {
            short: Pool::new("call", THREADS, MAX_THREADS),
            long: Pool::new("hold", 1, 2),
            dialect,
            clock,
            ends,
        }
    }

    /// Makes a call; its outcome comes through the inbox.
    pub(super) fn start(&self, call: UpstreamCall) {
        let dialect = self.dialect.clone();
        let clock = self.clock;
        let ends = self.ends.clone();
        let long = matches!(call, UpstreamCall::Poll { .. });
        let work = move || {
            let sent = clock.time();
            let outcome = (dialect.call)(&call);
            ends.push(Called {
                sent,
                call,
                outcome,
            });
        };
        if long {
            self.long.run_slow(work);
        } else {
            self.short.run(work);
        }
    }
}
