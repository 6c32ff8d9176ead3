//! The upstreams as a planner sees them over its links.

use std::collections::VecDeque;

use chervilring_wire::{DomainName, Name, Resources, Time, UpstreamState};

use super::health::Health;
use super::speed::Speed;

/// What is learnt of an upstream; it is kept while the link to it comes and goes.
#[derive(Debug, Clone, Default)]
pub(super) struct Profile {
    pub(super) speed: Speed,
    pub(super) health: Health,
    /// When it was last heard of.
    pub(super) seen: Time,
}

/// An upstream behind a link.
#[derive(Debug)]
pub(super) struct Upstream {
    /// The name of its runner.
    pub(super) name: Name,
    pub(super) domain: DomainName,
    /// When the runner was last heard.
    pub(super) heard: Time,
    /// The newest heartbeat of the runner.
    pub(super) echo: u64,
    /// The state that it last told, and when that came.
    pub(super) state: Option<(UpstreamState, Time)>,
    /// Messages of starts sent so far.
    pub(super) number: u64,
    /// Starts that the state does not take into account yet: the message and all it takes.
    pub(super) unseen: VecDeque<(u64, Resources)>,
    /// Runs of this planner there.
    pub(super) runs: u32,
    /// The version of the configuration that the runner was told.
    pub(super) version: u64,
}

impl Upstream {
    pub(super) fn new(name: Name, domain: DomainName, now: Time) -> Self {
        Self {
            name,
            domain,
            heard: now,
            echo: 0,
            state: None,
            number: 0,
            unseen: VecDeque::new(),
            runs: 0,
            version: 0,
        }
    }

    /// Takes in a state.
    pub(super) fn set_state(&mut self, state: UpstreamState, now: Time) {
        while self.unseen.front().is_some_and(|(n, _)| *n <= state.number) {
            self.unseen.pop_front();
        }
        self.state = Some((state, now));
    }

    /// Returns what is free: what the runner says, less what it had not heard of then.
    pub(super) fn free(&self) -> Resources {
        let Some((state, _)) = &self.state else {
            return Resources::default();
        };
        let taken = |free: Resources, (_, took): &(u64, Resources)| free.minus(took);
        self.unseen.iter().fold(state.free, taken)
    }

    /// Notes starts that take so much.
    pub(super) fn sent(&mut self, took: Resources, runs: u32) -> u64 {
        self.number += 1;
        self.unseen.push_back((self.number, took));
        self.runs += runs;
        self.number
    }

    /// Returns whether it takes runs of a service.
    pub(super) fn does(&self, service: &str) -> bool {
        let open =
            |(state, _): &(UpstreamState, Time)| state.open && state.service.as_str() == service;
        self.state.as_ref().is_some_and(open)
    }
}
