//! Which planners runners link to, with many of both.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chervilring_core::runs::planner::LinkNo;
use chervilring_core::runs::runner::{DialAction, Dialer, PLANNERS_PER_RUNNER};
use chervilring_wire::Time;

/// Planners of a large deployment, and its runners.
const SIZE: (u16, u32) = (35, 160);

/// A time at which every wait is over that a fresh start has.
const SECOND: u64 = 1_000_000;

/// A runner's table and its links, with what answers at the other side.
struct Runner {
    dial: Dialer,
    now: Time,
    links: BTreeMap<LinkNo, SocketAddr>,
    last: u64,
    dials: u32,
    closed_when_idle: u32,
}

fn addr(planner: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, planner as u8], 7720))
}

fn addrs(planners: u16) -> Vec<SocketAddr> {
    (0..planners).map(addr).collect()
}

impl Runner {
    fn new(number: u32, planners: u16) -> Self {
        let mut dial = Dialer::new(format!("side-{number}").as_str().into(), Time(0));
        dial.set_listed(Time(0), &addrs(planners));
        Self {
            dial,
            now: Time(0),
            links: BTreeMap::new(),
            last: 0,
            dials: 0,
            closed_when_idle: 0,
        }
    }

    /// Runs for a time in which the planners answer that `is_up` tells.
    fn run(&mut self, span: u64, is_up: impl Fn(SocketAddr) -> bool) {
        let end = Time(self.now.0 + span);
        while self.now < end {
            self.now = Time(self.now.0 + 5_000);
            for action in self.dial.due_actions(self.now, true) {
                match action {
                    DialAction::Dial(addr) => self.open(addr, is_up(addr)),
                    DialAction::Close(link) | DialAction::CloseWhenIdle(link) => {
                        self.close(action, link)
                    }
                }
            }
        }
    }

    fn open(&mut self, addr: SocketAddr, is_up: bool) {
        self.dials += 1;
        if !is_up {
            self.dial.back_off(self.now, addr);
            return;
        }
        self.last += 1;
        let link = LinkNo(self.last);
        self.dial.link_opening(self.now, addr, link);
        self.dial.link_up(self.now, link);
        self.links.insert(link, addr);
    }

    fn close(&mut self, action: DialAction, link: LinkNo) {
        self.closed_when_idle += u32::from(matches!(action, DialAction::CloseWhenIdle(_)));
        self.links.remove(&link);
        self.dial.link_closed(self.now, link);
    }

    /// Has the links to planners end that are gone.
    fn lose(&mut self, is_gone: impl Fn(SocketAddr) -> bool) {
        let gone = |(&link, &addr): (&LinkNo, &SocketAddr)| is_gone(addr).then_some(link);
        let links: Vec<LinkNo> = self.links.iter().filter_map(gone).collect();
        for link in links {
            self.links.remove(&link);
            self.dial.link_closed(self.now, link);
        }
    }

    fn linked(&self) -> Vec<SocketAddr> {
        let mut rows: Vec<SocketAddr> = self.links.values().copied().collect();
        rows.sort_unstable();
        rows
    }
}

fn fleet(is_up: impl Fn(SocketAddr) -> bool) -> Vec<Runner> {
    let (planners, runners) = SIZE;
    let start = |number| {
        let mut runner = Runner::new(number, planners);
        runner.run(SECOND, &is_up);
        runner
    };
    (0..runners).map(start).collect()
}

/// Returns how many runners each planner has.
fn shares(fleet: &[Runner]) -> BTreeMap<SocketAddr, usize> {
    let mut shares = BTreeMap::new();
    for addr in fleet.iter().flat_map(Runner::linked) {
        *shares.entry(addr).or_default() += 1;
    }
    shares
}

#[test]
fn each_runner_has_few_planners_and_each_planner_a_like_share() {
    let fleet = fleet(|_| true);
    for runner in &fleet {
        assert_eq!(runner.links.len(), PLANNERS_PER_RUNNER);
        assert_eq!(runner.dials as usize, PLANNERS_PER_RUNNER);
    }
    let shares = shares(&fleet);
    assert_eq!(shares.len(), usize::from(SIZE.0));
    let even = PLANNERS_PER_RUNNER * SIZE.1 as usize / usize::from(SIZE.0);
    for (addr, &share) in &shares {
        let near = (even / 2..=even * 2).contains(&share);
        assert!(near, "{addr} has {share} runners, {even} are even");
    }
}

#[test]
fn with_few_planners_each_runner_has_all() {
    let mut runner = Runner::new(1, 3);
    runner.run(SECOND, |_| true);
    assert_eq!(runner.linked(), addrs(3));
}

