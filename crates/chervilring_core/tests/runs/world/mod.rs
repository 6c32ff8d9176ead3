//! A model of planners, runners, upstreams and callers in virtual time, with injected faults. All
//! times are in microseconds.

mod callers;
mod evacuation;
mod links;
mod losses;
mod processes;
mod steps;
mod successors;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use chervilring_core::runs::planner::Caller;
use chervilring_core::runs::runner::{CallOutcome, Report, UpstreamCall, UpstreamRecord};
use chervilring_core::runs::{Planner, Runner};
use chervilring_wire::{Evacuations, Name, Time};

pub(crate) use callers::{TestJob, route, test_job};
pub(crate) use evacuation::Reader;
use evacuation::STORE_DELAY;
use links::Link;
use losses::Losses;
use processes::{Process, pause, process};
pub(crate) use successors::OddReport;

use crate::upstream::{Ignored, TaskId, Upstream};

/// The one-way delay between two processes.
const HOP: u64 = 500;

/// The one-way delay between a runner and its upstream.
const NEAR: u64 = 100;

/// The timeout of calls to upstreams.
const CALL_TIME: u64 = 60_000;

/// How long an upstream delays its lists. A real upstream answers as soon as a run ends.
const POLL_TIME: u64 = 6_000;

/// The time between the ticks of a process.
const TICK: u64 = 20_000;

/// How long a caller waits after a broken connection before it resubmits its job.
pub(crate) const RESUBMIT_DELAY: u64 = 1_300_000;

/// The time between reports of an upstream.
const REPORT: u64 = 1_400_000;

/// A mechanism that is left out, to show that the checks notice its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Without {
    /// No mechanism is left out.
    Nothing,
    /// Upstreams let runs go on after their lease has expired.
    Leases,
    /// Calls reach whichever incarnation of an upstream is there.
    BoundCalls,
    /// Processes do not notice that they were paused.
    PauseDetection,
    /// Runners do not learn that a link has ended, and count every heartbeat as acknowledged.
    LinkLossDetection,
    /// Callers resubmit at once.
    ResubmitDelay,
    /// Runners do not check that their failure domain is evacuated.
    EvacuationCheck,
    /// Processes do not tell their peers which failure domains are evacuated.
    EvacuationSharing,
    /// Runners do not read in the store which failure domains are evacuated.
    EvacuationReads,
    /// Whatever is heard last counts, however old it is.
    EvacuationOrder,
    /// Planners send starts where they would claim room.
    Claims,
    /// Runners start claimed runs without waiting for the confirmation.
    Confirmation,
    /// Planners do not count crashes.
    CrashCounts,
    /// Runners tell of all runs that they lost that they have failed.
    TrueEnds,
    /// Runners do not guard the capacity: upstreams report more than they have.
    CapacityAccounting,
}

/// An event at a point in time.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    TickPlanner(usize),
    TickRunner(usize),
    Report(usize),
    Deliver(u64, usize),
    Called(usize, u64, Time, UpstreamCall, CallOutcome),
    /// An upstream carries out a call that it left unanswered.
    CallLate(usize, UpstreamCall),
    PollEnds(usize, u64, Time, UpstreamCall),
    Submit(usize, usize),
    CallerGone(usize, Caller),
    KillPlanner(usize),
    StartPlanner(usize),
    KillRunner(usize),
    StartRunner(usize),
    FreezePlanner(usize, u64),
    FreezeRunner(usize, u64),
    Cut(usize, usize, Direction, u64),
    Crash(usize, u64),
    /// An upstream carries out all calls, and leaves a share of them unanswered for a time.
    Mute(usize, u64, f64),
    /// An upstream leaves so many calls in a row unanswered, and carries them out late.
    LeaveCalls(usize, u32),
    /// A report arrives at a runner that is not of its upstream.
    OddReport(usize, OddReport),
    /// An upstream crashes; the next one, with another id, starts after a time.
    Renew(usize, u64),
    /// An upstream drains for a time, while its successor is there already.
    Release(usize, u64),
    /// The upstream of this id, beside the newest one, announces its exit.
    Leave(usize, Name),
    /// The upstream of this id, beside the newest one, ends.
    End(usize, Name),
    Drain(usize),
    ResetCaller(usize),
    /// A runner no longer needs its links to a planner.
    CloseLink(usize, usize),
    /// A share of the packets between processes is lost for a time, and retransmitted.
    LosePackets(u64, f64),
    /// A failure domain is evacuated for a time.
    Evacuate(usize, u64),
    /// A failure domain is taken back.
    TakeBack(usize),
    /// The store does not answer a process for a time.
    StoreAway(Reader, u64),
    /// What a process has read in the store arrives.
    ReadDone(Reader, u64, Evacuations),
}

