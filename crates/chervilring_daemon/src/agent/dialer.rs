//! The links to entries that the agent dials.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chervilring_wire::{EntryId, Member, Micros, Time};
use rustc_hash::FxHashMap;

use crate::net::LinkId;

/// The first wait before an address is dialled again.
const FIRST_BACKOFF: Micros = Micros::from_millis(100);

/// The longest wait before an address is dialled again.
const MAX_BACKOFF: Micros = Micros::from_secs(2);

/// How long an entry may take to say who it is.
const HELLO_TIMEOUT: Micros = Micros::from_secs(3);

/// How long a link lasts on which nothing is heard from the entry, while it answers announcements.
const SILENCE: Micros = Micros::from_secs(10);

/// An address at which an entry is, or should be.
#[derive(Debug, Default)]
struct Target {
    /// Whether it stands in the settings, and is dialled whatever the ring says.
    seed: bool,
    /// Whether the entry there is a member of the ring.
    member: bool,
    link: Option<LinkId>,
    entry: Option<EntryId>,
    /// When to dial again, or to give the link up.
    due: Time,
    backoff: Micros,
    /// Whether the entry has answered an announcement since the link came up.
    acks: bool,
}

/// Addresses of entries, and the links to them.
#[derive(Debug)]
pub(super) struct Dialer {
    targets: BTreeMap<SocketAddr, Target>,
    links: FxHashMap<LinkId, SocketAddr>,
}

/// What is due for an address.
#[derive(Debug)]
pub(super) enum Due {
    /// It is to be dialled.
    Dial(SocketAddr),
    /// Its link has been silent for too long and is to be closed.
    Close(LinkId),
}

impl Dialer {
    /// Creates a table of the configured addresses.
    pub(super) fn new(seeds: &[SocketAddr]) -> Self {
        let target = || Target {
            seed: true,
            ..Target::default()
        };
        Self {
            targets: seeds.iter().map(|&a| (a, target())).collect(),
            links: FxHashMap::default(),
        }
    }

    /// Returns all addresses, for announcements.
    pub(super) fn addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.targets.keys().copied()
    }

    /// Returns the link to an entry.
    pub(super) fn link_to(&self, entry: &EntryId) -> Option<LinkId> {
        let target = self
            .targets
            .values()
            .find(|t| t.entry.as_ref() == Some(entry))?;
        target.link
    }

    /// Returns the entry at the other end of a link, once it has said who it is.
    pub(super) fn entry_at(&self, link: LinkId) -> Option<&EntryId> {
        self.targets.get(self.links.get(&link)?)?.entry.as_ref()
    }

    /// Dials the addresses of the ring's members and the configured ones.
    ///
    /// A link to an entry that has left the ring stays until the entry closes it: answers to what
    /// it started may be under way.
    pub(super) fn set_members(&mut self, members: &[Member]) {
        for member in members {
            self.targets.entry(member.addr).or_default();
        }
        for (addr, target) in &mut self.targets {
            target.member = members.iter().any(|m| m.addr == *addr);
        }
        self.targets
            .retain(|_, t| t.seed || t.member || t.link.is_some());
    }

    /// Returns what is due.
    pub(super) fn due(&self, now: Time) -> Vec<Due> {
        let due = self.targets.iter().filter(|(_, t)| t.due <= now);
        due.map(|(&addr, t)| t.link.map_or(Due::Dial(addr), Due::Close))
            .collect()
    }

    /// Returns when something is due.
    pub(super) fn wake_at(&self) -> Time {
        self.targets
            .values()
            .map(|t| t.due)
            .min()
            .unwrap_or(Time::NEVER)
    }

    /// Takes note of a link that is being opened.
    pub(super) fn opened(&mut self, now: Time, addr: SocketAddr, link: LinkId) {
        let Some(target) = self.targets.get_mut(&addr) else {
            return;
        };
        target.link = Some(link);
        target.due = now + HELLO_TIMEOUT;
        self.links.insert(link, addr);
    }

    /// Takes note that an entry has said who it is.
    pub(super) fn greeted(&mut self, link: LinkId, entry: EntryId) {
        if let Some(target) = self.links.get(&link).and_then(|a| self.targets.get_mut(a)) {
            target.entry = Some(entry);
            target.backoff = Micros::default();
            target.due = Time::NEVER;
            target.acks = false;
        }
    }

    /// Takes note that an entry has answered an announcement.
    pub(super) fn acked(&mut self, now: Time, entry: &EntryId) {
        let mut targets = self.targets.values_mut();
        if let Some(target) = targets.find(|t| t.entry.as_ref() == Some(entry)) {
            target.acks = true;
            target.due = now + SILENCE;
        }
    }

    /// Takes note that something came over a link.
    pub(super) fn heard(&mut self, now: Time, link: LinkId) {
        let target = self.links.get(&link).and_then(|a| self.targets.get_mut(a));
        if let Some(target) = target.filter(|t| t.acks) {
            target.due = now + SILENCE;
        }
    }

    /// Takes note that a link is closed, or could not be opened; returns the entry that was there.
    pub(super) fn closed(&mut self, now: Time, link: LinkId) -> Option<EntryId> {
        let addr = self.links.remove(&link)?;
        self.back_off(now, addr)
    }

    /// Waits before the address is dialled again, longer each time.
    pub(super) fn back_off(&mut self, now: Time, addr: SocketAddr) -> Option<EntryId> {
        let target = self.targets.get_mut(&addr)?;
        let backoff = Micros(target.backoff.0 * 2).clamp(FIRST_BACKOFF, MAX_BACKOFF);
        target.link = None;
        target.due = now + backoff;
        target.backoff = backoff;
        let entry = target.entry.take();
        if !target.seed && !target.member {
            self.targets.remove(&addr);
        }
        entry
    }
}
