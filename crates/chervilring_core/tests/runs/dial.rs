//! Which planners runners link to in a large deployment.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chervilring_core::runs::planner::LinkNo;
use chervilring_core::runs::runner::{DialAction, Dialer, PLANNERS_PER_RUNNER};
use chervilring_wire::Time;

/// The numbers of planners and runners of a large deployment.
const SIZE: (u16, u32) = (35, 160);

/// One second in microseconds; every delay after a fresh start has passed by then.
const SECOND: u64 = 1_000_000;

/// A runner's dialer and its links; the planners are simulated.
struct Runner {
    dialer: Dialer,
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
        let mut dialer = Dialer::new(format!("side-{number}").as_str().into(), Time(0));
        dialer.set_listed(Time(0), &addrs(planners));
        Self {
            dialer,
            now: Time(0),
            links: BTreeMap::new(),
            last: 0,
            dials: 0,
            closed_when_idle: 0,
        }
    }

    /// Advances the time by `duration` microseconds; planners for which `is_up` holds answer dials.
    fn run(&mut self, duration: u64, is_up: impl Fn(SocketAddr) -> bool) {
        let end = Time(self.now.0 + duration);
        while self.now < end {
            self.now = Time(self.now.0 + 5_000);
            for action in self.dialer.due_actions(self.now, true) {
                match action {
                    DialAction::Dial(addr) => self.open(addr, is_up(addr)),
                    DialAction::Close(l) | DialAction::CloseWhenIdle(l) => self.close(action, l),
                }
            }
        }
    }

    fn open(&mut self, addr: SocketAddr, is_up: bool) {
        self.dials += 1;
        if !is_up {
            self.dialer.back_off(self.now, addr);
            return;
        }
        self.last += 1;
        let link = LinkNo(self.last);
        self.dialer.link_opening(self.now, addr, link);
        self.dialer.link_up(self.now, link);
        self.links.insert(link, addr);
    }

    fn close(&mut self, action: DialAction, link: LinkNo) {
        self.closed_when_idle += u32::from(matches!(action, DialAction::CloseWhenIdle(_)));
        self.links.remove(&link);
        self.dialer.link_closed(self.now, link);
    }

    /// Ends the links to planners that are gone.
    fn lose(&mut self, is_gone: impl Fn(SocketAddr) -> bool) {
        let gone = |(&link, &addr): (&LinkNo, &SocketAddr)| is_gone(addr).then_some(link);
        let links: Vec<LinkNo> = self.links.iter().filter_map(gone).collect();
        for link in links {
            self.links.remove(&link);
            self.dialer.link_closed(self.now, link);
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

/// Returns the number of runners of each planner.
fn shares(fleet: &[Runner]) -> BTreeMap<SocketAddr, usize> {
    let mut shares = BTreeMap::new();
    for addr in fleet.iter().flat_map(Runner::linked) {
        *shares.entry(addr).or_default() += 1;
    }
    shares
}

#[test]
fn each_runner_links_to_few_planners_and_planners_get_similar_shares() {
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
fn with_few_planners_each_runner_links_to_all() {
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
fn a_planner_that_returns_replaces_its_substitute() {
    let mut runner = Runner::new(1, 35);
    runner.run(SECOND, |_| true);
    let before = runner.linked();
    let gone = before[0];
    runner.lose(|planner| planner == gone);
    runner.run(SECOND, |planner| planner != gone);
    assert_eq!(runner.links.len(), PLANNERS_PER_RUNNER);
    runner.run(SECOND, |_| true);
    // The stand-in is kept for some seconds in case that it is needed again.
    assert_eq!(runner.links.len(), PLANNERS_PER_RUNNER + 1);
    runner.run(10 * SECOND, |_| true);
    assert_eq!(runner.linked(), before);
    assert_eq!(runner.closed_when_idle, 1);
}

#[test]
fn planners_that_are_all_down_are_dialled_at_a_bounded_pace() {
    let mut runner = Runner::new(1, 35);
    runner.run(SECOND, |_| true);
    runner.lose(|_| true);
    let before = runner.dials;
    runner.run(10 * SECOND, |_| false);
    let pace = (runner.dials - before) / 10;
    // Twice as many as it links to, each about seven times a second, and one dial of each other
    // planner.
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
        runner.dialer.set_listed(runner.now, &listed);
        runner.run(10 * SECOND, |planner| planner != addr(7));
        let after = runner.linked();
        moved += after.iter().filter(|a| !before.contains(a)).count();
    }
    let even = PLANNERS_PER_RUNNER * SIZE.1 as usize / usize::from(SIZE.0);
    assert!(moved <= even * 4, "{moved} links were made for {even} lost");
}

#[test]
fn a_planner_on_a_host_without_power_is_dialled_soon_after_it_is_back() {
    let mut dialer = Dialer::new("side-1".into(), Time(0));
    dialer.set_listed(Time(0), &addrs(1));
    // Dials of a host without power neither succeed nor fail.
    let mut longest = 0;
    let mut last = 0;
    let mut link = 0;
    for millis in 0..2_000 {
        let now = Time(millis * 1_000);
        for action in dialer.due_actions(now, true) {
            match action {
                DialAction::Dial(addr) => {
                    longest = longest.max(millis - last);
                    last = millis;
                    link += 1;
                    dialer.link_opening(now, addr, LinkNo(link));
                }
                DialAction::Close(link) => dialer.link_closed(now, link),
                DialAction::CloseWhenIdle(_) => {}
            }
        }
    }
    assert!(longest <= 160, "not dialled for {longest} ms");
}

#[test]
fn nothing_is_dialled_before_hellos_may_be_sent() {
    let mut dialer = Dialer::new("side-1".into(), Time(0));
    dialer.set_listed(Time(0), &addrs(3));
    assert_eq!(dialer.due_actions(Time(SECOND), false), []);
    assert!(dialer.wake_at() > Time(SECOND));
    let later = Time(SECOND + 10_000);
    assert_eq!(dialer.due_actions(later, true).len(), 3);
}

#[test]
fn seeds_are_dialled_only_when_no_list_comes() {
    let seeds = addrs(3);
    let mut dialer = Dialer::new("side-1".into(), Time(0));
    dialer.set_seeds(Time(0), &seeds);
    assert_eq!(dialer.due_actions(Time(100_000), true), []);
    assert!(dialer.wake_at() <= Time(SECOND));
    assert_eq!(dialer.due_actions(Time(SECOND), true).len(), 3);
    let mut dialer = Dialer::new("side-1".into(), Time(0));
    dialer.set_seeds(Time(0), &seeds);
    dialer.set_listed(Time(100_000), &addrs(35));
    assert_eq!(
        dialer.due_actions(Time(100_000), true).len(),
        PLANNERS_PER_RUNNER
    );
}
