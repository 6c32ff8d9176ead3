//! A model of an upstream that enforces leases, fencing tokens and attempts, and nothing else.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chervilring_core::runs::runner::{
    Availability, CallOutcome, CallRefusal, ListedEnd, ListedRun, Report, RunLists, UpstreamCall,
    UpstreamIncarnation,
};
use chervilring_wire::{DomainName, Name, Resources, RunEnd, RunKey, Time};

/// A task, regardless of the attempt.
pub(crate) type TaskId = (u64, u32, u32);

/// An active run.
#[derive(Debug, Clone)]
pub(crate) struct ActiveRun {
    pub(crate) since: Time,
    pub(crate) end: Time,
    pub(crate) fails: bool,
    pub(crate) demand: Resources,
    /// Whether it never ends by itself.
    pub(crate) hangs: bool,
}

/// A rule that an upstream leaves out, to show that the checks notice its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ignored {
    /// Runs go on after the lease has expired.
    Leases,
    /// Calls that are addressed to another incarnation are carried out.
    Incarnation,
}

/// The model of an upstream.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    pub(crate) index: usize,
    pub(crate) id: Name,
    pub(crate) addr: SocketAddr,
    pub(crate) started_ms: u64,
    pub(crate) up: bool,
    pub(crate) draining: bool,
    /// When its runner first acknowledged that this incarnation drains.
    pub(crate) drain_acknowledged: Time,
    /// The rate of its clock relative to true time; at most one.
    pub(crate) rate: f64,
    pub(crate) speed: f64,
    pub(crate) capacity: Resources,
    /// What it does not enforce.
    pub(crate) ignored: Option<Ignored>,
    /// How late it ends what runs when the lease has expired, in milliseconds.
    pub(crate) end_delay: u64,
    /// When this incarnation started.
    started: Time,
    /// The number of incarnations before this one.
    incarnations: u64,
    /// When the first incarnation under its id started, by the time of day.
    pub(crate) first_start: u64,
    /// Whether the time of day is set back between incarnations, and forward again.
    pub(crate) is_set_back: bool,
    pub(crate) active: BTreeMap<RunKey, ActiveRun>,
    pub(crate) ended: Vec<ListedEnd>,
    /// The runs that have failed, over all incarnations.
    pub(crate) failed: Vec<RunKey>,
    pub(crate) sequence: u64,
    last_end: u64,
    lease_end: u64,
    /// The longest lease that it was granted, in milliseconds of its clock.
    pub(crate) longest_lease: u64,
    fencing_token: u64,
    /// The highest attempt per task that was stopped or has ended here.
    ended_attempts: BTreeMap<TaskId, u32>,
}

/// When the first incarnation of an upstream starts, in milliseconds since the Unix epoch.
pub(crate) const FIRST_START: u64 = 1_000;

/// The number of failure domains over which upstreams are spread in turn.
pub(crate) const DOMAINS: usize = 2;

/// Returns the failure domain of an upstream and its runner.
pub(crate) fn domain_of(index: usize) -> DomainName {
    format!("d{}", index % DOMAINS).as_str().into()
}

pub(crate) fn task_of(run: &RunKey) -> TaskId {
    (run.job.0, run.step, run.index)
}

impl Upstream {
    pub(crate) fn new(index: usize, rate: f64, speed: f64, cpu: u64) -> Self {
        Self {
            index,
            id: format!("u{index}").as_str().into(),
            addr: "127.0.0.1:1".parse().unwrap(),
            started_ms: FIRST_START,
            up: true,
            draining: false,
            drain_acknowledged: Time::NEVER,
            rate,
            speed,
            capacity: Resources {
                cpu,
                memory: 64_000,
                gpu: 0,
            },
            ignored: None,
            end_delay: 0,
            started: Time::default(),
            incarnations: 0,
            first_start: FIRST_START,
            is_set_back: false,
            active: BTreeMap::new(),
            ended: Vec::new(),
            failed: Vec::new(),
            sequence: 0,
            last_end: 0,
            lease_end: 0,
            longest_lease: 0,
            fencing_token: 0,
            ended_attempts: BTreeMap::new(),
        }
    }

    /// Returns its clock in milliseconds, which starts anew with each incarnation.
    pub(crate) fn clock(&self, now: Time) -> u64 {
        let age = self.started.duration_until(now);
        (age.0 as f64 * self.rate / 1_000.0) as u64 + 1_000
    }

