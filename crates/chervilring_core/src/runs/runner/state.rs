//! The tables of a runner and what comes in.

use std::collections::BTreeMap;

use chervilring_wire::{
    ConfigCopy, DomainName, Micros, Name, PlannerMessage, Queued, RefuseReason, Resources, RunEnd,
    RunKey, RunnerMessage, ServiceName, StartRuns, Time,
};

use super::call::{CallOutcome, Refused, WorkerCall};
use super::event::RunnerEvent;
use super::links::Link;
use super::worker::{Report, Worker, WorkerState};
use crate::runs::bounds::{BEAT, RUN_GONE};
use crate::runs::planner::LinkNo;

/// How long runs are assumed to take before the first has ended, in microseconds.
const FIRST_SPAN: f64 = 150_000.0;

/// The steps in which planners are told how long runs can wait: finer ones would change, and be
/// told, all the time.
const PATIENCE: [Micros; 6] = [
    Micros::from_millis(15),
    Micros::from_millis(30),
    Micros::from_millis(60),
    Micros::from_millis(120),
    Micros::from_millis(250),
    Micros::from_millis(500),
];

/// How much of the past is kept with each run in the mean time that runs take.
const KEEP: f64 = 0.95;

/// What is to be carried out.
#[derive(Debug, Clone, PartialEq)]
pub enum RunnerStep {
    /// A message is to be sent.
    Send {
        /// The link to the planner.
        link: LinkNo,
        /// The message.
        message: RunnerMessage,
    },
    /// A link is to be closed.
    Close(LinkNo),
    /// The upstream is to be called; the outcome is told by [`Runner::called`].
    Call(WorkerCall),
    /// What the upstream says of this life is to be kept, for the next life of the runner.
    Keep(Report),
    /// Something is to be logged.
    Log(RunnerEvent),
    /// The runner has nothing left to do and the process may end.
    Left,
}

/// How far a run has got, as the runner knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunState {
    /// It waits for room.
    Queued,
    /// The upstream was asked to start it, in an earlier life or in this one: lists that were asked
    /// for after this time tell.
    Unsure(Time),
    /// The upstream is being asked to start it.
    Starting,
    /// The upstream runs it since this time or a little earlier.
    Running(Time),
    /// The upstream is being asked to stop it.
    Stopping,
    /// The upstream was told to stop it at this time; its end is not listed yet.
    Stopped(Time),
}

/// A run.
#[derive(Debug, Clone)]
pub(super) struct Run {
    /// The link of the planner that asked for it; none when that is lost or was told its end.
    pub(super) link: Option<LinkNo>,
    pub(super) demand: Resources,
    pub(super) spec: Name,
    pub(super) state: RunState,
    /// Whether it is to be stopped as soon as the start under way is answered.
    pub(super) doomed: bool,
    /// When it was taken on.
    pub(super) taken: Time,
    /// Until when it is of use to start it.
    pub(super) latest: Time,
}

/// The decisions of a runner.
#[derive(Debug)]
pub struct Runner {
    pub(super) name: Name,
    pub(super) domain: DomainName,
    /// The longest lease that upstreams accept.
    pub(super) lease: Micros,
    pub(super) fence: u64,
    pub(super) worker: Option<Worker>,
    pub(super) runs: BTreeMap<RunKey, Run>,
    pub(super) links: BTreeMap<LinkNo, Link>,
    pub(super) steps: Vec<RunnerStep>,
    pub(super) config: Option<ConfigCopy>,
    pub(super) beat: Time,
    /// When progress is told next.
    pub(super) report: Time,
    /// Until when work in flight is waited for, once the runner leaves.
    pub(super) leaving: Option<Time>,
    pub(super) open: bool,
    /// How long runs have taken of late, in microseconds.
    pub(super) span: f64,
    /// When the lease of what an earlier life of this runner has started is surely over.
    pub(super) past: Time,
}

