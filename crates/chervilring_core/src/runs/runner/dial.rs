//! Which planners a runner links to.
//!
//! The load that this answers: hundreds of runners and dozens of planners. Links of each to all cost
//! heartbeats and states that grow with the product of both. With a bounded number of links for each
//! runner, chosen by rendezvous hashing, a planner has about the same number of runners as any
//! other, and few links change when one comes or goes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chervilring_wire::{Micros, Name, Time};
use xxhash_rust::xxh3::Xxh3;

use crate::runs::planner::LinkNo;

/// How many planners a runner is linked to. Each planner then shares its runners with so many
/// others that a busy one finds room at those of its neighbours.
pub const PLANNERS: usize = 8;

/// The first time between two dials of an address.
const FIRST_BACKOFF: Micros = Micros::from_millis(50);

/// The longest time between two dials of an address that is among the first choices.
const MAX_BACKOFF: Micros = Micros::from_millis(150);

/// The longest time for one that stands in for those: when all planners are gone, not all runners
/// are to dial all of them at this pace.
const FAR_BACKOFF: Micros = Micros::from_millis(1_000);

/// How long a connection may take to come about. A host without power answers nothing, and the
/// system repeats a lost packet of this kind only after a second.
const DIAL_TIME: Micros = Micros::from_millis(100);

/// The least wait after a dial that has failed.
const LEAST_WAIT: Micros = Micros::from_millis(25);

/// How long the list of planners is waited for before the seeds are dialled: all runners have the
/// same few, which are not to be linked to all of them.
const SEED_WAIT: Micros = Micros::from_millis(500);

/// How long is waited where the runner is not ready to greet.
const NOT_READY: Micros = Micros::from_millis(10);

/// How long an address is dialled after it was last listed.
const UNLISTED: Micros = Micros::from_secs(30);

/// How long a link that is not needed any more is kept: planners that restart are soon back.
const LINGER: Micros = Micros::from_secs(5);

/// The state of a link to a planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkState {
    /// There is none.
    None,
    /// It is being opened.
    Opening(LinkNo),
    /// The planner was heard over it.
    Up(LinkNo),
    /// It is closed as soon as nothing runs for the planner.
    Parting(LinkNo),
}

/// An address of a planner.
#[derive(Debug)]
struct Target {
    /// Its place in the order of preference: the lowest first.
    rank: u64,
    seed: bool,
    listed: Time,
    link: LinkState,
    /// Whether the last attempt to reach it failed, so that others stand in for it.
    failed: bool,
    /// When to dial, or to give up a connection that has not come about.
    due: Time,
    /// When it was last dialled.
    dialled: Time,
    backoff: Micros,
    /// When its link is closed for not being needed.
    surplus: Time,
}

/// What is due for an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Due {
    /// It is to be dialled.
    Dial(SocketAddr),
    /// Its connection has not come about and is to be closed.
    Close(LinkNo),
    /// Its link is not needed any more and is to be closed once nothing runs over it.
    Part(LinkNo),
}

/// The addresses of planners, and the links to them.
#[derive(Debug)]
pub struct Dial {
    runner: Name,
    targets: BTreeMap<SocketAddr, Target>,
    /// Until when seeds are not dialled, as a list may come.
    held: Option<Time>,
}

impl Dial {
    /// Creates a table for a runner of a name, without addresses.
    pub fn new(runner: Name, now: Time) -> Self {
        Self {
            runner,
            targets: BTreeMap::new(),
            held: Some(now + SEED_WAIT),
        }
    }

    /// Sets the addresses that are dialled whether listed or not.
    pub fn set_seeds(&mut self, now: Time, seeds: &[SocketAddr]) {
        for target in self.targets.values_mut() {
            target.seed = false;
        }
        for &addr in seeds {
            self.target(now, addr).seed = true;
        }
        self.choose(now);
    }

    /// Takes in the addresses that are listed.
    pub fn set_listed(&mut self, now: Time, addrs: &[SocketAddr]) {
        for &addr in addrs {
            self.target(now, addr).listed = now;
            self.held = None;
        }
        let kept = |t: &Target| {
            t.seed || t.link != LinkState::None || now.duration_since(t.listed) < UNLISTED
        };
        self.targets.retain(|_, t| kept(t));
        self.choose(now);
    }

    /// Returns what is due. Nothing is dialled, and nothing given up, while the runner is not `ready`
    /// to greet planners.
    pub fn due(&mut self, now: Time, ready: bool) -> Vec<Due> {
        if self.held.is_some_and(|until| until <= now) {
            self.held = None;
            self.choose(now);
        }
        let mut rows = Vec::new();
        for (&addr, target) in &mut self.targets {
            match target.link {
                LinkState::None | LinkState::Opening(_) if target.due > now => {}
                LinkState::None | LinkState::Opening(_) if !ready => target.due = now + NOT_READY,
                LinkState::None => {
                    target.dialled = now;
                    rows.push(Due::Dial(addr));
                }
                LinkState::Opening(link) => rows.push(Due::Close(link)),
                LinkState::Up(link) if target.surplus <= now => {
                    target.link = LinkState::Parting(link);
                    rows.push(Due::Part(link));
                }
                _ => {}
            }
        }
        rows
    }