/// The direction in which a connection is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Direction {
    Both,
    ToPlanner,
    ToRunner,
}

/// The model and its counters.
pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) without: Without,
    pub(crate) rng: fastrand::Rng,
    pub(crate) violations: Vec<String>,
    pub(crate) jobs: Vec<TestJob>,
    /// Whether planners say that the objective was met, by the id of the job.
    pub(crate) said_met: BTreeMap<u64, bool>,
    pub(crate) upstreams: Vec<Upstream>,
    /// The share of calls that are left unanswered and carried out late.
    pub(crate) late_share: f64,
    /// The same for stops, if it is more.
    pub(crate) late_stops: f64,
    /// The end of a period in which starts are carried out at once and their answers are lost.
    pub(crate) mute_until: Time,
    /// Upstreams that carry out all calls but leave a share of them unanswered, each with the end
    /// of that period and the share.
    pub(crate) muted: BTreeMap<usize, (Time, f64)>,
    /// The number of calls that upstreams leave unanswered next.
    left_calls: BTreeMap<usize, u32>,
    /// The upstreams that drain beside the newest one, with the index of their runner.
    beside: Vec<(usize, Upstream)>,
    /// The number of upstreams that took the place of others.
    successors: u16,
    /// The last reports of upstreams that have crashed, with the index of their runner.
    past_reports: Vec<(usize, Report)>,
    /// The end of the period in which packets are lost and retransmitted, and their share.
    pub(crate) lossy: (Time, f64),
    /// The maximum delay of answers to starts and stops, by which they overtake each other.
    pub(crate) jitter: u64,
    /// The maximum additional delay of packets between processes.
    pub(crate) hop_jitter: u64,
    /// Upstreams on which tasks stall.
    pub(crate) hangs: BTreeSet<usize>,
    /// Upstreams on which tasks fail.
    pub(crate) fails: BTreeSet<usize>,
    planners: Vec<Process<Planner>>,
    /// When a planner was last started.
    pub(crate) planners_back: Time,
    runners: Vec<Process<Runner>>,
    /// The records that runners have stored, by the index of the runner.
    records: BTreeMap<usize, UpstreamRecord>,
    links: BTreeMap<u64, Link>,
    cuts: Vec<(usize, usize, Direction, Time)>,
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    events: Vec<Option<Event>>,
    last_link: u64,
    last_caller: u64,
    callers: BTreeMap<(usize, Caller), usize>,
    /// Runs started since the latest submission of a job, by its id.
    started: BTreeMap<u64, u32>,
    pub(crate) starts: u32,
    /// The number of runs refused by runners for lack of capacity.
    pub(crate) capacity_refusals: u32,
    /// The same by task.
    pub(crate) room_refusals: BTreeMap<TaskId, u32>,
    /// The numbers of messages with claims and with confirmations.
    pub(crate) claims: (u32, u32),
    /// The number of upstream states sent to planners.
    pub(crate) sent_states: u32,
    /// The number of links closed because they were not needed.
    pub(crate) closed_links: u32,
    traced: bool,
    /// The evacuated failure domains as the store has them.
    pub(crate) evacuations: Evacuations,
    /// When the evacuations that last were acknowledged, by domain.
    evacuated_at: BTreeMap<usize, Time>,
    /// The processes that the store does not answer, each with the end of that period.
    store_away: Vec<(Reader, Time)>,
    /// How long the store takes to answer at most, in microseconds.
    pub(crate) store_delay: u64,
    /// Whether an upstream is carrying out a call that it left unanswered.
    is_late_call: bool,
    /// The number of starts in failure domains that were not evacuated although others were.
    pub(crate) starts_elsewhere: u32,
    losses: Losses,
}

