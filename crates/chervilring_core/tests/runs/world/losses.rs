//! Runs that failed or were lost with their upstream: what the answer `Failed` must rest on, and after how many
//! of them a task is not started again.

use std::collections::{BTreeMap, BTreeSet};

use chervilring_core::runs::planner::JobAnswer;
use chervilring_core::runs::{PAUSE_LIMIT, Planner};
use chervilring_wire::{JobId, Micros, PlannerMessage, RunEnd, RunKey, RunnerMessage, Time};

use super::{World, route};
use crate::upstream::{TaskId, Upstream, task_of};

/// The number of upstreams that may crash under started runs of a task before it is not started again.
const MAX_CRASHES: u32 = 2;

/// The number of upstreams that may crash while they have a run of a task, started or not, before it is not
/// started again.
const MAX_SUSPECTED_CRASHES: u32 = 3;

/// How long a planner remembers crashes under a job that has ended.
const CRASH_MEMORY: Micros = Micros::from_secs(30);

/// Runs that upstreams saw fail or lost, and what planners were told of them.
#[derive(Debug, Default)]
pub(super) struct Losses {
    /// How often a run has failed at the upstreams of a runner, over all incarnations.
    failed: BTreeMap<(usize, RunKey), u32>,
    /// The runs under which an upstream of a runner crashed.
    crashed: BTreeSet<(usize, RunKey)>,
    /// When an upstream of a runner last crashed.
    last_crash: BTreeMap<usize, Time>,
    /// What planners know of tasks, by the index and the incarnation of the planner.
    known: BTreeMap<(usize, u64, TaskId), Known>,
    /// What the planner of the latest order of a run knew when it sent it, by the runner.
    orders: BTreeMap<(usize, RunKey), (usize, Counts)>,
}

/// What a planner knows of a task.
#[derive(Debug, Default)]
struct Known {
    /// The runs that it has ordered and whose end it does not know.
    open: BTreeMap<RunKey, Order>,
    counts: Counts,
    /// When it last sent or was told something of the task.
    latest: Time,
}

/// A run that a planner has ordered.
#[derive(Debug, Clone, Copy)]
struct Order {
    link: u64,
    runner: usize,
    sent: Time,
    has_started: bool,
}

/// Counts of lost runs.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    /// Those that failed in the latest submission.
    failures: u32,
    /// Those that had started and were lost with their upstream.
    crashes: u32,
    /// Those that were lost with their upstream, started or not.
    suspected: u32,
}

impl Counts {
    fn forbid_start(self) -> bool {
        self.crashes >= MAX_CRASHES
            || self.suspected >= MAX_SUSPECTED_CRASHES
            || self.failures >= route().max_attempts
    }
}

impl Losses {
    /// Returns how often a task of a job has failed, for the one that has most often.
    fn failures(&self, job: u64) -> u32 {
        let mut tasks: BTreeMap<TaskId, u32> = BTreeMap::new();
        for ((_, run), count) in self.failed.iter().filter(|((_, r), _)| r.job.0 == job) {
            *tasks.entry(task_of(run)).or_default() += count;
        }
        tasks.into_values().max().unwrap_or(0)
    }

    /// Records the runs that an upstream of a runner has seen fail since the last call.
    pub(super) fn record_failures(&mut self, runner: usize, upstream: &mut Upstream) {
        for run in upstream.failed.drain(..) {
            *self.failed.entry((runner, run)).or_default() += 1;
        }
    }

    /// Records that an upstream of a runner ends with all its runs.
    pub(super) fn record_crash(&mut self, now: Time, runner: usize, upstream: &Upstream) {
        let runs = upstream.active.keys().map(|&run| (runner, run));
        self.crashed.extend(runs);
        self.last_crash.insert(runner, now);
    }

    /// Records that a planner has lost a link: it is told nothing more over it.
    pub(super) fn close_link(&mut self, link: u64) {
        for known in self.known.values_mut() {
            known.open.retain(|_, order| order.link != link);
        }
    }
}

impl World {
    fn known(&mut self, planner: usize, task: TaskId) -> &mut Known {
        let incarnation = self.planners[planner].incarnation;
        let known = self.losses.known.entry((planner, incarnation, task));
        known.or_default()
    }

    /// Returns whether a planner has a job and has not slept for so long that it gives it up.
    fn has_job(&self, planner: usize, job: JobId) -> bool {
        let row = &self.planners[planner];
        let is_awake = row.last_wake.duration_until(self.now) <= PAUSE_LIMIT;
        let contains = |core: &Planner| core.contains(job);
        is_awake && row.core.as_ref().is_some_and(contains)
    }

