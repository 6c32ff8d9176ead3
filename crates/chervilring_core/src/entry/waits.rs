//! Callers who wait for a submission to end.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use chervilring_wire::{CorrelationId, EntryId, Failure, Reply, SubmissionId, Time, Verdict};
use rustc_hash::FxHashMap;

/// Where a reply goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Address {
    /// A caller connected to this entry.
    Local(CorrelationId),
    /// Another entry, on behalf of a caller there.
    Peer {
        /// The entry.
        entry: EntryId,
        /// Its ticket.
        ticket: CorrelationId,
    },
}

/// Whom a reply goes to, and what is known of the submission from before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Caller {
    address: Address,
    /// What the submission may have done at entries that it was passed to before: no failure that
    /// the caller is told says less.
    earlier: Verdict,
}

impl Caller {
    /// Creates a caller connected to this entry.
    pub(super) fn local(ticket: CorrelationId) -> Self {
        Self {
            address: Address::Local(ticket),
            earlier: Verdict::NotRun,
        }
    }

    /// Creates a caller at another entry.
    pub(super) fn peer(entry: &EntryId, ticket: CorrelationId) -> Self {
        Self {
            address: Address::Peer {
                entry: entry.clone(),
                ticket,
            },
            earlier: Verdict::NotRun,
        }
    }

    /// Records that the submission may have run at another entry.
    #[must_use]
    pub(super) fn may_have_run(self) -> Self {
        Self {
            earlier: self.earlier.max(Verdict::MayHaveRun),
            ..self
        }
    }

    /// Returns where a reply goes, and the reply as the caller is told it.
    ///
    /// There is no other way to the address, so that each reply is true of all tries.
    pub(super) fn answer(self, reply: Reply) -> (Address, Reply) {
        let reply = match reply {
            Reply::Failed(failure) => Reply::Failed(Failure {
                verdict: failure.verdict.max(self.earlier),
                ..failure
            }),
            Reply::Complete(_) | Reply::Pending(_) => reply,
        };
        (self.address, reply)
    }
}

/// The callers who wait, by submission.
#[derive(Debug, Default)]
pub(super) struct WaitTable {
    table: FxHashMap<SubmissionId, Vec<Wait>>,
    expiries: BinaryHeap<Reverse<(Time, SubmissionId)>>,
    count: usize,
}

#[derive(Debug)]
struct Wait {
    caller: Caller,
    until: Time,
}

impl WaitTable {
    /// Adds a caller who waits until a point in time.
    pub(super) fn add(&mut self, id: SubmissionId, caller: Caller, until: Time) {
        if until < Time::NEVER {
            self.expiries.push(Reverse((until, id)));
        }
        self.table
            .entry(id)
            .or_default()
            .push(Wait { caller, until });
        self.count += 1;
    }

    /// Takes all callers who wait for a submission.
    pub(super) fn take(&mut self, id: SubmissionId) -> Vec<Caller> {
        let waits = self.table.remove(&id).unwrap_or_default();
        self.count -= waits.len();
        waits.into_iter().map(|wait| wait.caller).collect()
    }

    /// Takes all callers.
    pub(super) fn take_all(&mut self) -> Vec<Caller> {
        let mut ids: Vec<SubmissionId> = self.table.keys().copied().collect();
        ids.sort_unstable();
        ids.into_iter().flat_map(|id| self.take(id)).collect()
    }

    /// Takes the callers who wait no longer.
    pub(super) fn expired(&mut self, now: Time) -> Vec<(SubmissionId, Caller)> {
        let mut callers = Vec::new();
        while let Some(Reverse((until, id))) = self.expiries.peek().copied() {
            if until > now {
                break;
            }
            self.expiries.pop();
            self.take_expired(id, now, &mut callers);
        }
        self.count -= callers.len();
        callers
    }

    fn take_expired(
        &mut self,
        id: SubmissionId,
        now: Time,
        callers: &mut Vec<(SubmissionId, Caller)>,
    ) {
        let Some(waits) = self.table.get_mut(&id) else {
            return;
        };
        let expired = waits.extract_if(.., |wait| wait.until <= now);
        callers.extend(expired.map(|wait| (id, wait.caller)));
        if waits.is_empty() {
            self.table.remove(&id);
        }
    }

    /// Returns when the next caller stops waiting.
    pub(super) fn next_expiry(&self) -> Time {
        let first = self.expiries.peek();
        first.map_or(Time::NEVER, |Reverse((until, _))| *until)
    }

    /// Returns how many callers wait.
    pub(super) fn len(&self) -> usize {
        self.count
    }
}
