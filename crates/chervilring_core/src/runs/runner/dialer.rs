//! Selection of the planners that a runner links to.
//!
//! This bounds the cost with hundreds of runners and dozens of planners. If each runner linked to
//! every planner, heartbeats and state messages would grow with the product of both. With a bounded
//! number of links per runner, chosen by rendezvous hashing, all planners have about the same
//! number of runners, and few links change when a planner or runner comes or goes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chervilring_wire::{Micros, Name, Time};
use xxhash_rust::xxh3::Xxh3;

use crate::runs::planner::LinkNo;

/// How many planners a runner links to. Each planner then shares its runners with enough others
/// that a busy planner finds free capacity on runners of its neighbours.
pub const PLANNERS_PER_RUNNER: usize = 8;

/// The shortest backoff between two dials of an address.
const MIN_BACKOFF: Micros = Micros::from_millis(50);

/// The longest backoff for an address among the first choices.
const MAX_BACKOFF: Micros = Micros::from_millis(150);

/// The longest backoff for substitutes of first choices. It is longer so that, when all planners are
/// down, the runners do not all dial every planner at the pace of the first choices.
const SUBSTITUTE_MAX_BACKOFF: Micros = Micros::from_millis(1_000);

/// How long a connection may take to be established. A host without power does not answer at all,
/// and the kernel retransmits a lost SYN only after a second.
const CONNECT_TIMEOUT: Micros = Micros::from_millis(100);

/// The shortest delay between a failed dial and the next one.
const MIN_RETRY_DELAY: Micros = Micros::from_millis(25);

/// How long to wait for the list of planners before the seeds are dialled. All runners have the
/// same few seeds, and not all of them should link to these.
const SEED_DELAY: Micros = Micros::from_millis(500);

/// How long a due action is put off while the runner is not ready to send its hello.
const NOT_READY: Micros = Micros::from_millis(10);

/// How long an address is still dialled after it was last listed.
const UNLISTED_TTL: Micros = Micros::from_secs(30);

/// How long a surplus link is kept open: planners that restart are usually back soon.
const SURPLUS_TTL: Micros = Micros::from_secs(5);

/// The state of a link to a planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkState {
    /// There is no link.
    None,
    /// The connection is being established.
    Opening(LinkNo),
    /// The planner has sent something over the link.
    Up(LinkNo),
    /// The link closes as soon as no runs belong to it.
    ClosingWhenIdle(LinkNo),
}

/// A planner's address and the state of its link.
#[derive(Debug)]
struct Target {
    /// The position in the order of preference; the lowest comes first.
    rank: u64,
    seed: bool,
    last_listed: Time,
    state: LinkState,
    /// Whether the last attempt to reach the address failed, so that another one is used instead.
    failed: bool,
    /// When to dial, or to give up a connection that is still being established.
    due: Time,
    /// When the address was last dialled.
    last_dialled: Time,
    backoff: Micros,
    /// When to close the link because it is surplus.
    close_at: Time,
}

/// An action that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DialAction {
    /// Dial the address.
    Dial(SocketAddr),
    /// Close the link, whose connection was not established in time.
    Close(LinkNo),
    /// Close the link, which is surplus, once no runs belong to it.
    CloseWhenIdle(LinkNo),
}

/// The known addresses of planners and the links to them.
#[derive(Debug)]
pub struct Dialer {
    runner: Name,
    targets: BTreeMap<SocketAddr, Target>,
    /// Seeds are not dialled before this deadline, in case that a list arrives.
    seed_deadline: Option<Time>,
}

impl Dialer {
    /// Creates a dialer without addresses for the runner of this name.
    pub fn new(runner: Name, now: Time) -> Self {
        Self {
            runner,
            targets: BTreeMap::new(),
            seed_deadline: Some(now + SEED_DELAY),
        }
    }

    /// Replaces the seeds: the addresses that are dialled whether listed or not.
    pub fn set_seeds(&mut self, now: Time, seeds: &[SocketAddr]) {
        for target in self.targets.values_mut() {
            target.seed = false;
        }
        for &addr in seeds {
            self.target(now, addr).seed = true;
        }
        self.select_targets(now);
    }

    /// Updates the set of listed addresses.
    pub fn set_listed(&mut self, now: Time, addrs: &[SocketAddr]) {
        for &addr in addrs {
            self.target(now, addr).last_listed = now;
            self.seed_deadline = None;
        }
        let keep = |t: &Target| {
            t.seed || t.state != LinkState::None || now.duration_since(t.last_listed) < UNLISTED_TTL
        };
        self.targets.retain(|_, t| keep(t));
        self.select_targets(now);
    }

