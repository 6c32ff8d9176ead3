//! Upstreams as a planner knows them from its links.

use std::collections::VecDeque;

use chervilring_wire::{
    DomainName, Evacuations, Micros, Name, QueuedRuns, Resources, RunnerLevel, Time, UpstreamLoad,
    UpstreamState,
};

use super::health::Health;
use crate::runs::bounds::queue_timeout_bucket;

/// The share of the usual speed below which a reported one is a sudden fall.
const SUDDEN_FALL: f64 = 0.6;

/// The time over which the usual speed follows a sudden fall.
const USUAL_TIME: Micros = Micros::from_secs(5);

/// Knowledge of an upstream that is kept while links to it are lost and opened again.
#[derive(Debug, Clone, Default)]
pub(super) struct Profile {
    pub(super) health: Health,
    /// When its runner last sent a message.
    pub(super) last_seen: Time,
}

/// The origin of a link: the runner's incarnation, and the link's sequence number within it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct LinkSource {
    pub(super) incarnation: u64,
    pub(super) link_seq: u64,
}

impl LinkSource {
    /// Returns whether [`RunEnd::Lapsed`](chervilring_wire::RunEnd::Lapsed) stands for crashes only on
    /// the link.
    pub(super) fn tells_crashes(&self) -> bool {
        RunnerLevel::of_link(self.link_seq) >= RunnerLevel::CRASHES
    }

    /// Returns whether the runner knows the messages on room that is short.
    pub(super) fn knows_room(&self) -> bool {
        RunnerLevel::of_link(self.link_seq) >= RunnerLevel::ROOM
    }

    /// Returns whether this is an earlier link of the same incarnation.
    pub(super) fn is_before(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.link_seq < other.link_seq
    }
}

/// An upstream behind a link.
#[derive(Debug)]
pub(super) struct Upstream {
    /// The name of its runner.
    pub(super) name: Name,
    pub(super) domain: DomainName,
    pub(super) source: LinkSource,
    /// When the last message from the runner arrived.
    pub(super) last_heard: Time,
    /// The number of the runner's latest heartbeat, which the next heartbeat acknowledges.
    pub(super) heartbeat_seq: u64,
    /// The speed that was reported over the last seconds.
    pub(super) usual_speed: Option<f64>,
    /// The last reported state and when it arrived.
    pub(super) state: Option<(UpstreamState, Time)>,
    /// The sequence number of the last start message.
    pub(super) start_seq: u64,
    /// Start messages that the reported state does not include yet: their sequence numbers and what
    /// they take.
    pub(super) unreported: VecDeque<(u64, QueuedRuns)>,
    /// The number of this planner's runs there.
    pub(super) runs: u32,
    /// The version of the configuration replica that the runner has stored.
    pub(super) replica_version: u64,
    /// The version of the replica that it was last sent.
    pub(super) replica_sent: u64,
    /// The evacuated domains that the runner is known to hold.
    pub(super) evacuations: Evacuations,
    /// Whether its failure domain is evacuated.
    pub(super) evacuated: bool,
    /// The load that its runner told last, and when.
    pub(super) load: Option<(UpstreamLoad, Time)>,
}

impl Upstream {
    pub(super) fn new(name: Name, domain: DomainName, now: Time) -> Self {
        Self {
            name,
            domain,
            source: LinkSource::default(),
            last_heard: now,
            heartbeat_seq: 0,
            usual_speed: None,
            state: None,
            start_seq: 0,
            unreported: VecDeque::new(),
            runs: 0,
            replica_version: 0,
            replica_sent: 0,
            evacuations: Evacuations::default(),
            evacuated: false,
            load: None,
        }
    }

    /// Stores a reported state and forgets the start messages that it includes.
    pub(super) fn update_state(&mut self, state: UpstreamState, now: Time) {
        while self
            .unreported
            .front()
            .is_some_and(|(n, _)| *n <= state.start_seq)
        {
            self.unreported.pop_front();
        }
        self.record_speed(f64::from(state.speed) / 1_000.0, now);
        self.state = Some((state, now));
    }

    /// Returns the resources that go ahead of a run that is due after this time: those of runs queued
    /// there, and of start messages that the reported state does not include yet.
    pub(super) fn resources_ahead(&self, remaining: Micros) -> Resources {
        let Some((state, _)) = &self.state else {
            return Resources::default();
        };
        let waiting = state
            .queued
            .iter()
            .chain(self.unreported.iter().map(|(_, q)| q));
        // Runs in the same step of times may go first or not. All are counted.
        let step = queue_timeout_bucket(remaining);
        let ahead = waiting.filter(|q| q.queue_timeout <= step);
        ahead.fold(Resources::default(), |sum, q| sum.saturating_add(&q.demand))
    }

    /// Records a start message and returns its sequence number.
    pub(super) fn record_start(&mut self, queued: QueuedRuns, runs: u32) -> u64 {
        self.start_seq += 1;
        self.unreported.push_back((self.start_seq, queued));
        self.runs += runs;
        self.start_seq
    }

    /// Follows the reported speed at once while it drifts. A sudden fall is the pace of an upstream
    /// that has turned slow, whose runs are stragglers by the speed of before.
    fn record_speed(&mut self, speed: f64, now: Time) {
        let usual = self.usual_speed.unwrap_or(speed);
        if speed >= usual * SUDDEN_FALL {
            self.usual_speed = Some(speed);
            return;
        }
        let since = self.state.as_ref().map_or(now, |(_, at)| *at);
        let share = 1.0 - (-(since.duration_until(now).0 as f64) / USUAL_TIME.0 as f64).exp();
        self.usual_speed = Some(usual + (speed - usual) * share);
    }

    /// Returns the speed of the upstream. At 1.0 tasks take their declared run time.
    pub(super) fn speed(&self) -> f64 {
        let reported = self.state.as_ref().map(|(s, _)| s.speed);
        reported.map_or(1.0, |permille| f64::from(permille) / 1_000.0)
    }

    /// Returns whether the upstream accepts runs of a service.
    pub(super) fn accepts(&self, service: &str) -> bool {
        let is_open = self.state.as_ref().is_some_and(|(s, _)| s.accepting);
        is_open && !self.evacuated && self.offers(service)
    }

    /// Returns whether the upstream offers a service, whether or not it accepts runs.
    pub(super) fn offers(&self, service: &str) -> bool {
        let state = self.state.as_ref();
        state.is_some_and(|(s, _)| s.service.as_str() == service)
    }
}

/// Estimates how long a run waits for capacity on an upstream, where `requested` includes the run
/// itself. The part that does not fit becomes free once the same share of the running tasks has
/// ended.
pub(super) fn expected_wait(state: &UpstreamState, requested: &Resources) -> Micros {
    let excess = |requested: u64, free: u64, total: u64| {
        let missing = requested.saturating_sub(free);
        missing as f64 / total.max(1) as f64
    };
    let cpu = excess(requested.cpu, state.free.cpu, state.capacity.cpu);
    let memory = excess(requested.memory, state.free.memory, state.capacity.memory);
    let gpu = excess(requested.gpu, state.free.gpu, state.capacity.gpu);
    Micros((cpu.max(memory).max(gpu) * state.run_time.0 as f64) as u64)
}