#[test]
fn the_loss_of_most_planners_leaves_all_runners_linked() {
    let up = |planner: SocketAddr| planner == addr(3) || planner == addr(30);
    let mut fleet = fleet(|_| true);
    for runner in &mut fleet {
        runner.lose(|planner| !up(planner));
        runner.run(2 * SECOND, up);
        assert_eq!(runner.linked(), [addr(3), addr(30)]);
    }
}

#[test]
fn a_planner_that_returns_takes_the_place_of_its_stand_in() {
    let mut runner = Runner::new(1, 35);
    runner.run(SECOND, |_| true);
    let before = runner.linked();
    let gone = before[0];
    runner.lose(|planner| planner == gone);
    runner.run(SECOND, |planner| planner != gone);
    assert_eq!(runner.links.len(), PLANNERS_PER_RUNNER);
    runner.run(SECOND, |_| true);
    // The stand-in is kept for some seconds, in case that it is needed again.
    assert_eq!(runner.links.len(), PLANNERS_PER_RUNNER + 1);
    runner.run(10 * SECOND, |_| true);
    assert_eq!(runner.linked(), before);
    assert_eq!(runner.closed_when_idle, 1);
}

#[test]
fn planners_that_are_all_gone_are_not_stormed() {
    let mut runner = Runner::new(1, 35);
    runner.run(SECOND, |_| true);
    runner.lose(|_| true);
    let before = runner.dials;
    runner.run(10 * SECOND, |_| false);
    let pace = (runner.dials - before) / 10;
    // Twice as many as it needs, each about seven times a second, and a look at the others.
    assert!(
        pace <= 2 * PLANNERS_PER_RUNNER as u32 * 7 + 35,
        "{pace} dials a second"
    );
}

#[test]
fn a_planner_at_another_address_moves_only_its_own_links() {
    let mut fleet = fleet(|_| true);
    let mut moved = 0;
    for runner in &mut fleet {
        let before = runner.linked();
        runner.lose(|planner| planner == addr(7));
        let mut listed = addrs(35);
        listed[7] = addr(200);
        runner.dial.set_listed(runner.now, &listed);
        runner.run(10 * SECOND, |planner| planner != addr(7));
        let after = runner.linked();
        moved += after.iter().filter(|a| !before.contains(a)).count();
    }
    let even = PLANNERS_PER_RUNNER * SIZE.1 as usize / usize::from(SIZE.0);
    assert!(moved <= even * 4, "{moved} links were made for {even} lost");
}

#[test]
fn a_planner_on_a_host_that_was_dark_is_dialled_soon_after_it_is_back() {
    let mut dial = Dialer::new("side-1".into(), Time(0));
    dial.set_listed(Time(0), &addrs(1));
    // Connections to a dark host neither come about nor fail.
    let mut longest = 0;
    let mut last = 0;
    let mut link = 0;
    for millis in 0..2_000 {
        let now = Time(millis * 1_000);
        for action in dial.due_actions(now, true) {
            match action {
                DialAction::Dial(addr) => {
                    longest = longest.max(millis - last);
                    last = millis;
                    link += 1;
                    dial.link_opening(now, addr, LinkNo(link));
                }
                DialAction::Close(link) => dial.link_closed(now, link),
                DialAction::CloseWhenIdle(_) => {}
            }
        }
    }
    assert!(longest <= 160, "not dialled for {longest} ms");
}

#[test]
fn nothing_is_dialled_before_planners_may_be_greeted() {
    let mut dial = Dialer::new("side-1".into(), Time(0));
    dial.set_listed(Time(0), &addrs(3));
    assert_eq!(dial.due_actions(Time(SECOND), false), []);
    assert!(dial.wake_at() > Time(SECOND));
    let later = Time(SECOND + 10_000);
    assert_eq!(dial.due_actions(later, true).len(), 3);
}

#[test]
fn seeds_are_dialled_only_when_no_list_comes() {
    let seeds = addrs(3);
    let mut dial = Dialer::new("side-1".into(), Time(0));
    dial.set_seeds(Time(0), &seeds);
    assert_eq!(dial.due_actions(Time(100_000), true), []);
    assert!(dial.wake_at() <= Time(SECOND));
    assert_eq!(dial.due_actions(Time(SECOND), true).len(), 3);
    let mut dial = Dialer::new("side-1".into(), Time(0));
    dial.set_seeds(Time(0), &seeds);
    dial.set_listed(Time(100_000), &addrs(35));
    assert_eq!(
        dial.due_actions(Time(100_000), true).len(),
        PLANNERS_PER_RUNNER
    );
}