impl World {
    pub(crate) fn new(seed: u64, planners: usize, runners: usize, without: Without) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let speeds = [0.55, 1.2, 1.2, 1.0];
        let upstream = |i: usize| {
            let mut up = Upstream::new(i, 1.0 - rng.f64() * 0.02, speeds[i % 4], 8_000);
            up.ignored = match without {
                Without::Leases => Some(Ignored::Leases),
                Without::BoundCalls => Some(Ignored::Incarnation),
                _ => None,
            };
            up
        };
        let upstreams: Vec<Upstream> = (0..runners).map(upstream).collect();
        let mut world = Self {
            now: Time(1_000_000),
            without,
            rng,
            violations: Vec::new(),
            jobs: Vec::new(),
            said_met: BTreeMap::new(),
            upstreams,
            late_share: 0.0,
            late_stops: 0.0,
            mute_until: Time::default(),
            muted: BTreeMap::new(),
            left_calls: BTreeMap::new(),
            beside: Vec::new(),
            successors: 0,
            past_reports: Vec::new(),
            lossy: (Time::default(), 0.0),
            jitter: 0,
            hop_jitter: 0,
            hangs: BTreeSet::new(),
            fails: BTreeSet::new(),
            planners: Vec::new(),
            planners_back: Time::default(),
            runners: Vec::new(),
            records: BTreeMap::new(),
            links: BTreeMap::new(),
            cuts: Vec::new(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            last_link: 0,
            last_caller: 0,
            callers: BTreeMap::new(),
            started: BTreeMap::new(),
            starts: 0,
            capacity_refusals: 0,
            room_refusals: BTreeMap::new(),
            claims: (0, 0),
            sent_states: 0,
            closed_links: 0,
            traced: std::env::var_os("CHERVILRING_TRACE").is_some(),
            evacuations: Evacuations::default(),
            evacuated_at: BTreeMap::new(),
            store_away: Vec::new(),
            store_delay: STORE_DELAY,
            is_late_call: false,
            starts_elsewhere: 0,
            losses: Losses::default(),
        };
        for place in 0..planners {
            world.planners.push(process());
            world.start_planner(place);
        }
        for place in 0..runners {
            world.runners.push(process());
            world.start_runner(place);
            world.at(1_000 * place as u64, Event::Report(place));
        }
        world
    }

    /// Schedules an event for a time from now.
    pub(crate) fn at(&mut self, span: u64, what: Event) {
        let place = self.events.len();
        self.events.push(Some(what));
        let time = Time(self.now.0 + span);
        self.queue.push(Reverse((time, place as u64, place)));
    }

    /// Adds a job that is submitted at a time from now. Returns its index.
    pub(crate) fn add_job(&mut self, span: u64, job: TestJob) -> usize {
        let place = self.jobs.len();
        self.jobs.push(job);
        let planner = self.rng.usize(0..self.planners.len());
        self.at(span, Event::Submit(place, planner));
        place
    }

