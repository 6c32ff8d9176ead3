//! Planners, runners, upstreams and callers in virtual time, with what can befall them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use chervilring_core::runs::planner::{
    Caller, JobAnswer, LinkNo, NewJob, PlannerSettings, PlannerStep, Step,
};
use chervilring_core::runs::runner::{CallOutcome, RunnerStep, WorkerCall};
use chervilring_core::runs::{PAUSE_LIMIT, Planner, Route, Runner};
use chervilring_wire::{
    JobId, Micros, PlannerMessage, RefuseReason, Resources, RunKey, RunnerMessage, Time,
};

use super::upstream::{TaskName, Upstream, name_of};

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

/// A message on a link.
#[derive(Debug, Clone)]
enum Packet {
    ToPlanner(RunnerMessage),
    ToRunner(PlannerMessage),
    /// The runner has closed the link.
    EndAtPlanner,
    /// The planner has closed the link.
    EndAtRunner,
}

impl Packet {
    fn is_to_planner(&self) -> bool {
        matches!(self, Self::ToPlanner(_) | Self::EndAtPlanner)
    }
}

/// What happens at a point in time.
#[derive(Debug, Clone)]
pub(crate) enum Happening {
    TickPlanner(usize),
    TickRunner(usize),
    Report(usize),
    Deliver(u64, usize),
    Called(usize, u64, Time, WorkerCall, CallOutcome),
    Carry(usize, WorkerCall),
    HoldEnds(usize, u64, Time, WorkerCall),
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
    Drain(usize),
    ResetCaller(usize),
}

/// The direction of a cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    Both,
    ToPlanner,
    ToRunner,
}

struct Link {
    planner: usize,
    runner: usize,
    /// What was sent, in order.
    packets: Vec<Packet>,
    /// The packets that have not come yet, by their place.
    waiting: BTreeSet<usize>,
    open: bool,
}

struct Process<T> {
    core: Option<T>,
    life: u64,
    frozen: Time,
    looked: Time,
    /// How long it was suspended so far: its steady clock did not count that.
    skew: u64,
}

/// A caller's job.
#[derive(Debug, Clone)]
pub(crate) struct Wanted {
    pub(crate) id: u64,
    pub(crate) count: u32,
    pub(crate) size: Micros,
    pub(crate) work: u64,
    pub(crate) fails: bool,
    pub(crate) patience: Micros,
    /// Whether its caller names what is left of its patience when it sends the job again.
    pub(crate) counts: bool,
    pub(crate) demand: Resources,
    /// Sent at, planner and handle of the newest try.
    pub(crate) open: Option<(usize, Caller)>,
    pub(crate) first: Time,
    pub(crate) answers: Vec<(Time, JobAnswer)>,
    pub(crate) tries: u32,
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
    /// Upstreams on which tasks stand still.
    pub(crate) hangs: BTreeSet<usize>,
    /// Upstreams on which tasks fail.
    pub(crate) fails: BTreeSet<usize>,
    planners: Vec<Process<Planner>>,
    /// When a planner was last started.
    pub(crate) planners_back: Time,
    runners: Vec<Process<Runner>>,
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
    traced: bool,
}

