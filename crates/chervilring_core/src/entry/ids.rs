//! The table of ids that this entry is the home of.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use chervilring_wire::{
    Failure, Now, Origin, Reason, Reply, SubmissionId, TaskOutput, Time, Timestamp, Verdict,
};
use rustc_hash::{FxHashMap, FxHashSet};

use super::failure;
use super::limits::Limits;

/// What is known of an id.
#[derive(Debug, Clone)]
pub(super) enum Known {
    /// Its tasks are queued or running.
    Running,
    /// It ended; the reply is kept.
    Ended(Reply),
    /// It ended; the reply is no longer kept.
    Gone,
}

#[derive(Debug)]
struct Record {
    fingerprint: u128,
    origin: Origin,
    known: Known,
}

/// The ids of submissions, running and ended.
#[derive(Debug)]
pub(super) struct IdTable {
    table: FxHashMap<SubmissionId, Record>,
    /// When stamped ids may be forgotten, in order.
    expiries: BinaryHeap<Reverse<(Time, SubmissionId)>>,
    /// Ended ids with a kept reply, oldest first.
    kept: VecDeque<SubmissionId>,
    kept_bytes: usize,
    running: FxHashSet<SubmissionId>,
    unstamped: usize,
    limits: Limits,
    /// The latest wall-clock time seen, so that a clock set back does not bring old ids back.
    latest: Timestamp,
    dropped: u64,
}

impl IdTable {
    pub(super) fn new(limits: &Limits) -> Self {
        Self {
            table: FxHashMap::default(),
            expiries: BinaryHeap::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            running: FxHashSet::default(),
            unstamped: 0,
            limits: limits.clone(),
            latest: Timestamp::default(),
            dropped: 0,
        }
    }

    /// Returns what is known of an id and the fingerprint it came with.
    pub(super) fn get(&self, id: SubmissionId) -> Option<(u128, &Known)> {
        let record = self.table.get(&id)?;
        Some((record.fingerprint, &record.known))
    }

    /// Returns where an id in the table comes from.
    pub(super) fn origin(&self, id: SubmissionId) -> Option<Origin> {
        self.table.get(&id).map(|record| record.origin)
    }

    /// Checks that a new id can be told from one that was forgotten, and that it can be kept.
    ///
    /// # Errors
    ///
    /// Returns the failure to answer with. Its verdict is "may have run" for an id that may have
    /// been used before the window.
    pub(super) fn check_new(&mut self, now: Now, id: SubmissionId) -> Result<(), Failure> {
        self.latest = self.latest.max(now.wall);
        if let Some(stamp) = id.timestamp() {
            self.check_stamp(stamp)?;
        } else if self.unstamped >= self.limits.unstamped {
            return Err(failure(Verdict::NotRun, Reason::TableFull, None));
        }
        if self.table.len() >= self.limits.ids {
            return Err(failure(Verdict::NotRun, Reason::TableFull, None));
        }
        Ok(())
    }

    fn check_stamp(&self, stamp: Timestamp) -> Result<(), Failure> {
        let oldest = self.latest.0.saturating_sub(self.limits.window.as_millis());
        let newest = self.latest.0 + self.limits.skew.as_millis();
        if stamp.0 < oldest || stamp.0 > newest {
            return Err(failure(Verdict::MayHaveRun, Reason::IdExpired, None));
        }
        Ok(())
    }

    /// Adds an id whose tasks are about to be queued.
    pub(super) fn insert(&mut self, now: Now, id: SubmissionId, fingerprint: u128, origin: Origin) {
        self.add(now, id, fingerprint, origin, Known::Running);
        self.running.insert(id);
    }

    /// Adds an id that ended at another entry and was handed over.
    pub(super) fn insert_ended(
        &mut self,
        now: Now,
        id: SubmissionId,
        fingerprint: u128,
        reply: Option<Reply>,
    ) {
        if self.table.contains_key(&id) {
            return;
        }
        self.add(now, id, fingerprint, Origin::ClientKey, Known::Gone);
        if let Some(reply) = reply {
            self.keep(id, reply);
        }
    }

    fn add(&mut self, now: Now, id: SubmissionId, fingerprint: u128, origin: Origin, known: Known) {
        let record = Record {
            fingerprint,
            origin,
            known,
        };
        self.table.insert(id, record);
        if origin == Origin::Generated {
            return;
        }
        if id.timestamp().is_some() {
            // The stamp may lie ahead by the skew, and it is compared with a clock that may be
            // behind by the skew.
            let span = self.limits.window + self.limits.skew + self.limits.skew;
            self.expiries.push(Reverse((now.mono + span, id)));
        } else {
            self.unstamped += 1;
        }
    }

