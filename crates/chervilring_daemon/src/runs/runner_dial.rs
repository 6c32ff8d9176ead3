//! The planners that a runner dials.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chervilring_wire::{Micros, Time};

use crate::net::LinkId;

/// The first wait before an address is dialled again.
const FIRST_BACKOFF: Micros = Micros::from_millis(50);

/// The longest wait before an address is dialled again.
const MAX_BACKOFF: Micros = Micros::from_millis(150);

/// How long a connection may take to come about.
const DIAL_TIME: Micros = Micros::from_millis(200);

/// How long an address is dialled after it was last listed.
const UNLISTED: Micros = Micros::from_secs(30);

/// An address of a planner.
#[derive(Debug)]
struct Target {
    seed: bool,
    listed: Time,
    link: Option<LinkId>,
    /// Whether anything has come over the link.
    heard: bool,
    /// When to dial, or to give up a connection that has not come about.
    due: Time,
    backoff: Micros,
}

/// The addresses of planners, and the links to them.
#[derive(Debug, Default)]
pub(super) struct Dial {
    targets: BTreeMap<SocketAddr, Target>,
}

/// What is due for an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Due {
    /// It is to be dialled.
    Dial(SocketAddr),
    /// Its connection has not come about and is to be closed.
    Close(LinkId),
}

impl Dial {
    /// Sets the addresses that are dialled whether listed or not.
    pub(super) fn set_seeds(&mut self, now: Time, seeds: &[SocketAddr]) {
        for target in self.targets.values_mut() {
            target.seed = false;
        }
        for &addr in seeds {
            self.target(now, addr).seed = true;
        }
    }

    /// Takes in the addresses that the store lists.
    pub(super) fn set_listed(&mut self, now: Time, addrs: &[SocketAddr]) {
        for &addr in addrs {
            self.target(now, addr).listed = now;
        }
        let kept = |t: &Target| t.seed || t.link.is_some() || now.since(t.listed) < UNLISTED;
        self.targets.retain(|_, t| kept(t));
    }

    /// Returns what is due.
    pub(super) fn due(&self, now: Time) -> Vec<Due> {
        let rows = self.targets.iter().filter(|(_, t)| t.due <= now);
        rows.map(|(&addr, t)| t.link.map_or(Due::Dial(addr), Due::Close))
            .collect()
    }

    /// Returns when something is due.
    pub(super) fn wake_at(&self) -> Time {
        let due = self.targets.values().map(|t| t.due);
        due.min().unwrap_or(Time::NEVER)
    }

    /// Takes note of a link that is being opened.
    pub(super) fn opened(&mut self, now: Time, addr: SocketAddr, link: LinkId) {
        let target = self.target(now, addr);
        target.link = Some(link);
        target.heard = false;
        target.due = now + DIAL_TIME;
    }

    /// Takes note that something has come over a link.
    pub(super) fn heard(&mut self, link: LinkId) {
        let row = self.targets.values_mut().find(|t| t.link == Some(link));
        if let Some(target) = row {
            target.heard = true;
            target.due = Time::NEVER;
            target.backoff = Micros::default();
        }
    }

    /// Returns the address behind a link, while that is known.
    pub(super) fn addr_of(&self, link: LinkId) -> Option<SocketAddr> {
        let row = self.targets.iter().find(|(_, t)| t.link == Some(link));
        row.map(|(&addr, _)| addr)
    }

    /// Takes note that a link is closed.
    pub(super) fn closed(&mut self, now: Time, link: LinkId) {
        let row = self.targets.iter().find(|(_, t)| t.link == Some(link));
        if let Some((&addr, _)) = row {
            self.back_off(now, addr);
        }
    }

    /// Waits before an address is dialled again, longer each time.
    pub(super) fn back_off(&mut self, now: Time, addr: SocketAddr) {
        let target = self.target(now, addr);
        let backoff = Micros(target.backoff.0 * 2).clamp(FIRST_BACKOFF, MAX_BACKOFF);
        target.backoff = backoff;
        target.link = None;
        target.due = now + backoff;
    }

    fn target(&mut self, now: Time, addr: SocketAddr) -> &mut Target {
        self.targets.entry(addr).or_insert(Target {
            seed: false,
            listed: now,
            link: None,
            heard: false,
            due: now,
            backoff: Micros::default(),
        })
    }
}
