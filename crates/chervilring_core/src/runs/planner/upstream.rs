//! The upstreams as a planner sees them over its links.

use std::collections::VecDeque;

use chervilring_wire::{DomainName, Micros, Name, QueuedRuns, Resources, Time, UpstreamState};

use super::health::Health;
use crate::runs::bounds::queue_timeout_bucket;

/// What is learnt of an upstream; it is kept while the link to it comes and goes.
#[derive(Debug, Clone, Default)]
pub(super) struct Profile {
    pub(super) health: Health,
    /// When it was last heard of.
    pub(super) seen: Time,
}

/// Where a link comes from: a life of a runner, and its number among the links of that life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct LinkSource {
    pub(super) life: u64,
    pub(super) number: u64,
}

impl LinkSource {
    /// Returns whether it is an earlier link of the same life.
    pub(super) fn is_before(&self, other: &Self) -> bool {
        self.life == other.life && self.number < other.number
    }
}

/// An upstream behind a link.
#[derive(Debug)]
pub(super) struct Upstream {
    /// The name of its runner.
    pub(super) name: Name,
    pub(super) domain: DomainName,
    pub(super) source: LinkSource,
    /// When the runner was last heard.
    pub(super) heard: Time,
    /// The newest heartbeat of the runner.
    pub(super) echo: u64,
    /// The state that it last told, and when that came.
    pub(super) state: Option<(UpstreamState, Time)>,
    /// Messages of starts sent so far.
    pub(super) number: u64,
    /// Starts that the state does not take into account yet: the message and all it takes.
    pub(super) unseen: VecDeque<(u64, QueuedRuns)>,
    /// Runs of this planner there.
    pub(super) runs: u32,
    /// The version of the configuration of which the runner keeps a copy, or was sent one.
    pub(super) kept: u64,
}

impl Upstream {
    pub(super) fn new(name: Name, domain: DomainName, now: Time) -> Self {
        Self {
            name,
            domain,
            source: LinkSource::default(),
            heard: now,
            echo: 0,
            state: None,
            number: 0,
            unseen: VecDeque::new(),
            runs: 0,
            kept: 0,
        }
    }

    /// Takes in a state.
    pub(super) fn set_state(&mut self, state: UpstreamState, now: Time) {
        while self
            .unseen
            .front()
            .is_some_and(|(n, _)| *n <= state.start_seq)
        {
            self.unseen.pop_front();
        }
        self.state = Some((state, now));
    }

    /// Returns what is asked of it beyond what runs, ahead of a run that can wait for so long: what
    /// waits there, and what its state does not take into account yet.
    pub(super) fn ahead(&self, patience: Micros) -> Resources {
        let Some((state, _)) = &self.state else {
            return Resources::default();
        };
        let waiting = state
            .queued
            .iter()
            .chain(self.unseen.iter().map(|(_, q)| q));
        // Of its own step some go first; all are counted.
        let step = queue_timeout_bucket(patience);
        let first = waiting.filter(|q| q.queue_timeout <= step);
        first.fold(Resources::default(), |sum, q| sum.saturating_add(&q.demand))
    }

    /// Notes starts that take so much.
    pub(super) fn sent(&mut self, took: QueuedRuns, runs: u32) -> u64 {
        self.number += 1;
        self.unseen.push_back((self.number, took));
        self.runs += runs;
        self.number
    }

    /// Returns its speed: one where tasks take what they declare.
    pub(super) fn speed(&self) -> f64 {
        let told = self.state.as_ref().map(|(s, _)| s.speed);
        told.map_or(1.0, |permille| f64::from(permille) / 1_000.0)
    }

    /// Returns whether it takes runs of a service.
    pub(super) fn does(&self, service: &str) -> bool {
        let open = |(state, _): &(UpstreamState, Time)| {
            state.accepting && state.service.as_str() == service
        };
        self.state.as_ref().is_some_and(open)
    }
}

/// Returns how long a run waits for room on an upstream of which so much is asked, the run
/// included: what does not fit is free once as much of what runs has ended.
pub(super) fn wait(state: &UpstreamState, asked: &Resources) -> Micros {
    let part = |asked: u64, free: u64, all: u64| {
        let over = asked.saturating_sub(free);
        over as f64 / all.max(1) as f64
    };
    let cpu = part(asked.cpu, state.free.cpu, state.capacity.cpu);
    let memory = part(asked.memory, state.free.memory, state.capacity.memory);
    let gpu = part(asked.gpu, state.free.gpu, state.capacity.gpu);
    Micros((cpu.max(memory).max(gpu) * state.run_time.0 as f64) as u64)
}
