//! A model of an upstream: it guards nothing but leases, fencing tokens and attempts.

use std::collections::BTreeMap;

use chervilring_core::runs::runner::{
    Availability, CallOutcome, CallRefusal, ListedEnd, ListedRun, Report, RunLists, UpstreamCall,
    UpstreamIncarnation,
};
use chervilring_wire::{Resources, RunEnd, RunKey, Time};

/// A task, whatever its attempt.
pub(crate) type TaskName = (u64, u32, u32);

/// A run that goes on.
#[derive(Debug, Clone)]
pub(crate) struct Going {
    pub(crate) since: Time,
    pub(crate) end: Time,
    pub(crate) fails: bool,
    pub(crate) demand: Resources,
    /// It never ends by itself.
    pub(crate) hangs: bool,
}

/// An upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) index: usize,
    pub(crate) born: u64,
    pub(crate) up: bool,
    pub(crate) draining: bool,
    /// The rate of its clock against true time; not above one.
    pub(crate) rate: f64,
    pub(crate) speed: f64,
    pub(crate) capacity: Resources,
    /// Whether leases are enforced.
    pub(crate) leases: bool,
    pub(crate) going: BTreeMap<RunKey, Going>,
    pub(crate) ended: Vec<ListedEnd>,
    pub(crate) sequence: u64,
    last: u64,
    lease: u64,
    fence: u64,
    /// The highest attempt that was stopped or has ended here.
    past: BTreeMap<TaskName, u32>,
}

pub(crate) fn name_of(run: &RunKey) -> TaskName {
    (run.job.0, run.step, run.index)
}

impl Upstream {
    pub(crate) fn new(index: usize, rate: f64, speed: f64, cpu: u64) -> Self {
        Self {
            index,
            born: 1_000,
            up: true,
            draining: false,
            rate,
            speed,
            capacity: Resources {
                cpu,
                memory: 64_000,
                gpu: 0,
            },
            leases: true,
            going: BTreeMap::new(),
            ended: Vec::new(),
            sequence: 0,
            last: 0,
            lease: 0,
            fence: 0,
            past: BTreeMap::new(),
        }
    }

    pub(crate) fn clock(&self, now: Time) -> u64 {
        (now.0 as f64 * self.rate / 1_000.0) as u64 + 777_000
    }

    /// Ends what is due by `now`.
    pub(crate) fn advance(&mut self, now: Time) {
        if !self.up {
            return;
        }
        let clock = self.clock(now);
        let lapsed = self.leases && clock >= self.lease;
        let over = |g: &Going| !g.hangs && g.end <= now;
        let rows = self.going.iter().filter(|(_, g)| over(g) || lapsed);
        let due: Vec<(RunKey, RunEnd)> = rows
            .map(|(r, g)| {
                let end = match (over(g), g.fails) {
                    (true, true) => RunEnd::Failed,
                    (true, false) => RunEnd::Done,
                    (false, _) => RunEnd::Lapsed,
                };
                (*r, end)
            })
            .collect();
        for (run, end) in due {
            self.finish(run, end);
        }
    }

    fn finish(&mut self, run: RunKey, end: RunEnd) {
        self.going.remove(&run);
        self.last += 1;
        let seq = self.last;
        self.ended.push(ListedEnd { seq, run, end });
        let past = self.past.entry(name_of(&run)).or_default();
        *past = (*past).max(run.attempt);
    }

    /// Ends this life; another one begins with nothing known.
    pub(crate) fn crash(&mut self) {
        self.up = false;
        self.going.clear();
        self.ended.clear();
        self.past.clear();
        self.last = 0;
        self.lease = 0;
        self.fence = 0;
        self.sequence = 0;
    }

    pub(crate) fn rise(&mut self) {
        self.up = true;
        self.draining = false;
        self.born += 1;
    }