    /// Advances the time and handles all events until then.
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
            for (r, up) in self.upstreams.iter_mut().enumerate() {
                up.advance(time);
                self.losses.record_failures(r, up);
            }
            for (r, up) in &mut self.beside {
                up.advance(time);
                self.losses.record_failures(*r, up);
            }
            self.handle(what);
        }
        self.now = end;
    }

    /// Returns the number of links of a planner.
    pub(crate) fn runners_at(&self, planner: usize) -> usize {
        self.planners[planner]
            .core
            .as_ref()
            .map_or(0, Planner::runner_count)
    }

    /// Returns the upstreams that take work and whose runners give them none.
    pub(crate) fn unused_upstreams(&self) -> Vec<usize> {
        let is_used = |r: &usize| {
            let core = self.runners[*r].core.as_ref();
            core.is_some_and(Runner::is_accepting)
        };
        let takes_work = |r: &usize| self.upstreams[*r].up && !self.upstreams[*r].draining;
        let all = 0..self.upstreams.len();
        all.filter(takes_work).filter(|r| !is_used(r)).collect()
    }

    /// Prints a line if tracing is on.
    fn trace(&self, text: &str) {
        if self.traced {
            println!("{:>9} {text}", self.now.0);
        }
    }

    fn handle(&mut self, what: Event) {
        if !matches!(
            what,
            Event::TickPlanner(_)
                | Event::TickRunner(_)
                | Event::Deliver(..)
                | Event::Called(..)
                | Event::PollEnds(..)
        ) {
            self.trace(&format!("{what:?}"));
        }
        match what {
            Event::TickPlanner(p) => {
                self.at(TICK, Event::TickPlanner(p));
                self.read_store(Reader::Planner(p));
                self.wake_planner(p, |_, _| {});
            }
            Event::TickRunner(r) => {
                self.at(TICK, Event::TickRunner(r));
                self.read_store(Reader::Runner(r));
                if self.without == Without::LinkLossDetection {
                    self.ack_heartbeats(r);
                }
                self.close_silent_dials(r);
                self.dial(r);
                self.wake_runner(r, |_, _| {});
            }
            Event::Report(r) => {
                self.at(REPORT, Event::Report(r));
                if self.upstreams[r].up {
                    self.report(r);
                }
            }
            Event::Deliver(link, place) => self.deliver(link, place),
            Event::Called(r, incarnation, sent, call, outcome) => {
                if self.runners[r].incarnation != incarnation {
                    return;
                }
                if self.now < self.runners[r].paused_until {
                    let wait = self.now.duration_until(self.runners[r].paused_until).0;
                    self.at(wait + 1, Event::Called(r, incarnation, sent, call, outcome));
                    return;
                }
                self.wake_runner(r, |core, now| core.call_finished(now, sent, &call, outcome));
            }
            Event::CallLate(r, call) => {
                self.is_late_call = true;
                self.handle_call(r, &call);
                self.is_late_call = false;
            }
            Event::PollEnds(r, incarnation, sent, call) => {
                let outcome = self.handle_call(r, &call);
                self.at(NEAR, Event::Called(r, incarnation, sent, call, outcome));
            }
            Event::Submit(job, planner) => self.submit(job, planner),
            Event::CallerGone(p, caller) => {
                if self.now < self.planners[p].paused_until {
                    let wait = self.now.duration_until(self.planners[p].paused_until).0;
                    self.at(wait + 1, Event::CallerGone(p, caller));
                    return;
                }
                self.wake_planner(p, |core, now| core.caller_left(now, caller));
            }
            Event::KillPlanner(p) => self.kill_planner(p),
            Event::StartPlanner(p) => self.start_planner(p),
            Event::KillRunner(r) => self.kill_runner(r),
            Event::StartRunner(r) => self.start_runner(r),
            Event::FreezePlanner(p, span) => {
                pause(&mut self.planners[p], self.now, span);
            }
            Event::FreezeRunner(r, span) => {
                pause(&mut self.runners[r], self.now, span);
            }
            Event::Cut(p, r, way, span) => {
                let until = Time(self.now.0 + span);
                self.cuts.push((p, r, way, until));
            }
            Event::Crash(r, span) => self.crash(r, span),
            Event::Mute(r, span, share) => {
                let until = Time(self.now.0 + span);
                self.muted.insert(r, (until, share));
            }
            Event::LeaveCalls(r, count) => {
                self.left_calls.insert(r, count);
            }
            Event::OddReport(r, kind) => self.deliver_odd_report(r, kind),
            Event::Renew(r, span) => self.renew(r, span),
            Event::Release(r, span) => self.release(r, span),
            Event::Leave(r, id) => self.leave(r, &id),
            Event::End(r, id) => self.end_beside(r, &id),
            Event::Drain(r) if r >= 1_000 => {
                // Crashes may overlap; one that is back already goes on.
                let up = &mut self.upstreams[r - 1_000];
                if !up.up {
                    up.restart(self.now);
                }
            }
            Event::Drain(r) => {
                if self.upstreams[r].up {
                    self.upstreams[r].draining = true;
                    self.report(r);
                }
            }
            Event::ResetCaller(job) => self.reset_caller(job),
            Event::CloseLink(p, r) => self.mark_surplus(p, r),
            Event::Evacuate(domain, span) => self.evacuate(domain, span),
            Event::TakeBack(domain) => self.take_back(domain),
            Event::StoreAway(reader, span) => {
                let until = Time(self.now.0 + span);
                self.store_away.push((reader, until));
            }
            Event::ReadDone(reader, incarnation, read) => {
                self.read_done(reader, incarnation, &read);
            }
            Event::LosePackets(span, share) => self.lossy = (Time(self.now.0 + span), share),
        }
    }

    /// Crashes an upstream, which is back after a time.
    fn crash(&mut self, r: usize, span: u64) {
        self.losses.record_crash(self.now, r, &self.upstreams[r]);
        self.upstreams[r].crash();
        self.at(span, Event::Drain(r + 1_000));
    }

    fn report(&mut self, r: usize) {
        let now = self.now;
        let report = self.upstreams[r].report(now);
        let mut is_acknowledged = false;
        self.wake_runner(r, |core, now| {
            core.handle_report(now, report);
            is_acknowledged = true;
        });
        let up = &mut self.upstreams[r];
        if is_acknowledged && up.draining {
            up.drain_acknowledged = up.drain_acknowledged.min(now);
        }
    }
}