impl Runner {
    /// Creates a runner. `fence` must be above that of the runner's earlier lives; if it is not,
    /// the upstream says so and it is raised.
    pub fn new(name: Name, domain: DomainName, lease: Micros, fence: u64, now: Time) -> Self {
        Self {
            name,
            domain,
            lease,
            fence,
            worker: None,
            runs: BTreeMap::new(),
            links: BTreeMap::new(),
            steps: Vec::new(),
            config: None,
            beat: now + BEAT,
            report: now,
            leaving: None,
            open: false,
            span: FIRST_SPAN,
            past: now + RUN_GONE,
        }
    }

    /// Takes in a report of the upstream; returns whether it is in force. Late ones of an earlier
    /// life are not.
    pub fn reported(&mut self, now: Time, report: Report) -> bool {
        let Some(worker) = &mut self.worker else {
            self.steps.push(RunnerStep::Keep(report.clone()));
            self.begin_life(now, report);
            return true;
        };
        let life = &worker.report.life;
        if report.life.born < life.born {
            return false;
        }
        if report.life != *life {
            // Under the id that is meant in calls the new life may have begun what was asked of
            // the old one.
            let same = report.life.id == life.id;
            self.steps.push(RunnerStep::Keep(report.clone()));
            if !same {
                self.end_life(now);
            }
            self.begin_life(now, report);
            if same {
                self.carry_over(now);
            }
            return true;
        }
        if report.sequence <= worker.report.sequence {
            return true;
        }
        if let Some(clock) = report.clock {
            worker.lease.read(now, clock);
        }
        if !worker.described {
            worker.described = true;
            self.steps.push(RunnerStep::Keep(report.clone()));
        }
        worker.report = report;
        self.tick(now);
        true
    }

    /// Takes in what an upstream had said to an earlier life of this runner. Its lists tell whether
    /// that is still the same life.
    pub fn recall(&mut self, now: Time, report: Report) {
        if self.worker.is_some() {
            return;
        }
        let report = Report {
            sequence: 0,
            clock: None,
            ..report
        };
        self.begin_life(now, report);
    }

    /// Takes in that the upstream ends; `id` is the one that it has announced.
    pub fn left(&mut self, now: Time, id: &str) {
        if let Some(worker) = self.worker.as_mut().filter(|w| &*w.report.life.id == id) {
            worker.report.state = WorkerState::Left;
        }
        self.tick(now);
    }

    /// Takes in a new link to a planner.
    pub fn link_up(&mut self, now: Time, link: LinkNo) {
        self.links.insert(link, Link::new());
        self.tick(now);
    }

    /// Takes in that a link has ended.
    pub fn link_down(&mut self, now: Time, link: LinkNo) {
        self.lose(now, link, "closed");
        self.tick(now);
    }

    /// Takes in a message of a planner.
    pub fn message(&mut self, now: Time, link: LinkNo, message: PlannerMessage) {
        match message {
            PlannerMessage::Beat { echo, config } => {
                if let Some(row) = self.links.get_mut(&link) {
                    row.answered(echo);
                }
                let newest = self.config.as_ref().map_or(0, |c| c.version);
                if let Some(config) = config.filter(|c| c.version > newest) {
                    self.config = Some(config);
                }
            }
            PlannerMessage::Start(start) => self.start(now, link, start),
            PlannerMessage::Stop(runs) => {
                for run in runs {
                    self.stop(run);
                }
            }
        }
    }

    /// Takes in what became of a call that was made at `sent`.
    pub fn called(&mut self, now: Time, sent: Time, call: &WorkerCall, outcome: CallOutcome) {
        let current = self.worker.as_ref().map(|w| &w.report.life);
        if current != Some(call.life()) {
            return;
        }
        self.read_clock(now, &outcome);
        match call {
            WorkerCall::Start { run, .. } => self.start_answered(now, *run, &outcome),
            WorkerCall::Stop { run, .. } => self.stop_answered(now, *run, &outcome),
            WorkerCall::Hold { .. } => self.hold_answered(now, sent, outcome),
        }
    }

    /// Begins a planned stop that waits for work in flight until a point in time.
    pub fn leave(&mut self, now: Time, until: Time) {
        self.leaving.get_or_insert(until);
        self.tick(now);
    }