    pub(crate) fn report(&mut self, now: Time) -> Report {
        self.sequence += 1;
        Report {
            incarnation: self.life(),
            service: "work".into(),
            domain: "d".into(),
            state: if self.draining {
                Availability::Draining
            } else {
                Availability::Ready
            },
            capacity: self.capacity,
            labels: vec![format!("r{}", self.index / 2).as_str().into()],
            sequence: self.sequence,
            clock: Some(self.clock(now)),
        }
    }

    fn life(&self) -> UpstreamIncarnation {
        UpstreamIncarnation {
            id: format!("u{}", self.index).as_str().into(),
            started_ms: self.born,
            addr: "127.0.0.1:1".parse().unwrap(),
        }
    }

    /// Carries out a call. `work` says how long a run takes at speed one and whether it fails or
    /// hangs.
    pub(crate) fn carry(
        &mut self,
        now: Time,
        call: &UpstreamCall,
        work: impl Fn(&RunKey) -> (u64, bool, bool),
    ) -> CallOutcome {
        self.advance(now);
        if call.incarnation().id != self.life().id {
            return self.refused(now, CallRefusal::OtherLife);
        }
        let (UpstreamCall::Start { fencing_token, .. }
        | UpstreamCall::Stop { fencing_token, .. }
        | UpstreamCall::Poll { fencing_token, .. }) = call;
        if *fencing_token < self.fence {
            return self.refused(now, CallRefusal::Fence);
        }
        self.fence = *fencing_token;
        let clock = Some(self.clock(now));
        match call {
            UpstreamCall::Start {
                run,
                demand,
                lease_end,
                ..
            } => {
                if self.going.contains_key(run) {
                    self.extend(now, *lease_end);
                    return CallOutcome::Done { clock };
                }
                if self
                    .past
                    .get(&name_of(run))
                    .is_some_and(|p| *p >= run.attempt)
                {
                    self.extend(now, *lease_end);
                    return self.refused(now, CallRefusal::Old);
                }
                if *lease_end <= self.clock(now) {
                    return self.refused(now, CallRefusal::Late);
                }
                self.extend(now, *lease_end);
                let (span, fails, hangs) = work(run);
                let going = Going {
                    since: now,
                    end: Time(now.0 + (span as f64 / self.speed) as u64),
                    fails,
                    hangs,
                    demand: *demand,
                };
                self.going.insert(*run, going);
                CallOutcome::Done { clock }
            }
            UpstreamCall::Stop { run, .. } => {
                let past = self.past.entry(name_of(run)).or_default();
                *past = (*past).max(run.attempt);
                if self.going.contains_key(run) {
                    self.finish(*run, RunEnd::Stopped);
                }
                CallOutcome::Done { clock }
            }
            UpstreamCall::Poll {
                lease_end, acked, ..
            } => {
                if let Some(lease) = lease_end {
                    self.extend(now, *lease);
                }
                self.ended.retain(|e| e.seq > *acked);
                CallOutcome::Listed(RunLists {
                    clock: self.clock(now),
                    started_ms: self.born,
                    active: self.active(now),
                    ended: self.ended.clone(),
                    has_more: false,
                })
            }
        }
    }

    fn active(&self, now: Time) -> Vec<ListedRun> {
        let percent = |g: &Going| {
            let all = g.end.0.saturating_sub(g.since.0).max(1);
            let done = now.0.saturating_sub(g.since.0).min(all);
            if g.hangs { 3 } else { (done * 100 / all) as u8 }
        };
        let rows = self.going.iter();
        rows.map(|(run, g)| ListedRun {
            run: *run,
            percent: percent(g),
        })
        .collect()
    }

    fn extend(&mut self, now: Time, lease: u64) {
        let most = self.clock(now) + 1_000;
        self.lease = self.lease.max(lease.min(most));
    }

    fn refused(&self, now: Time, reason: CallRefusal) -> CallOutcome {
        let clock = Some(self.clock(now));
        CallOutcome::Refused { reason, clock }
    }

    /// Returns what runs take.
    pub(crate) fn taken(&self) -> Resources {
        let rows = self.going.values();
        rows.fold(Resources::default(), |sum, g| sum.saturating_add(&g.demand))
    }
}
