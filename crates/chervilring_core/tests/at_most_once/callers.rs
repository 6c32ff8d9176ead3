//! Callers and upstreams: what was submitted, answered and started, and what must hold.

use std::collections::BTreeMap;

use bytes::Bytes;
use chervilring_wire::{
    CorrelationId, Kind, Micros, Origin, Reply, Submission, SubmissionId, TaskKey, Verdict,
};

use crate::rng::Rng;

/// One submission of an id at an entry.
struct Call {
    id: usize,
    reply: Option<Reply>,
}

/// An id and its tasks.
struct Job {
    id: SubmissionId,
    tasks: usize,
    started: BTreeMap<u32, u32>,
    calls: Vec<usize>,
}

/// All callers.
#[derive(Default)]
pub(crate) struct Callers {
    jobs: BTreeMap<usize, Job>,
    by_id: BTreeMap<SubmissionId, usize>,
    calls: Vec<Call>,
    /// What was violated.
    pub(crate) faults: Vec<String>,
    /// Whether any two starts of one task were seen.
    pub(crate) doubled: bool,
}

impl Callers {
    /// Returns the next submission of an id; its first one makes the id.
    pub(crate) fn submit(
        &mut self,
        n: usize,
        wall: u64,
        rng: &mut Rng,
        exact: bool,
    ) -> (CorrelationId, Submission) {
        let job = self.jobs.entry(n).or_insert_with(|| {
            let skew = if exact { 0 } else { rng.range(0, 4_000) };
            let stamp = u128::from(wall + skew - if exact { 0 } else { 2_000 });
            let random = u128::from(rng.draw() >> 4);
            let id = if rng.chance(75) {
                SubmissionId(stamp << 80 | 7 << 76 | 0b10 << 62 | random)
            } else {
                SubmissionId::from_key(&format!("{random}"))
            };
            Job {
                id,
                tasks: rng.range(1, 3) as usize,
                started: BTreeMap::new(),
                calls: Vec::new(),
            }
        });
        self.by_id.insert(job.id, n);
        job.calls.push(self.calls.len());
        let ticket = CorrelationId(self.calls.len() as u64);
        self.calls.push(Call { id: n, reply: None });
        (ticket, submission(n, job))
    }

    /// Returns an id that was submitted before.
    pub(crate) fn id(&self, n: usize) -> Option<SubmissionId> {
        self.jobs.get(&n).map(|job| job.id)
    }

    /// Returns a ticket whose reply is of no interest.
    pub(crate) fn no_ticket() -> CorrelationId {
        CorrelationId(u64::MAX)
    }

    /// Notes that an upstream started a task.
    pub(crate) fn started(&mut self, key: TaskKey, at: &str) {
        let Some(n) = self.by_id.get(&key.submission) else {
            self.faults.push(format!("unknown task {key} was started"));
            return;
        };
        let Some(job) = self.jobs.get_mut(n) else {
            return;
        };
        let count = job.started.entry(key.index.0).or_default();
        *count += 1;
        if *count > 1 {
            self.doubled = true;
            self.faults
                .push(format!("{at}: id {n} task {key} started again"));
        }
    }

    /// Takes in a reply at the moment that the entry gives it.
    pub(crate) fn reply(&mut self, ticket: CorrelationId, reply: Reply, at: &str) {
        let Some(call) = self.calls.get_mut(ticket.0 as usize) else {
            return;
        };
        if call.reply.is_some() {
            let text = format!("{at}: id {} was answered twice", call.id);
            self.faults.push(text);
            return;
        }
        call.reply = Some(reply.clone());
        let n = call.id;
        let Some(job) = self.jobs.get(&n) else { return };
        match reply {
            Reply::Complete(outputs) => {
                let right = outputs.iter().enumerate();
                let right = right.filter(|(k, o)| o.body == body(n, *k)).count();
                if outputs.len() != job.tasks || right != job.tasks {
                    let text = format!("{at}: id {n} got a partial or foreign answer");
                    self.faults.push(text);
                }
            }
            Reply::Failed(failure) if failure.verdict == Verdict::NotRun => {
                self.check_not_run(n, ticket.0 as usize, &format!("{at}: {failure:?}"));
            }
            _ => {}
        }
    }

    /// Checks that nothing ran of an id that is said not to have run, unless another submission of
    /// it came later or is still open.
    fn check_not_run(&mut self, n: usize, call: usize, at: &str) {
        let Some(job) = self.jobs.get(&n) else { return };
        let later = job.calls.iter().any(|c| *c > call);
        let open = job.calls.iter().any(|c| self.calls[*c].reply.is_none());
        if !later && !open && !job.started.is_empty() {
            self.faults.push(format!("{at}: id {n} ran all the same"));
        }
    }

    /// Checks what must hold in the end.
    pub(crate) fn finish(&mut self) {
        for (n, job) in &self.jobs {
            let not_run =
                |reply: &Reply| matches!(reply, Reply::Failed(f) if f.verdict == Verdict::NotRun);
            let mut calls = job.calls.iter().map(|c| self.calls[*c].reply.as_ref());
            let none = calls.all(|reply| reply.is_some_and(not_run));
            if none && !job.started.is_empty() {
                self.faults
                    .push(format!("id {n} ran, all its callers were told it did not"));
            }
        }
    }

    /// Returns how many submissions were made, answered complete, and said not to have run.
    pub(crate) fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for call in &self.calls {
            counts.calls += 1;
            match &call.reply {
                Some(Reply::Complete(_)) => counts.complete += 1,
                Some(Reply::Failed(f)) if f.verdict == Verdict::NotRun => counts.refused += 1,
                Some(Reply::Failed(_)) => counts.unsure += 1,
                _ => counts.open += 1,
            }
        }
        let started = self.jobs.values().map(|job| job.started.len() as u64);
        counts.starts = started.sum();
        counts
    }
}

/// What became of the submissions.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Counts {
    pub(crate) calls: u64,
    pub(crate) complete: u64,
    pub(crate) refused: u64,
    pub(crate) unsure: u64,
    pub(crate) open: u64,
    pub(crate) starts: u64,
}

impl Counts {
    /// Adds the counts of another schedule.
    pub(crate) fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.complete += other.complete;
        self.refused += other.refused;
        self.unsure += other.unsure;
        self.open += other.open;
        self.starts += other.starts;
    }
}

fn body(n: usize, task: usize) -> Bytes {
    Bytes::from(format!("{n}/{task}"))
}

fn submission(n: usize, job: &Job) -> Submission {
    Submission {
        id: job.id,
        origin: Origin::ClientKey,
        kind: if job.tasks == 1 {
            Kind::Request
        } else {
            Kind::Job
        },
        service: "bay".into(),
        team: "team".into(),
        strict: false,
        remaining: Some(Micros::from_secs(8)),
        wait: None,
        media: "text/plain".into(),
        fingerprint: n as u128,
        bodies: (0..job.tasks).map(|k| body(n, k)).collect(),
    }
}