impl World {
    pub(crate) fn new(seed: u64, planners: usize, runners: usize, without: Without) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let speeds = [0.55, 1.2, 1.2, 1.0];
        let upstream = |i: usize| {
            let mut up = Upstream::new(i, 1.0 - rng.f64() * 0.02, speeds[i % 4], 8_000);
            up.leases = without != Without::Leases;
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
            hangs: BTreeSet::new(),
            fails: BTreeSet::new(),
            planners: Vec::new(),
            planners_back: Time::default(),
            runners: Vec::new(),
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
                    self.answer_all(r);
                }
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
                if self.runners[r].life != life {
                    return;
                }
                if self.now < self.runners[r].frozen {
                    let wait = self.now.until(self.runners[r].frozen).0;
                    self.at(wait + 1, Happening::Called(r, life, sent, call, outcome));
                    return;
                }
                self.wake_runner(r, |core, now| core.called(now, sent, &call, outcome));
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
                if self.now < self.planners[p].frozen {
                    let wait = self.now.until(self.planners[p].frozen).0;
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
                freeze(&mut self.planners[p], self.now, span);
            }
            Happening::FreezeRunner(r, span) => {
                freeze(&mut self.runners[r], self.now, span);
            }
            Happening::Cut(p, r, way, span) => {
                let until = Time(self.now.0 + span);
                self.cuts.push((p, r, way, until));
            }
            Happening::Crash(r, span) => {
                self.upstreams[r].crash();
                self.at(span, Happening::Drain(r + 1_000));
            }
            Happening::Drain(r) if r >= 1_000 => {
                self.upstreams[r - 1_000].rise();
            }
            Happening::Drain(r) => {
                self.upstreams[r].draining = true;
                self.report(r);
            }
            Happening::ResetCaller(job) => self.reset_caller(job),
        }
    }

    fn report(&mut self, r: usize) {
        let now = self.now;
        let report = self.upstreams[r].report(now);
        self.wake_runner(r, move |core, now| {
            core.reported(now, report);
        });
    }

    /// Has a job's connection break.
    fn reset_caller(&mut self, job: usize) {
        let Some((planner, caller)) = self.jobs[job].open.take() else {
            return;
        };
        self.callers.remove(&(planner, caller));
        self.at(3_000, Happening::CallerGone(planner, caller));
        self.resend(job);
    }

    fn resend(&mut self, job: usize) {
        if self.jobs[job].tries >= 6 {
            return;
        }
        let wait = if self.without == Without::ResendWait {
            1_000
        } else {
            RESEND
        };
        let planner = self.rng.usize(0..self.planners.len());
        self.at(wait, Happening::Submit(job, planner));
    }

    fn submit(&mut self, job: usize, planner: usize) {
        if self.jobs[job].open.is_some() {
            return;
        }
        let now = self.now;
        self.jobs[job].tries += 1;
        if self.jobs[job].tries == 1 {
            self.jobs[job].first = now;
        }
        if self.planners[planner].core.is_none() {
            self.resend(job);
            return;
        }
        self.last_caller += 1;
        let caller = Caller(self.last_caller);
        self.jobs[job].open = Some((planner, caller));
        self.callers.insert((planner, caller), job);
        if now < self.planners[planner].frozen {
            // The caller is not heard until it has given up; the connection hangs.
            let patience = self.jobs[job].patience.0;
            let wait = now.until(self.planners[planner].frozen).0;
            if patience < wait {
                self.at(patience, Happening::ResetCaller(job));
            } else {
                self.callers.remove(&(planner, caller));
                self.jobs[job].open = None;
                self.jobs[job].tries -= 1;
                self.at(wait + 1, Happening::Submit(job, planner));
            }
            return;
        }
        self.started.insert(self.jobs[job].id, 0);
        let mut wanted = self.jobs[job].clone();
        if wanted.counts {
            let spent = wanted.first.until(self.now);
            wanted.patience = Micros(wanted.patience.0.saturating_sub(spent.0));
        }
        self.wake_planner(planner, |core, now| {
            core.submit(now, caller, new_job(&wanted, now));
        });
    }

    fn start_planner(&mut self, p: usize) {
        let seed = self.rng.u64(..);
        let settings = PlannerSettings {
            seed,
            ..PlannerSettings::default()
        };
        let row = &mut self.planners[p];
        if row.core.is_some() {
            return;
        }
        row.life += 1;
        row.frozen = Time::default();
        row.looked = self.now;
        row.skew = 0;
        row.core = Some(Planner::new(settings, self.now));
        self.planners_back = self.now;
        if row.life == 1 {
            self.at(TICK + p as u64, Happening::TickPlanner(p));
        }
    }

    fn start_runner(&mut self, r: usize) {
        let now = self.now;
        let row = &mut self.runners[r];
        if row.core.is_some() {
            return;
        }
        row.life += 1;
        row.frozen = Time::default();
        row.looked = now;
        row.skew = 0;
        // The wall clock may have jumped back between two lives.
        let fence = 50_000 + row.life * 10 - row.life % 3 * 15;
        let name = format!("r{r}");
        row.core = Some(Runner::new(
            name.as_str().into(),
            "d".into(),
            Micros::from_secs(1),
            fence,
            now,
        ));
        if row.life == 1 {
            self.at(TICK + r as u64, Happening::TickRunner(r));
        }
    }

    fn kill_planner(&mut self, p: usize) {
        if self.planners[p].core.take().is_none() {
            return;
        }
        self.planners[p].frozen = Time::default();
        self.end_links(|l| l.planner == p, &Packet::EndAtRunner);
        let broken: Vec<usize> = self
            .callers
            .iter()
            .filter(|((planner, _), _)| *planner == p)
            .map(|(_, &job)| job)
            .collect();
        self.callers.retain(|(planner, _), _| *planner != p);
        for job in broken {
            self.jobs[job].open = None;
            self.resend(job);
        }
        let span = self.rng.u64(200_000..1_500_000);
        self.at(span, Happening::StartPlanner(p));
    }

    fn kill_runner(&mut self, r: usize) {
        if self.runners[r].core.take().is_none() {
            return;
        }
        self.runners[r].frozen = Time::default();
        self.end_links(|l| l.runner == r, &Packet::EndAtPlanner);
        let span = self.rng.u64(100_000..1_500_000);
        self.at(span, Happening::StartRunner(r));
    }

    /// Has the other side hear of the end of links, unless they are cut.
    fn end_links(&mut self, which: impl Fn(&Link) -> bool, end: &Packet) {
        let rows = self.links.iter().filter(|(_, l)| l.open && which(l));
        let ids: Vec<u64> = rows.map(|(&id, _)| id).collect();
        for id in ids {
            self.send(id, end.clone());
        }
    }

    fn dial(&mut self, r: usize) {
        if self.runners[r].core.is_none() || self.now < self.runners[r].frozen {
            return;
        }
        for p in 0..self.planners.len() {
            let linked = |l: &Link| l.open && l.planner == p && l.runner == r;
            if self.links.values().any(linked) || self.planners[p].core.is_none() {
                continue;
            }
            if self.is_cut(p, r, Way::ToPlanner) || self.is_cut(p, r, Way::ToRunner) {
                continue;
            }
            self.last_link += 1;
            let id = self.last_link;
            let link = Link {
                planner: p,
                runner: r,
                packets: Vec::new(),
                waiting: BTreeSet::new(),
                open: true,
            };
            self.links.insert(id, link);
            self.wake_runner(r, |core, now| core.link_up(now, LinkNo(id)));
        }
    }

    fn is_cut(&self, p: usize, r: usize, way: Way) -> bool {
        let holds = |&(cp, cr, cw, until): &(usize, usize, Way, Time)| {
            cp == p && cr == r && self.now < until && (cw == Way::Both || cw == way)
        };
        self.cuts.iter().any(holds)
    }

    fn send(&mut self, link: u64, packet: Packet) {
        let Some(row) = self.links.get_mut(&link) else {
            return;
        };
        row.packets.push(packet);
        let place = row.packets.len() - 1;
        row.waiting.insert(place);
        self.at(HOP, Happening::Deliver(link, place));
    }

    fn deliver(&mut self, link: u64, place: usize) {
        let Some(row) = self.links.get(&link) else {
            return;
        };
        let (p, r) = (row.planner, row.runner);
        let packet = row.packets[place].clone();
        let to_planner = packet.is_to_planner();
        let way = if to_planner {
            Way::ToPlanner
        } else {
            Way::ToRunner
        };
        let frozen = if to_planner {
            self.planners[p].frozen
        } else {
            self.runners[r].frozen
        };
        // Bytes on a cut way come later, as long as both ends keep the connection.
        let earlier = row.waiting.range(..place);
        let overtakes = earlier
            .clone()
            .any(|&e| row.packets[e].is_to_planner() == to_planner);
        if self.is_cut(p, r, way) || self.now < frozen {
            self.at(10_000, Happening::Deliver(link, place));
            return;
        }
        if overtakes {
            self.at(100, Happening::Deliver(link, place));
            return;
        }
        if let Some(row) = self.links.get_mut(&link) {
            row.waiting.remove(&place);
        }
        let Some(row) = self.links.get(&link) else {
            return;
        };
        let id = LinkNo(link);
        match packet {
            Packet::ToPlanner(message) if row.open => {
                self.wake_planner(p, |core, now| core.message(now, id, message));
            }
            Packet::ToRunner(message) if row.open => {
                self.wake_runner(r, |core, now| core.message(now, id, message));
            }
            Packet::EndAtPlanner => {
                self.shut(link);
                self.wake_planner(p, |core, now| core.link_down(now, id));
            }
            Packet::EndAtRunner => {
                self.shut(link);
                if self.without != Without::LinkLoss {
                    self.wake_runner(r, |core, now| core.link_down(now, id));
                }
            }
            Packet::ToPlanner(_) | Packet::ToRunner(_) => {}
        }
    }

    /// Has a runner take all its heartbeats as answered, on links that have ended as well.
    fn answer_all(&mut self, r: usize) {
        let rows = self.links.iter().filter(|(_, l)| l.runner == r);
        let ids: Vec<u64> = rows.map(|(&id, _)| id).collect();
        for id in ids {
            let message = PlannerMessage::Beat(u64::MAX);
            self.wake_runner(r, |core, now| core.message(now, LinkNo(id), message));
        }
    }

    fn shut(&mut self, link: u64) {
        if let Some(row) = self.links.get_mut(&link) {
            row.open = false;
        }
    }

    fn wake_planner(&mut self, p: usize, act: impl FnOnce(&mut Planner, Time)) {
        let watch = self.without != Without::PauseWatch;
        let Some((core, local, gap)) = wake(&mut self.planners[p], self.now) else {
            return;
        };
        if gap > PAUSE_LIMIT && watch {
            core.paused(local, gap);
        }
        act(core, local);
        core.tick(local);
        let steps = core.drain();
        for step in steps {
            self.planner_step(p, step);
        }
    }

    fn planner_step(&mut self, p: usize, step: PlannerStep) {
        match step {
            PlannerStep::Send { link, message } => self.send(link.0, Packet::ToRunner(message)),
            PlannerStep::Close(link) => {
                self.send(link.0, Packet::EndAtRunner);
            }
            PlannerStep::Answer { caller, answer, .. } => {
                let Some(job) = self.callers.remove(&(p, caller)) else {
                    return;
                };
                self.answered(job, answer);
            }
            PlannerStep::Config(_) => {}
            PlannerStep::Log(event) => self.note(&format!("planner {p}: {event:?}")),
        }
    }

    fn answered(&mut self, job: usize, answer: JobAnswer) {
        let now = self.now;
        let id = self.jobs[job].id;
        self.jobs[job].open = None;
        self.jobs[job].answers.push((now, answer));
        let started = self.started.get(&id).copied().unwrap_or(0);
        if matches!(answer, JobAnswer::Refused(_)) && started > 0 {
            self.violations
                .push(format!("{now:?}: job {id} is said not to have run"));
        }
        if answer == JobAnswer::GaveUp {
            self.resend(job);
        }
    }

    fn wake_runner(&mut self, r: usize, act: impl FnOnce(&mut Runner, Time)) {
        let watch = self.without != Without::PauseWatch;
        let Some((core, local, gap)) = wake(&mut self.runners[r], self.now) else {
            return;
        };
        if gap > PAUSE_LIMIT && watch {
            core.paused(local, gap);
        }
        act(core, local);
        core.tick(local);
        let steps = core.drain();
        for step in steps {
            self.runner_step(r, step);
        }
    }

    fn runner_step(&mut self, r: usize, step: RunnerStep) {
        match step {
            RunnerStep::Send { link, message } => {
                let refused = matches!(&message, RunnerMessage::Refused { reason, .. }
                    if *reason == RefuseReason::Room);
                self.refusals += u32::from(refused);
                self.states += u32::from(matches!(&message, RunnerMessage::State(_)));
                self.send(link.0, Packet::ToPlanner(message));
            }
            RunnerStep::Close(link) => self.send(link.0, Packet::EndAtPlanner),
            RunnerStep::Call(call) => self.call(r, call),
            RunnerStep::Log(event) => self.note(&format!("runner {r}: {event:?}")),
            RunnerStep::Left | RunnerStep::Keep(_) => {}
        }
    }

    fn call(&mut self, r: usize, call: WorkerCall) {
        let now = Time(self.now.0 - self.runners[r].skew);
        let life = self.runners[r].life;
        let lost = CallOutcome::Lost;
        if !self.upstreams[r].up {
            self.at(CALL_TIME, Happening::Called(r, life, now, call, lost));
            return;
        }
        let order = !matches!(call, WorkerCall::Hold { .. });
        if order && self.rng.f64() < self.late {
            let span = self.rng.u64(1_000_000..6_000_000);
            self.at(span, Happening::Carry(r, call.clone()));
            self.at(CALL_TIME, Happening::Called(r, life, now, call, lost));
            return;
        }
        if let WorkerCall::Hold { lease, .. } = &call {
            // The lease counts from the arrival, the lists from the answer.
            if lease.is_some() {
                self.carry(r, &call);
            }
            self.at(HOLD, Happening::HoldEnds(r, life, now, call));
            return;
        }
        let outcome = self.carry(r, &call);
        self.at(2 * NEAR, Happening::Called(r, life, now, call, outcome));
    }

    fn carry(&mut self, r: usize, call: &WorkerCall) -> CallOutcome {
        if !self.upstreams[r].up {
            return CallOutcome::Lost;
        }
        let now = self.now;
        let hang = self.hangs.contains(&r);
        let bad = self.fails.contains(&r);
        let before: BTreeSet<RunKey> = self.upstreams[r].going.keys().copied().collect();
        let jobs = &self.jobs;
        let work = |run: &RunKey| {
            let job = jobs.iter().find(|j| j.id == run.job.0);
            let (span, fails) = job.map_or((50_000, false), |j| (j.work, j.fails));
            (span, fails || bad, hang)
        };
        let outcome = self.upstreams[r].carry(now, call, work);
        let new = self.upstreams[r].going.keys().find(|k| !before.contains(k));
        if let Some(run) = new.copied() {
            self.started(r, run);
        }
        outcome
    }

    /// Checks a start.
    fn started(&mut self, r: usize, run: RunKey) {
        self.starts += 1;
        let now = self.now;
        let name: TaskName = name_of(&run);
        *self.started.entry(run.job.0).or_default() += 1;
        for (place, up) in self.upstreams.iter().enumerate() {
            let twins = up
                .going
                .keys()
                .filter(|k| name_of(k) == name && !(place == r && **k == run));
            if up.up && twins.count() > 0 {
                self.violations
                    .push(format!("{now:?}: {run} runs on {place} and {r}"));
            }
        }
        let up = &self.upstreams[r];
        if !up.capacity.holds(&up.taken()) {
            self.violations
                .push(format!("{now:?}: {run} brings {r} over its capacity"));
        }
        if up.draining && self.without == Without::Nothing {
            // A start that was under way when the upstream began to leave is allowed.
            let since = now.0 % REPORT;
            if since > 2_000_000 {
                self.violations
                    .push(format!("{now:?}: {run} started while {r} leaves"));
            }
        }
    }

    /// Tells runners that their upstreams have more room than they have.
    pub(crate) fn overstate(&mut self) {
        for r in 0..self.upstreams.len() {
            let mut report = self.upstreams[r].report(self.now);
            report.capacity.cpu *= 3;
            report.sequence = 1_000_000;
            self.wake_runner(r, move |core, now| {
                core.reported(now, report);
            });
        }
    }
}