    /// Returns when something is due.
    pub fn wake_at(&self) -> Time {
        let due = self.targets.values().map(|t| match t.link {
            LinkState::None | LinkState::Opening(_) => t.due,
            LinkState::Up(_) => t.surplus,
            LinkState::Parting(_) => Time::NEVER,
        });
        let due = due.min().unwrap_or(Time::NEVER);
        due.min(self.held.unwrap_or(Time::NEVER))
    }

    /// Takes note of a link that is being opened.
    pub fn opened(&mut self, now: Time, addr: SocketAddr, link: LinkNo) {
        let target = self.target(now, addr);
        target.link = LinkState::Opening(link);
        target.due = now + DIAL_TIME;
    }

    /// Takes note that something has come over a link.
    pub fn heard(&mut self, now: Time, link: LinkNo) {
        let row = self.targets.values_mut();
        let opening = LinkState::Opening(link);
        let Some(target) = row.into_iter().find(|t| t.link == opening) else {
            return;
        };
        target.link = LinkState::Up(link);
        target.failed = false;
        target.backoff = Micros::default();
        self.choose(now);
    }

    /// Returns the address behind a link, while that is known.
    pub fn addr_of(&self, link: LinkNo) -> Option<SocketAddr> {
        let row = self.targets.iter().find(|(_, t)| t.has(link));
        row.map(|(&addr, _)| addr)
    }

    /// Takes note that a link is closed.
    pub fn closed(&mut self, now: Time, link: LinkNo) {
        let Some(target) = self.targets.values_mut().find(|t| t.has(link)) else {
            return;
        };
        if target.link == LinkState::Parting(link) {
            target.link = LinkState::None;
            self.choose(now);
            return;
        }
        if let Some(addr) = self.addr_of(link) {
            self.back_off(now, addr);
        }
    }

    /// Takes note that an address was not reached: it is dialled again after a wait, and another
    /// one stands in for it.
    pub fn back_off(&mut self, now: Time, addr: SocketAddr) {
        let rank = rank(&self.runner, addr);
        let before = self.targets.values().filter(|t| t.rank < rank).count();
        let longest = if before < PLANNERS * 2 {
            MAX_BACKOFF
        } else {
            FAR_BACKOFF
        };
        let target = self.target(now, addr);
        let backoff = Micros(target.backoff.0 * 2).clamp(FIRST_BACKOFF, longest);
        target.backoff = backoff;
        target.link = LinkState::None;
        target.failed = true;
        target.due = (target.dialled + backoff).max(now + LEAST_WAIT);
        self.choose(now);
    }

    /// Settles which addresses are to be linked: the first ones in order, with one more for each
    /// that could not be reached.
    fn choose(&mut self, now: Time) {
        if self.held.is_some() {
            return;
        }
        let mut order: Vec<&mut Target> = self.targets.values_mut().collect();
        order.sort_unstable_by_key(|t| t.rank);
        let mut sound = 0;
        for target in order {
            let is_wanted = sound < PLANNERS;
            sound += usize::from(!target.failed);
            target.surplus = match (is_wanted, target.surplus) {
                (true, _) => Time::NEVER,
                (false, Time::NEVER) => now + LINGER,
                (false, at) => at,
            };
            if target.link != LinkState::None {
                continue;
            }
            if !is_wanted {
                target.due = Time::NEVER;
                target.failed = false;
                target.backoff = Micros::default();
            } else if target.due == Time::NEVER {
                target.due = now;
            }
        }
    }

    fn target(&mut self, now: Time, addr: SocketAddr) -> &mut Target {
        let rank = rank(&self.runner, addr);
        self.targets.entry(addr).or_insert(Target {
            rank,
            seed: false,
            listed: now,
            link: LinkState::None,
            failed: false,
            due: Time::NEVER,
            dialled: Time::default(),
            backoff: Micros::default(),
            surplus: Time::NEVER,
        })
    }
}

impl Target {
    fn has(&self, link: LinkNo) -> bool {
        match self.link {
            LinkState::None => false,
            LinkState::Opening(own) | LinkState::Up(own) | LinkState::Parting(own) => own == link,
        }
    }
}

/// Returns the place of a planner in the order of a runner's preference.
fn rank(runner: &Name, planner: SocketAddr) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(runner.as_bytes());
    hash.update(planner.to_string().as_bytes());
    hash.digest()
}