    /// Records how a submission ended.
    ///
    /// An id that did not run is forgotten, so that it can be submitted again; one that its caller
    /// cancelled is not. Returns whether it was forgotten.
    pub(super) fn end(&mut self, id: SubmissionId, reply: Reply) -> bool {
        let Some(record) = self.table.get(&id) else {
            return false;
        };
        self.running.remove(&id);
        let forget = record.origin == Origin::Generated || may_start_anew(&reply);
        if forget {
            self.remove(id);
        } else {
            self.keep(id, reply);
        }
        forget
    }

    fn keep(&mut self, id: SubmissionId, reply: Reply) {
        let Some(record) = self.table.get_mut(&id) else {
            return;
        };
        self.kept_bytes += size(&reply);
        record.known = Known::Ended(reply);
        self.kept.push_back(id);
        while self.kept_bytes > self.limits.answer_bytes {
            let Some(oldest) = self.kept.pop_front() else {
                break;
            };
            self.drop_reply(oldest);
        }
    }

    fn drop_reply(&mut self, id: SubmissionId) {
        let Some(record) = self.table.get_mut(&id) else {
            return;
        };
        if let Known::Ended(reply) = &record.known {
            self.kept_bytes -= size(reply);
            record.known = Known::Gone;
            self.dropped += 1;
        }
    }

    fn remove(&mut self, id: SubmissionId) {
        let Some(record) = self.table.remove(&id) else {
            return;
        };
        if let Known::Ended(reply) = &record.known {
            self.kept_bytes -= size(reply);
        }
        if record.origin == Origin::ClientKey && id.timestamp().is_none() {
            self.unstamped -= 1;
        }
    }

    /// Forgets the stamped ids that are older than the window; a running one is kept.
    pub(super) fn forget_expired(&mut self, now: Now) {
        self.latest = self.latest.max(now.wall);
        while let Some(Reverse((expiry, id))) = self.expiries.peek().copied() {
            if expiry > now.mono {
                break;
            }
            self.expiries.pop();
            match self.table.get(&id).map(|record| &record.known) {
                Some(Known::Running) => {
                    let later = now.mono + self.limits.window;
                    self.expiries.push(Reverse((later, id)));
                }
                Some(_) => self.remove(id),
                None => {}
            }
        }
        // Replies of forgotten ids leave the queue here, not by a search at each removal.
        while let Some(id) = self.kept.front() {
            if self.table.contains_key(id) {
                break;
            }
            self.kept.pop_front();
        }
    }

    /// Returns how many submissions run.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the keyed ids that run.
    pub(super) fn running_keyed(&self) -> impl Iterator<Item = SubmissionId> + '_ {
        let keyed = |id: &SubmissionId| {
            let record = self.table.get(id);
            record.is_some_and(|record| record.origin == Origin::ClientKey)
        };
        self.running.iter().copied().filter(keyed)
    }

    /// Returns how many ids are remembered.
    pub(super) fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns how many bytes of answers are kept.
    pub(super) fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Returns how many answers were dropped to keep within the limit.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Visits the keyed ids: the id, its fingerprint and what is known.
    pub(super) fn keyed(&self) -> impl Iterator<Item = (SubmissionId, u128, &Known)> {
        let keyed = self
            .table
            .iter()
            .filter(|(_, r)| r.origin == Origin::ClientKey);
        keyed.map(|(id, record)| (*id, record.fingerprint, &record.known))
    }
}

/// Returns whether a submission that ended like this may be started by a later submission.
fn may_start_anew(reply: &Reply) -> bool {
    let Reply::Failed(failure) = reply else {
        return false;
    };
    failure.verdict == Verdict::NotRun && failure.reason != Reason::Cancelled
}

/// The bytes that a kept reply takes.
fn size(reply: &Reply) -> usize {
    const REPLY: usize = 64;
    const OUTPUT: usize = std::mem::size_of::<TaskOutput>();
    match reply {
        Reply::Complete(outputs) => {
            let bodies: usize = outputs.iter().map(|o| o.body.len() + OUTPUT).sum();
            REPLY + bodies
        }
        Reply::Failed(_) | Reply::Pending(_) => REPLY,
    }
}