    /// Returns the actions that are due. While the runner is not `ready` to send its hello, no
    /// address is dialled and no connection is given up.
    pub fn due_actions(&mut self, now: Time, ready: bool) -> Vec<DialAction> {
        if self.seed_deadline.is_some_and(|until| until <= now) {
            self.seed_deadline = None;
            self.select_targets(now);
        }
        let mut rows = Vec::new();
        for (&addr, target) in &mut self.targets {
            match target.state {
                LinkState::None | LinkState::Opening(_) if target.due > now => {}
                LinkState::None | LinkState::Opening(_) if !ready => target.due = now + NOT_READY,
                LinkState::None => {
                    target.last_dialled = now;
                    rows.push(DialAction::Dial(addr));
                }
                LinkState::Opening(link) => rows.push(DialAction::Close(link)),
                LinkState::Up(link) if target.close_at <= now => {
                    target.state = LinkState::ClosingWhenIdle(link);
                    rows.push(DialAction::CloseWhenIdle(link));
                }
                _ => {}
            }
        }
        rows
    }

    /// Returns when the next action is due.
    pub fn wake_at(&self) -> Time {
        let due = self.targets.values().map(|t| match t.state {
            LinkState::None | LinkState::Opening(_) => t.due,
            LinkState::Up(_) => t.close_at,
            LinkState::ClosingWhenIdle(_) => Time::NEVER,
        });
        let due = due.min().unwrap_or(Time::NEVER);
        due.min(self.seed_deadline.unwrap_or(Time::NEVER))
    }

    /// Records that a connection to an address is being established.
    pub fn link_opening(&mut self, now: Time, addr: SocketAddr, link: LinkNo) {
        let target = self.target(now, addr);
        target.state = LinkState::Opening(link);
        target.due = now + CONNECT_TIMEOUT;
    }

    /// Records that a planner has sent something over a link.
    pub fn link_up(&mut self, now: Time, link: LinkNo) {
        let row = self.targets.values_mut();
        let opening = LinkState::Opening(link);
        let Some(target) = row.into_iter().find(|t| t.state == opening) else {
            return;
        };
        target.state = LinkState::Up(link);
        target.failed = false;
        target.backoff = Micros::default();
        self.select_targets(now);
    }

    /// Returns the address of a link's planner, if the link is known.
    pub fn addr_of(&self, link: LinkNo) -> Option<SocketAddr> {
        let row = self.targets.iter().find(|(_, t)| t.uses(link));
        row.map(|(&addr, _)| addr)
    }

    /// Records that a link was closed.
    pub fn link_closed(&mut self, now: Time, link: LinkNo) {
        let Some(target) = self.targets.values_mut().find(|t| t.uses(link)) else {
            return;
        };
        if target.state == LinkState::ClosingWhenIdle(link) {
            target.state = LinkState::None;
            self.select_targets(now);
            return;
        }
        if let Some(addr) = self.addr_of(link) {
            self.back_off(now, addr);
        }
    }

    /// Records that an address could not be reached. It is dialled again after a backoff, and
    /// another address is used instead.
    pub fn back_off(&mut self, now: Time, addr: SocketAddr) {
        let rank = rank(&self.runner, addr);
        let better = self.targets.values().filter(|t| t.rank < rank).count();
        let max_backoff = if better < PLANNERS_PER_RUNNER * 2 {
            MAX_BACKOFF
        } else {
            SUBSTITUTE_MAX_BACKOFF
        };
        let target = self.target(now, addr);
        let backoff = Micros(target.backoff.0 * 2).clamp(MIN_BACKOFF, max_backoff);
        target.backoff = backoff;
        target.state = LinkState::None;
        target.failed = true;
        target.due = (target.last_dialled + backoff).max(now + MIN_RETRY_DELAY);
        self.select_targets(now);
    }

    /// Selects the addresses to link to: the first ones in order of preference, and one more for
    /// each that could not be reached.
    fn select_targets(&mut self, now: Time) {
        if self.seed_deadline.is_some() {
            return;
        }
        let mut order: Vec<&mut Target> = self.targets.values_mut().collect();
        order.sort_unstable_by_key(|t| t.rank);
        let mut reachable = 0;
        for target in order {
            let is_wanted = reachable < PLANNERS_PER_RUNNER;
            reachable += usize::from(!target.failed);
            target.close_at = match (is_wanted, target.close_at) {
                (true, _) => Time::NEVER,
                (false, Time::NEVER) => now + SURPLUS_TTL,
                (false, at) => at,
            };
            if target.state != LinkState::None {
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
            last_listed: now,
            state: LinkState::None,
            failed: false,
            due: Time::NEVER,
            last_dialled: Time::default(),
            backoff: Micros::default(),
            close_at: Time::NEVER,
        })
    }
}

impl Target {
    fn uses(&self, link: LinkNo) -> bool {
        match self.state {
            LinkState::None => false,
            LinkState::Opening(own) | LinkState::Up(own) | LinkState::ClosingWhenIdle(own) => {
                own == link
            }
        }
    }
}

/// Returns a planner's position in a runner's order of preference.
fn rank(runner: &Name, planner: SocketAddr) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(runner.as_bytes());
    hash.update(planner.to_string().as_bytes());
    hash.digest()
}
