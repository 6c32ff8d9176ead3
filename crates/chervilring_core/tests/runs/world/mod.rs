//! Planners, runners, upstreams and callers in virtual time, with what can befall them.

mod callers;
mod links;
mod processes;
mod steps;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use chervilring_core::runs::planner::Caller;
use chervilring_core::runs::runner::{CallOutcome, UpstreamCall, UpstreamRecord};
use chervilring_core::runs::{Planner, Runner};
use chervilring_wire::Time;

pub(crate) use callers::{Wanted, wanted};
use links::Link;
use processes::{Process, pause, process};

use crate::upstream::Upstream;

/// One way between two processes.
const HOP: u64 = 500;

/// One way between a runner and its upstream.
const NEAR: u64 = 100;

/// After this a call without an answer is given up.
const CALL_TIME: u64 = 60_000;

/// How long an upstream holds back its lists; in truth it answers as soon as there is an end.
const HOLD: u64 = 6_000;

/// Time between looks of a process at its clock.
const TICK: u64 = 20_000;

/// How long a caller waits after a broken connection before it sends its job again.
pub(crate) const RESEND: u64 = 1_300_000;

/// Time between reports of an upstream.
const REPORT: u64 = 1_400_000;

/// What the world leaves out, to show that the checks notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Without {
    /// All is as it should be.
    Nothing,
    /// Upstreams let runs go on when their lease has ended.
    Leases,
    /// Processes do not notice that they stood still.
    PauseWatch,
    /// Runners are not told that a link has ended, and take every heartbeat as answered.
    LinkLoss,
    /// Callers send again at once.
    ResendWait,
    /// Runners do not guard the capacity: they are told that there is more than there is.
    Ledger,
}

/// What happens at a point in time.
#[derive(Debug, Clone)]
pub(crate) enum Happening {
    TickPlanner(usize),
    TickRunner(usize),
    Report(usize),
    Deliver(u64, usize),
    Called(usize, u64, Time, UpstreamCall, CallOutcome),
    Carry(usize, UpstreamCall),
    HoldEnds(usize, u64, Time, UpstreamCall),
    Submit(usize, usize),
    CallerGone(usize, Caller),
    KillPlanner(usize),
    StartPlanner(usize),
    KillRunner(usize),
    StartRunner(usize),
    FreezePlanner(usize, u64),
    FreezeRunner(usize, u64),
    Cut(usize, usize, Way, u64),
    Crash(usize, u64),
    /// An upstream carries out all that it is asked, and leaves a share of it without answer for a
    /// time.
    Mute(usize, u64, f64),
    Drain(usize),
    ResetCaller(usize),
    /// A runner does not need its links to a planner any more.
    Part(usize, usize),
    /// A share of the packets between processes is lost for a time, and sent again.
    Lose(u64, f64),
}

/// The direction of a cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    Both,
    ToPlanner,
    ToRunner,
}

/// The world.
pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) without: Without,
    pub(crate) rng: fastrand::Rng,
    pub(crate) violations: Vec<String>,
    pub(crate) jobs: Vec<Wanted>,
    pub(crate) upstreams: Vec<Upstream>,
    /// The share of calls that get no answer and are carried out late.
    pub(crate) late: f64,
    /// Until then starts are carried out at once and their answers are lost.
    pub(crate) mute: Time,
    /// Upstreams that answer only a part of the calls until then, though they carry out all of them:
    /// the share that they leave unanswered.
    pub(crate) mutes: BTreeMap<usize, (Time, f64)>,
    /// Until when packets between processes are lost and sent again, and which share of them.
    pub(crate) lossy: (Time, f64),
    /// The most by which the answer to an order is delayed, in microseconds: answers overtake each
    /// other.
    pub(crate) jitter: u64,
    /// Upstreams on which tasks stand still.
    pub(crate) hangs: BTreeSet<usize>,
    /// Upstreams on which tasks fail.
    pub(crate) fails: BTreeSet<usize>,
    planners: Vec<Process<Planner>>,
    /// When a planner was last started.
    pub(crate) planners_back: Time,
    runners: Vec<Process<Runner>>,
    /// What runners have had kept, by their place.
    kept: BTreeMap<usize, UpstreamRecord>,
    links: BTreeMap<u64, Link>,
    cuts: Vec<(usize, usize, Way, Time)>,
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    events: Vec<Option<Happening>>,
    last_link: u64,
    last_caller: u64,
    callers: BTreeMap<(usize, Caller), usize>,
    /// Runs started since the newest try of a job.
    started: BTreeMap<u64, u32>,
    pub(crate) starts: u32,
    /// Runs that runners had no room for.
    pub(crate) refusals: u32,
    /// States of upstreams that planners were told.
    pub(crate) states: u32,
    /// Links that were closed for not being needed.
    pub(crate) parted: u32,
    traced: bool,
}

impl World {
    pub(crate) fn new(seed: u64, planners: usize, runners: usize, without: Without) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let speeds = [0.55, 1.2, 1.2, 1.0];
        let upstream = |i: usize| {
            let mut up = Upstream::new(i, 1.0 - rng.f64() * 0.02, speeds[i % 4], 8_000);
            up.enforce_leases = without != Without::Leases;
            up
        };
        let upstreams: Vec<Upstream> = (0..runners).map(upstream).collect();
        let mut world = Self {
            now: Time(1_000_000),
            without,
            rng,
            violations: Vec::new(),
            jobs: Vec::new(),
            upstreams,
            late: 0.0,
            mute: Time::default(),
            mutes: BTreeMap::new(),
            lossy: (Time::default(), 0.0),
            jitter: 0,
            hangs: BTreeSet::new(),
            fails: BTreeSet::new(),
            planners: Vec::new(),
            planners_back: Time::default(),
            runners: Vec::new(),
            kept: BTreeMap::new(),
            links: BTreeMap::new(),
            cuts: Vec::new(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            last_link: 0,
            last_caller: 0,
            callers: BTreeMap::new(),
            started: BTreeMap::new(),
            starts: 0,
            refusals: 0,
            states: 0,
            parted: 0,
            traced: std::env::var_os("CHERVILRING_TRACE").is_some(),
        };
        for place in 0..planners {
            world.planners.push(process());
            world.start_planner(place);
        }
        for place in 0..runners {
            world.runners.push(process());
            world.start_runner(place);
            world.at(1_000 * place as u64, Happening::Report(place));
        }
        world
    }