    /// Returns the steps to carry out, in order.
    pub fn drain(&mut self) -> Vec<RunnerStep> {
        std::mem::take(&mut self.steps)
    }

    /// Returns how many runs are in hand.
    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Returns how many planners are linked.
    pub fn planners(&self) -> usize {
        self.links.len()
    }

    /// Returns whether new runs are taken.
    pub fn is_open(&self) -> bool {
        self.leaving.is_none() && self.worker.as_ref().is_some_and(Worker::is_open)
    }

    /// Returns what is free, if the upstream is known.
    pub(super) fn free(&self) -> Resources {
        let Some(worker) = &self.worker else {
            return Resources::default();
        };
        let all = worker.report.capacity;
        let less = |free: Resources, run: &Run| free.minus(&run.demand);
        let taking = self.runs.values().filter(|r| r.state != RunState::Queued);
        taking.fold(all, less)
    }

    /// Returns what runs that wait for room will take.
    pub(super) fn queued(&self) -> Resources {
        let waiting = self.runs.values().filter(|r| r.state == RunState::Queued);
        waiting.fold(Resources::default(), |sum, run| sum.plus(&run.demand))
    }

    /// Returns what runs that wait for room will take, by how long they can wait.
    pub(super) fn queue(&self, now: Time) -> Vec<Queued> {
        let mut rows: Vec<Queued> = Vec::new();
        for run in self.runs.values().filter(|r| r.state == RunState::Queued) {
            let left = now.until(run.latest);
            let edge = PATIENCE.into_iter().find(|&edge| left <= edge);
            let patience = edge.unwrap_or(Micros(u64::MAX));
            match rows.iter_mut().find(|row| row.patience == patience) {
                Some(row) => row.demand = row.demand.plus(&run.demand),
                None => rows.push(Queued {
                    patience,
                    demand: run.demand,
                }),
            }
        }
        rows.sort_unstable_by_key(|row| row.patience);
        rows
    }

    pub(super) fn begin_life(&mut self, now: Time, report: Report) {
        let event = RunnerEvent::WorkerUp {
            id: report.life.id.clone(),
            born: report.life.born,
            capacity: report.capacity,
        };
        self.steps.push(RunnerStep::Log(event));
        // Orders to an earlier life that come late are refused by this one.
        self.fence += 1;
        let clock = report.clock;
        let mut worker = Worker::new(report);
        if let Some(clock) = clock {
            worker.lease.read(now, clock);
        }
        self.worker = Some(worker);
        self.tick(now);
    }

    /// Ends all runs of a life of the upstream that is over.
    pub(super) fn end_life(&mut self, now: Time) {
        let runs: Vec<RunKey> = self.runs.keys().copied().collect();
        for run in runs {
            self.end(now, run, RunEnd::Lapsed);
        }
        self.worker = None;
    }

    /// Has runs of the life before looked for in the lists of the new one.
    pub(super) fn carry_over(&mut self, now: Time) {
        let longest = self.lease;
        if let Some(worker) = &mut self.worker {
            worker.lease.doubt(now, longest);
        }
        let runs: Vec<RunKey> = self.runs.keys().copied().collect();
        for run in runs {
            let Some(row) = self.runs.get_mut(&run) else {
                continue;
            };
            match row.state {
                RunState::Queued => {}
                RunState::Starting if !row.doomed => row.state = RunState::Unsure(now),
                RunState::Unsure(_) => row.state = RunState::Unsure(now),
                RunState::Running(_) => row.state = RunState::Running(now),
                RunState::Starting | RunState::Stopping | RunState::Stopped(_) => {
                    row.state = RunState::Stopping;
                    self.call_stop(run);
                }
            }
        }
    }