fn process<T>() -> Process<T> {
    Process {
        core: None,
        life: 0,
        frozen: Time::default(),
        looked: Time::default(),
        skew: 0,
    }
}

/// Returns what a process decides with, its own time and how long it has not looked; none while it
/// does not run.
fn wake<T>(process: &mut Process<T>, now: Time) -> Option<(&mut T, Time, Micros)> {
    if now < process.frozen {
        return None;
    }
    let core = process.core.as_mut()?;
    let gap = process.looked.until(now);
    process.looked = now;
    Some((core, Time(now.0 - process.skew), gap))
}

/// Has a process stand still. Every other time its host is suspended: the steady clock stands
/// still as well.
fn freeze<T>(process: &mut Process<T>, now: Time, span: u64) {
    let from = process.frozen.max(now);
    let end = Time(now.0 + span);
    let more = from.until(end).0;
    process.frozen = from.max(end);
    if span.is_multiple_of(2) {
        process.skew += more;
    }
}

/// Returns the route of all jobs here.
pub(crate) fn route() -> Arc<Route> {
    Arc::new(Route {
        name: "main".into(),
        host: "".into(),
        prefix: "/p/".into(),
        service: "work".into(),
        priority: 0,
        attempts: 2,
        slack: 1.6,
        target: Micros::from_millis(60),
        timeout: Micros::from_millis(1_500),
    })
}

fn new_job(job: &Wanted, now: Time) -> NewJob {
    NewJob {
        id: JobId(job.id),
        route: route(),
        version: 1,
        spec: "x".into(),
        request: "".into(),
        steps: vec![Step {
            count: job.count,
            demand: job.demand,
            size: job.size,
            ..Step::default()
        }],
        deadline: now + job.patience,
    }
}

/// Returns a job of `count` tasks that take `millis` each.
pub(crate) fn wanted(id: u64, count: u32, millis: u64) -> Wanted {
    Wanted {
        id,
        count,
        size: Micros::from_millis(millis),
        work: millis * 1_000,
        fails: false,
        patience: Micros::from_millis(2_500),
        counts: false,
        demand: Resources {
            cpu: 1_600,
            memory: 64,
            gpu: 0,
        },
        open: None,
        first: Time::default(),
        answers: Vec::new(),
        tries: 0,
    }
}