    /// Records a submission: a planner that does not have the job counts its failures anew.
    pub(super) fn record_submission(&mut self, planner: usize, job: u64, tasks: u32) {
        if self.has_job(planner, JobId(job)) {
            return;
        }
        let now = self.now;
        for index in 0..tasks {
            let known = self.known(planner, (job, 0, index));
            known.open.clear();
            known.counts.failures = 0;
            if known.latest.duration_until(now) >= CRASH_MEMORY {
                known.counts = Counts::default();
            }
        }
    }

    /// Records the runs that a planner orders.
    pub(super) fn record_orders(&mut self, planner: usize, link: u64, message: &PlannerMessage) {
        let start = match message {
            PlannerMessage::Start(start) => start,
            PlannerMessage::StartOrdered(ordered) => &ordered.start,
            PlannerMessage::Claim(claim) => &claim.start.start,
            _ => return,
        };
        let Some(runner) = self.links.get(&link).map(|l| l.runner) else {
            return;
        };
        let sent = self.now;
        for &run in &start.runs {
            let known = self.known(planner, task_of(&run));
            let order = Order {
                link,
                runner,
                sent,
                has_started: false,
            };
            known.open.insert(run, order);
            known.latest = sent;
            let counts = known.counts;
            let orders = &mut self.losses.orders;
            orders.insert((runner, run), (planner, counts));
        }
    }

    /// Records what a planner is told of a run that it has ordered over the same link and has not lost since.
    ///
    /// A failure or a crash counts if the upstreams saw it, and the runner says so. A planner cannot know of
    /// others: a runner may have been killed, and tells of a crash after silence as of a lease that ran out.
    pub(super) fn record_told(&mut self, planner: usize, link: u64, message: &RunnerMessage) {
        let (run, end) = match message {
            RunnerMessage::Started(run) => (*run, None),
            RunnerMessage::Refused { run, .. } => (*run, Some(RunEnd::Stopped)),
            RunnerMessage::Ended { run, end } => (*run, Some(*end)),
            _ => return,
        };
        if !self.has_job(planner, run.job) {
            return;
        }
        let now = self.now;
        let known = self.known(planner, task_of(&run));
        let Some(order) = known.open.get_mut(&run).filter(|o| o.link == link) else {
            return;
        };
        known.latest = now;
        order.has_started |= end.is_none();
        let order = *order;
        let Some(end) = end else {
            return;
        };
        known.open.remove(&run);
        let place = (order.runner, run);
        let has_failed = end == RunEnd::Failed && self.losses.failed.contains_key(&place);
        let last_crash = self.losses.last_crash.get(&order.runner);
        let is_suspected = end == RunEnd::Lapsed && last_crash.is_some_and(|at| *at >= order.sent);
        let has_crashed = is_suspected && order.has_started && self.losses.crashed.contains(&place);
        let counts = &mut self.known(planner, task_of(&run)).counts;
        counts.failures += u32::from(has_failed);
        counts.crashes += u32::from(has_crashed);
        counts.suspected += u32::from(is_suspected);
    }

    /// Checks a start: its planner did not know of too many lost runs of the task when it ordered it.
    ///
    /// Planners keep their counts to themselves, and lose them when they are killed, so that this bounds the
    /// starts at the hands of one planner from its start on. Failures are bounded within a submission.
    pub(super) fn check_losses(&mut self, r: usize, run: RunKey) {
        let order = self.losses.orders.get(&(r, run));
        if let Some((planner, counts)) = order.filter(|(_, c)| c.forbid_start()) {
            let now = self.now;
            self.violations.push(format!(
                "{now:?}: {run} starts on {r}, though planner {planner} was told of {counts:?}"
            ));
        }
    }

    /// Checks an answer: a task of a job that is called failed has failed as often as its route allows, as
    /// upstreams saw it.
    pub(super) fn check_failed(&mut self, job: u64, answer: JobAnswer) {
        let (now, failures) = (self.now, self.losses.failures(job));
        let max_attempts = route().max_attempts;
        if answer == JobAnswer::Failed && failures < max_attempts {
            self.violations.push(format!(
                "{now:?}: job {job} is called failed, though no task of it failed {max_attempts} times (at most {failures})"
            ));
        }
    }
}