    /// Takes on or refuses runs; those taken on start as soon as there is room.
    fn start(&mut self, now: Time, link: LinkNo, start: StartRuns) {
        let Some(row) = self.links.get_mut(&link).filter(|l| l.greeted) else {
            return;
        };
        row.number = start.number;
        let free = self.free();
        let first = start.runs.first().copied();
        let mut taken = 0;
        for run in start.runs {
            if let Some(reason) = self.refusal(&start.service, &run, &start.demand) {
                self.refuse(run, Some(link), reason);
                continue;
            }
            taken += 1;
            let row = Run {
                link: Some(link),
                demand: start.demand,
                spec: start.spec.clone(),
                state: RunState::Queued,
                doomed: false,
                taken: now,
                latest: now + start.patience,
            };
            self.runs.insert(run, row);
        }
        if let (Some(run), true) = (first, taken > 0) {
            let event = RunnerEvent::Taken {
                run,
                runs: taken,
                free,
            };
            self.steps.push(RunnerStep::Log(event));
        }
        self.start_queued(now);
    }

    /// Starts the runs that wait, the most urgent first, as far as there is room.
    pub(super) fn start_queued(&mut self, now: Time) {
        let waits = |(run, row): (&RunKey, &Run)| {
            (row.state == RunState::Queued).then_some((row.latest, *run))
        };
        let mut order: Vec<(Time, RunKey)> = self.runs.iter().filter_map(waits).collect();
        if order.is_empty() {
            return;
        }
        order.sort_unstable();
        let open = self.is_open();
        let mut free = self.free();
        for (latest, run) in order {
            let Some(row) = self.runs.get_mut(&run) else {
                continue;
            };
            let link = row.link;
            if now > latest || !open || row.doomed {
                self.runs.remove(&run);
                let reason = if open {
                    RefuseReason::Room
                } else {
                    RefuseReason::Closed
                };
                self.refuse(run, link, reason);
                continue;
            }
            if !free.holds(&row.demand) {
                continue;
            }
            free = free.minus(&row.demand);
            row.state = RunState::Starting;
            self.call_start(now, run);
        }
    }

    /// Tells a planner that a run is not started and will not be.
    fn refuse(&mut self, run: RunKey, link: Option<LinkNo>, reason: RefuseReason) {
        let free = self.free();
        let event = RunnerEvent::Refused { run, reason, free };
        self.steps.push(RunnerStep::Log(event));
        if let Some(link) = link {
            let message = RunnerMessage::Refused { run, reason };
            self.steps.push(RunnerStep::Send { link, message });
        }
    }

    /// Returns why a run is not taken on, if it is not.
    fn refusal(
        &self,
        service: &ServiceName,
        run: &RunKey,
        demand: &Resources,
    ) -> Option<RefuseReason> {
        let Some(worker) = self.worker.as_ref().filter(|_| self.is_open()) else {
            return Some(RefuseReason::Closed);
        };
        if worker.report.service != *service {
            return Some(RefuseReason::Closed);
        }
        // Another run of the same task is still here, for another planner or being stopped.
        let task = |r: &RunKey| (r.job, r.occurrence, r.step, r.index);
        let twin = self.runs.keys().any(|r| task(r) == task(run));
        let capacity = &worker.report.capacity;
        let queue = self.queued().plus(demand);
        if twin || !capacity.holds(demand) || !capacity.holds(&queue) {
            return Some(RefuseReason::Room);
        }
        None
    }

    /// Has a run stopped.
    pub(super) fn stop(&mut self, run: RunKey) {
        let Some(row) = self.runs.get_mut(&run) else {
            return;
        };
        match row.state {
            RunState::Queued => {
                let link = row.link;
                self.runs.remove(&run);
                self.refuse(run, link, RefuseReason::Stopped);
            }
            RunState::Starting | RunState::Unsure(_) => row.doomed = true,
            RunState::Running(_) => {
                row.state = RunState::Stopping;
                self.call_stop(run);
            }
            RunState::Stopping | RunState::Stopped(_) => {}
        }
    }