    /// Plans something for a time from now, in microseconds.
    pub(crate) fn at(&mut self, span: u64, what: Happening) {
        let place = self.events.len();
        self.events.push(Some(what));
        let time = Time(self.now.0 + span);
        self.queue.push(Reverse((time, place as u64, place)));
    }

    /// Adds a job that is sent at a time from now; returns its place.
    pub(crate) fn want(&mut self, span: u64, wanted: Wanted) -> usize {
        let place = self.jobs.len();
        self.jobs.push(wanted);
        let planner = self.rng.usize(0..self.planners.len());
        self.at(span, Happening::Submit(place, planner));
        place
    }

    /// Runs for a time.
    pub(crate) fn run(&mut self, span: u64) {
        let end = Time(self.now.0 + span);
        while let Some(Reverse((time, _, place))) = self.queue.peek().copied() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = time;
            let Some(what) = self.events[place].take() else {
                continue;
            };
            for up in &mut self.upstreams {
                up.advance(time);
            }
            self.happen(what);
        }
        self.now = end;
    }

    /// Returns how many links are known at a planner.
    pub(crate) fn runners_at(&self, planner: usize) -> usize {
        self.planners[planner]
            .core
            .as_ref()
            .map_or(0, Planner::runners)
    }

    /// Prints what happens when a schedule is traced.
    fn note(&self, text: &str) {
        if self.traced {
            println!("{:>9} {text}", self.now.0);
        }
    }

    fn happen(&mut self, what: Happening) {
        if !matches!(
            what,
            Happening::TickPlanner(_)
                | Happening::TickRunner(_)
                | Happening::Deliver(..)
                | Happening::Called(..)
                | Happening::HoldEnds(..)
        ) {
            self.note(&format!("{what:?}"));
        }
        match what {
            Happening::TickPlanner(p) => {
                self.at(TICK, Happening::TickPlanner(p));
                self.wake_planner(p, |_, _| {});
            }
            Happening::TickRunner(r) => {
                self.at(TICK, Happening::TickRunner(r));
                if self.without == Without::LinkLoss {
                    self.ack_heartbeats(r);
                }
                self.close_silent_dials(r);
                self.dial(r);
                self.wake_runner(r, |_, _| {});
            }
            Happening::Report(r) => {
                self.at(REPORT, Happening::Report(r));
                if self.upstreams[r].up {
                    self.report(r);
                }
            }
            Happening::Deliver(link, place) => self.deliver(link, place),
            Happening::Called(r, life, sent, call, outcome) => {
                if self.runners[r].incarnation != life {
                    return;
                }
                if self.now < self.runners[r].paused_until {
                    let wait = self.now.duration_until(self.runners[r].paused_until).0;
                    self.at(wait + 1, Happening::Called(r, life, sent, call, outcome));
                    return;
                }
                self.wake_runner(r, |core, now| core.call_finished(now, sent, &call, outcome));
            }
            Happening::Carry(r, call) => {
                self.carry(r, &call);
            }
            Happening::HoldEnds(r, life, sent, call) => {
                let outcome = self.carry(r, &call);
                self.at(NEAR, Happening::Called(r, life, sent, call, outcome));
            }
            Happening::Submit(job, planner) => self.submit(job, planner),
            Happening::CallerGone(p, caller) => {
                if self.now < self.planners[p].paused_until {
                    let wait = self.now.duration_until(self.planners[p].paused_until).0;
                    self.at(wait + 1, Happening::CallerGone(p, caller));
                    return;
                }
                self.wake_planner(p, |core, now| core.caller_gone(now, caller));
            }
            Happening::KillPlanner(p) => self.kill_planner(p),
            Happening::StartPlanner(p) => self.start_planner(p),
            Happening::KillRunner(r) => self.kill_runner(r),
            Happening::StartRunner(r) => self.start_runner(r),
            Happening::FreezePlanner(p, span) => {
                pause(&mut self.planners[p], self.now, span);
            }
            Happening::FreezeRunner(r, span) => {
                pause(&mut self.runners[r], self.now, span);
            }
            Happening::Cut(p, r, way, span) => {
                let until = Time(self.now.0 + span);
                self.cuts.push((p, r, way, until));
            }
            Happening::Crash(r, span) => {
                self.upstreams[r].crash();
                self.at(span, Happening::Drain(r + 1_000));
            }
            Happening::Mute(r, span, share) => {
                let until = Time(self.now.0 + span);
                self.mutes.insert(r, (until, share));
            }
            Happening::Drain(r) if r >= 1_000 => {
                self.upstreams[r - 1_000].restart();
            }
            Happening::Drain(r) => {
                self.upstreams[r].draining = true;
                self.report(r);
            }
            Happening::ResetCaller(job) => self.reset_caller(job),
            Happening::Part(p, r) => self.mark_surplus(p, r),
            Happening::Lose(span, share) => self.lossy = (Time(self.now.0 + span), share),
        }
    }

    fn report(&mut self, r: usize) {
        let now = self.now;
        let report = self.upstreams[r].report(now);
        self.wake_runner(r, move |core, now| {
            core.handle_report(now, report);
        });
    }
}