    /// Ends the runs that are due by `now`.
    pub(crate) fn advance(&mut self, now: Time) {
        if !self.up {
            return;
        }
        let clock = self.clock(now);
        let is_expired =
            self.ignored != Some(Ignored::Leases) && clock >= self.lease_end + self.end_delay;
        let is_over = |g: &ActiveRun| !g.hangs && g.end <= now;
        let rows = self.active.iter().filter(|(_, g)| is_over(g) || is_expired);
        let due: Vec<(RunKey, RunEnd)> = rows
            .map(|(r, g)| {
                let end = match (is_over(g), g.fails) {
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
        self.active.remove(&run);
        self.last_end += 1;
        let seq = self.last_end;
        self.ended.push(ListedEnd { seq, run, end });
        if end == RunEnd::Failed {
            self.failed.push(run);
        }
        let ended_attempts = self.ended_attempts.entry(task_of(&run)).or_default();
        *ended_attempts = (*ended_attempts).max(run.attempt);
    }

    /// Ends this incarnation; the next one starts without any state.
    pub(crate) fn crash(&mut self) {
        self.up = false;
        self.active.clear();
        self.ended.clear();
        self.ended_attempts.clear();
        self.last_end = 0;
        self.lease_end = 0;
        self.fencing_token = 0;
        self.sequence = 0;
    }

    pub(crate) fn restart(&mut self, now: Time) {
        self.up = true;
        self.draining = false;
        self.drain_acknowledged = Time::NEVER;
        self.incarnations += 1;
        self.started = now;
        // The time of day of its host may have been set back in between.
        self.started_ms = if self.is_set_back && self.incarnations % 2 == 1 {
            self.first_start - self.incarnations
        } else {
            self.first_start + self.incarnations
        };
    }

    pub(crate) fn report(&mut self, now: Time) -> Report {
        self.sequence += 1;
        Report {
            incarnation: self.incarnation(),
            service: "work".into(),
            domain: domain_of(self.index),
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

    pub(crate) fn incarnation(&self) -> UpstreamIncarnation {
        UpstreamIncarnation {
            id: self.id.clone(),
            started_ms: self.started_ms,
            addr: self.addr,
        }
    }

    /// Carries out a call. `work` returns a run's duration at speed one, and whether it fails or
    /// hangs.
    pub(crate) fn handle_call(
        &mut self,
        now: Time,
        call: &UpstreamCall,
        work: impl Fn(&RunKey) -> (u64, bool, bool),
    ) -> CallOutcome {
        self.advance(now);
        if call.incarnation().id != self.incarnation().id {
            return self.refused(now, CallRefusal::OtherLife);
        }
        let is_misdirected = call.incarnation().started_ms != self.started_ms;
        if is_misdirected && self.ignored != Some(Ignored::Incarnation) {
            return self.handle_misdirected(now, call);
        }
        let (UpstreamCall::Start { fencing_token, .. }
        | UpstreamCall::Stop { fencing_token, .. }
        | UpstreamCall::Poll { fencing_token, .. }) = call;
        if *fencing_token < self.fencing_token {
            return self.refused(now, CallRefusal::Fence);
        }
        self.fencing_token = *fencing_token;
        let clock = Some(self.clock(now));
        match call {
            UpstreamCall::Start {
                run,
                demand,
                lease_end,
                ..
            } => {
                if self.active.contains_key(run) {
                    self.extend(now, *lease_end);
                    return CallOutcome::Done { clock };
                }
                if self
                    .ended_attempts
                    .get(&task_of(run))
                    .is_some_and(|p| *p >= run.attempt)
                {
                    self.extend(now, *lease_end);
                    return self.refused(now, CallRefusal::Old);
                }
                if *lease_end <= self.clock(now) {
                    return self.refused(now, CallRefusal::Late);
                }
                self.extend(now, *lease_end);
                let (duration, fails, hangs) = work(run);
                let active = ActiveRun {
                    since: now,
                    end: Time(now.0 + (duration as f64 / self.speed) as u64),
                    fails,
                    hangs,
                    demand: *demand,
                };
                self.active.insert(*run, active);
                CallOutcome::Done { clock }
            }
            UpstreamCall::Stop { run, .. } => {
                let ended_attempts = self.ended_attempts.entry(task_of(run)).or_default();
                *ended_attempts = (*ended_attempts).max(run.attempt);
                if self.active.contains_key(run) {
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
                CallOutcome::Listed(self.lists(now))
            }
        }
    }

    /// Answers a call that is addressed to another incarnation. It has no effect.
    fn handle_misdirected(&self, now: Time, call: &UpstreamCall) -> CallOutcome {
        match call {
            UpstreamCall::Poll { .. } => CallOutcome::Listed(self.lists(now)),
            _ => CallOutcome::Refused {
                reason: CallRefusal::OtherLife,
                clock: None,
            },
        }
    }

    fn lists(&self, now: Time) -> RunLists {
        RunLists {
            clock: self.clock(now),
            started_ms: self.started_ms,
            active: self.list_active(now),
            ended: self.ended.clone(),
            has_more: false,
        }
    }

    fn list_active(&self, now: Time) -> Vec<ListedRun> {
        let percent = |g: &ActiveRun| {
            let all = g.end.0.saturating_sub(g.since.0).max(1);
            let done = now.0.saturating_sub(g.since.0).min(all);
            if g.hangs { 3 } else { (done * 100 / all) as u8 }
        };
        let rows = self.active.iter();
        rows.map(|(run, g)| ListedRun {
            run: *run,
            percent: percent(g),
        })
        .collect()
    }

    fn extend(&mut self, now: Time, lease: u64) {
        let clock = self.clock(now);
        self.lease_end = self.lease_end.max(lease.min(clock + 1_000));
        let left = self.lease_end.saturating_sub(clock);
        self.longest_lease = self.longest_lease.max(left);
    }

    fn refused(&self, now: Time, reason: CallRefusal) -> CallOutcome {
        let clock = Some(self.clock(now));
        CallOutcome::Refused { reason, clock }
    }

    /// Returns the resources that active runs take.
    pub(crate) fn used(&self) -> Resources {
        let rows = self.active.values();
        rows.fold(Resources::default(), |sum, g| sum.saturating_add(&g.demand))
    }
}
