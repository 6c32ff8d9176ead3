//! The tables of a runner and what comes in.

use std::collections::BTreeMap;

use chervilring_wire::{
    ConfigReplica, DomainName, Micros, Name, PlannerMessage, QueuedRuns, Resources, RunKey,
    RunnerMessage, Time,
};

use super::call::{CallOutcome, WorkerCall};
use super::event::RunnerEvent;
use super::links::Link;
use super::record::Record;
use super::worker::Worker;
use crate::runs::bounds::{RUN_GONE, patience_step};
use crate::runs::planner::LinkNo;
use crate::runs::speed::Speed;

/// How long runs are assumed to take before the first has ended, in microseconds.
const FIRST_SPAN: f64 = 150_000.0;

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
    /// What is known of the upstream is to be kept, for the next life of the runner.
    Keep(Record),
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
    /// How long it is declared to run.
    pub(super) size: Micros,
    /// How much of it the upstream has last said to be done, in percent.
    pub(super) percent: u8,
    pub(super) spec: Name,
    pub(super) state: RunState,
    /// Whether it is to be stopped as soon as the start under way is answered.
    pub(super) doomed: bool,
    /// Whether a call for its start got no answer: the upstream may have begun it, or may yet.
    pub(super) unanswered: bool,
    /// When it was taken on.
    pub(super) taken: Time,
    /// Until when it is of use to start it.
    pub(super) latest: Time,
    /// When the upstream, if it answers by then, is asked again what it did not answer.
    pub(super) again: Option<Time>,
}

/// The decisions of a runner.
#[derive(Debug)]
pub struct Runner {
    pub(super) name: Name,
    pub(super) domain: DomainName,
    /// The longest lease that upstreams accept.
    pub(super) lease: Micros,
    pub(super) fence: u64,
    /// Names this life of the runner.
    pub(super) life: u64,
    pub(super) worker: Option<Worker>,
    pub(super) runs: BTreeMap<RunKey, Run>,
    pub(super) links: BTreeMap<LinkNo, Link>,
    pub(super) steps: Vec<RunnerStep>,
    pub(super) config: Option<ConfigReplica>,
    /// When progress is told next.
    pub(super) report: Time,
    /// Until when work in flight is waited for, once the runner leaves.
    pub(super) leaving: Option<Time>,
    pub(super) open: bool,
    /// How long runs have taken of late, in microseconds.
    pub(super) span: f64,
    /// How fast the upstream is.
    pub(super) speed: Speed,
    /// What was last kept of that, in thousandths, and when that may be done again.
    pub(super) kept_speed: (u32, Time),
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
            life: fence,
            worker: None,
            runs: BTreeMap::new(),
            links: BTreeMap::new(),
            steps: Vec::new(),
            config: None,
            report: now,
            leaving: None,
            open: false,
            span: FIRST_SPAN,
            speed: Speed::default(),
            kept_speed: (Speed::default().permille(), now),
            past: now + RUN_GONE,
        }
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

    /// Takes in that a link is not needed any more: nothing more is wanted over it, and the planner is
    /// asked to close it once nothing runs.
    pub fn part(&mut self, now: Time, link: LinkNo) {
        if let Some(row) = self.links.get_mut(&link) {
            row.await_quiet(now);
        }
        self.tick(now);
    }

    /// Takes in a message of a planner.
    pub fn message(&mut self, now: Time, link: LinkNo, message: PlannerMessage) {
        if let Some(row) = self.links.get_mut(&link).filter(|l| !l.heard) {
            row.heard = true;
            let event = RunnerEvent::LinkUp { link: link.0 };
            self.steps.push(RunnerStep::Log(event));
        }
        match message {
            PlannerMessage::Heartbeat(echo) => {
                if let Some(row) = self.links.get_mut(&link) {
                    row.answered(echo);
                    let message = RunnerMessage::HeartbeatAck(row.next_beat(now));
                    self.steps.push(RunnerStep::Send { link, message });
                }
            }
            PlannerMessage::StoreReplica(config) => self.keep(config),
            PlannerMessage::RequestReplica => {
                if let Some(config) = self.config.clone() {
                    let message = RunnerMessage::Replica(config);
                    self.steps.push(RunnerStep::Send { link, message });
                }
            }
            PlannerMessage::Start(start) => self.start(now, link, start),
            PlannerMessage::Stop(runs) => {
                for run in runs {
                    self.stop(now, run);
                }
            }
            PlannerMessage::CancelQueued(runs) => {
                for run in runs {
                    self.withdraw(now, run);
                }
            }
        }
    }

    /// Returns the version of the configuration of which it keeps a copy; zero for none.
    pub(super) fn kept(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.version)
    }

    /// Keeps a copy of the configuration if it is newer, and tells all planners of it.
    fn keep(&mut self, config: ConfigReplica) {
        if config.version <= self.kept() {
            return;
        }
        let version = config.version;
        self.config = Some(config);
        for (&link, _) in self.links.iter().filter(|(_, l)| l.greeted) {
            let message = RunnerMessage::ReplicaVersion(version);
            self.steps.push(RunnerStep::Send { link, message });
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
            WorkerCall::Start { run, .. } => self.start_answered(now, sent, *run, &outcome),
            WorkerCall::Stop { run, .. } => self.stop_answered(now, sent, *run, &outcome),
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
        let less = |free: Resources, run: &Run| free.saturating_sub(&run.demand);
        let taking = self.runs.values().filter(|r| r.state != RunState::Queued);
        taking.fold(all, less)
    }

    /// Returns what runs that wait for room will take.
    pub(super) fn queued(&self) -> Resources {
        let waiting = self.runs.values().filter(|r| r.state == RunState::Queued);
        waiting.fold(Resources::default(), |sum, run| {
            sum.saturating_add(&run.demand)
        })
    }

    /// Returns what runs that wait for room will take, by how long they can wait.
    pub(super) fn queue(&self, now: Time) -> Vec<QueuedRuns> {
        let mut rows: Vec<QueuedRuns> = Vec::new();
        for run in self.runs.values().filter(|r| r.state == RunState::Queued) {
            let left = now.duration_until(run.latest);
            let patience = patience_step(left);
            match rows.iter_mut().find(|row| row.queue_timeout == patience) {
                Some(row) => row.demand = row.demand.saturating_add(&run.demand),
                None => rows.push(QueuedRuns {
                    queue_timeout: patience,
                    demand: run.demand,
                }),
            }
        }
        rows.sort_unstable_by_key(|row| row.queue_timeout);
        rows
    }
}