    fn start_answered(&mut self, now: Time, run: RunKey, outcome: &CallOutcome) {
        let Some(row) = self.runs.get_mut(&run) else {
            return;
        };
        if row.state != RunState::Starting {
            return;
        }
        match outcome {
            CallOutcome::Done { .. } | CallOutcome::Listed(_) => {
                row.state = RunState::Running(now);
                let doomed = row.doomed;
                if let Some(link) = row.link {
                    let message = RunnerMessage::Started(run);
                    self.steps.push(RunnerStep::Send { link, message });
                }
                if doomed {
                    self.stop(run);
                }
            }
            CallOutcome::Refused { why, .. } => self.start_refused(now, run, *why),
            CallOutcome::Lost => {
                self.log_no_answer(Some(run), "start");
                let drains = self
                    .worker
                    .as_ref()
                    .is_none_or(|w| w.report.state != WorkerState::Ready);
                if row_doomed(&self.runs, &run) || drains {
                    self.set_state(run, RunState::Stopping);
                    self.call_stop(run);
                } else {
                    self.call_start(now, run);
                }
            }
        }
    }

    fn start_refused(&mut self, now: Time, run: RunKey, why: Refused) {
        let doomed = row_doomed(&self.runs, &run);
        match why {
            Refused::Fence => {
                self.raise_fence();
                if !doomed {
                    self.call_start(now, run);
                    return;
                }
            }
            Refused::Late if !doomed => {
                self.call_start(now, run);
                return;
            }
            _ => {}
        }
        self.steps
            .push(RunnerStep::Log(RunnerEvent::NotStarted { run, why }));
        let reason = match why {
            Refused::Old => RefuseReason::Old,
            Refused::Invalid => RefuseReason::Invalid,
            Refused::Unhealthy => RefuseReason::Unhealthy,
            Refused::Room => RefuseReason::Room,
            Refused::OtherLife => RefuseReason::Closed,
            Refused::Fence | Refused::Late => RefuseReason::Stopped,
        };
        let Some(row) = self.runs.remove(&run) else {
            return;
        };
        if let Some(link) = row.link {
            let message = RunnerMessage::Refused { run, reason };
            self.steps.push(RunnerStep::Send { link, message });
        }
    }

    fn stop_answered(&mut self, now: Time, run: RunKey, outcome: &CallOutcome) {
        let stopping = self
            .runs
            .get(&run)
            .is_some_and(|r| r.state == RunState::Stopping);
        if !stopping {
            return;
        }
        match outcome {
            CallOutcome::Lost => {
                self.log_no_answer(Some(run), "stop");
                self.call_stop(run);
            }
            CallOutcome::Refused {
                why: Refused::Fence,
                ..
            } => {
                self.raise_fence();
                self.call_stop(run);
            }
            CallOutcome::Refused {
                why: Refused::Unhealthy,
                ..
            } => self.call_stop(run),
            // Whether it ran to its end before is told by the next lists.
            _ => self.set_state(run, RunState::Stopped(now)),
        }
    }

    pub(super) fn set_state(&mut self, run: RunKey, state: RunState) {
        if let Some(row) = self.runs.get_mut(&run) {
            row.state = state;
        }
    }

    /// Tells the planner that a run has ended and gives its resources back.
    pub(super) fn end(&mut self, now: Time, run: RunKey, end: RunEnd) {
        let Some(row) = self.runs.remove(&run) else {
            return;
        };
        let since = match row.state {
            RunState::Running(since) => since,
            _ => row.taken,
        };
        let span = now.since(since);
        if end == RunEnd::Done {
            self.span = self.span * KEEP + span.0 as f64 * (1.0 - KEEP);
        }
        self.steps
            .push(RunnerStep::Log(RunnerEvent::Ended { run, end, span }));
        if let Some(link) = row.link {
            let message = RunnerMessage::Ended { run, end, span };
            self.steps.push(RunnerStep::Send { link, message });
        }
    }

    pub(super) fn log_no_answer(&mut self, run: Option<RunKey>, call: &'static str) {
        let event = RunnerEvent::NoAnswer { run, call };
        self.steps.push(RunnerStep::Log(event));
    }
}

fn row_doomed(runs: &BTreeMap<RunKey, Run>, run: &RunKey) -> bool {
    runs.get(run).is_some_and(|r| r.doomed)
}
