//! Shares of an upstream's queue among planners.
//!
//! A runner's queue holds what its upstream runs at once, so that room under contention goes to what gets
//! into the queue. It answers planners of unequal demand: one with many runs would fill the queue, and the few
//! runs of another would find it full whenever they come. Within the class of urgency that has to make
//! way, the planner makes way that holds most of the queue for what it has asked for lately (weighted
//! longest queue drop). What stays in the queue starts in the order of work, so that no share puts
//! urgent work behind less urgent, and shares that nobody uses go to whoever asks.

use std::collections::{BTreeMap, BTreeSet};

use chervilring_wire::{Micros, Resources, RunKey, Time, Urgency};

use super::event::RunnerEvent;
use super::state::{Run, RunState, Runner, RunnerStep};
use crate::runs::order::WorkOrder;
use crate::runs::planner::LinkNo;

/// How fast demand that was announced is forgotten: to 1/e in this time.
const DEMAND_TIME: Micros = Micros::from_secs(1);

/// The part of an upstream below which announced demand is forgotten at once.
const LEAST_DEMAND: f64 = 0.001;

/// The least time between two reports that room is shared.
const REPORT_INTERVAL: Micros = Micros::from_secs(1);

/// A class of urgency, within which planners share room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShareClass {
    /// The priority of the route.
    pub priority: u32,
    /// Whether other tasks of the job have started.
    pub started: bool,
    /// Whether the job can still meet its objective.
    pub timely: bool,
}

impl From<&Urgency> for ShareClass {
    fn from(urgency: &Urgency) -> Self {
        Self {
            priority: urgency.priority,
            started: urgency.started,
            timely: urgency.timely,
        }
    }
}

/// A run that waits or asks to.
#[derive(Debug, Clone, Copy)]
pub struct QueuedRun {
    /// The run.
    pub run: RunKey,
    /// The link to its planner; `None` once that is lost.
    pub link: Option<LinkNo>,
    /// Its class.
    pub class: ShareClass,
    /// Its place in the order of work.
    pub order: WorkOrder,
    /// What it takes.
    pub demand: Resources,
}

/// What planners have asked for at an upstream, by class.
#[derive(Debug, Default)]
pub struct Shares {
    asked: BTreeMap<(ShareClass, Option<LinkNo>), Asked>,
    /// The runs that made way for those of other planners since the last report, and when the next
    /// report is due.
    yielded: u32,
    next_report: Time,
}

/// The demand that a planner has announced lately, as a part of the upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Asked {
    part: f64,
    at: Time,
}

impl Asked {
    fn value(&self, now: Time) -> f64 {
        let age = now.duration_since(self.at).0 as f64;
        self.part * (-age / DEMAND_TIME.0 as f64).exp()
    }
}

impl Shares {
    /// Records that a run asks for room at an upstream of this capacity.
    pub fn record(&mut self, now: Time, run: &QueuedRun, capacity: &Resources) {
        self.asked.retain(|_, a| a.value(now) >= LEAST_DEMAND);
        let row = self.asked.entry((run.class, run.link)).or_default();
        *row = Asked {
            part: row.value(now) + part_of(&run.demand, capacity),
            at: now,
        };
    }

    /// Returns the runs that make way so that the others fit into `capacity`, in the order in which they
    /// do.
    pub fn yielding(
        &self,
        now: Time,
        mut queue: Vec<QueuedRun>,
        capacity: &Resources,
    ) -> Vec<QueuedRun> {
        queue.sort_by_key(|q| q.order);
        let demand = |queue: &[QueuedRun]| {
            let rows = queue.iter().map(|q| q.demand);
            rows.fold(Resources::default(), |sum, d| sum.saturating_add(&d))
        };
        let mut yielding = Vec::new();
        while !capacity.can_fit(&demand(&queue)) {
            let Some(place) = self.next_to_yield(now, &queue, capacity) else {
                break;
            };
            yielding.push(queue.remove(place));
        }
        yielding
    }

    /// Returns the place of the run that makes way next in a queue in the order of work: the last one
    /// of the planner that would keep most for what it has asked for, in the class that is last.
    fn next_to_yield(&self, now: Time, queue: &[QueuedRun], capacity: &Resources) -> Option<usize> {
        let class = queue.last()?.class;
        let mut holdings: BTreeMap<Option<LinkNo>, Holding> = BTreeMap::new();
        for (place, run) in queue.iter().enumerate().filter(|(_, q)| q.class == class) {
            let part = part_of(&run.demand, capacity);
            let row = holdings.entry(run.link).or_default();
            (row.rest, row.last, row.place) = (row.rest + row.last, part, place);
        }
        let kept = |(link, holding): (&Option<LinkNo>, &Holding)| {
            let asked = self.asked.get(&(class, *link));
            // A planner whose last run makes way keeps nothing, so it does only among its likes.
            let asked = asked.map_or(0.0, |a| a.value(now)).max(LEAST_DEMAND);
            (holding.rest / asked, holding.place)
        };
        let rows = holdings.iter().map(kept);
        let most = rows.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        most.map(|(_, place)| place)
    }
}

/// The part of an upstream that a planner's queued runs of a class take.
#[derive(Debug, Clone, Copy, Default)]
struct Holding {
    /// That of all but the last.
    rest: f64,
    /// That of the last.
    last: f64,
    /// The place of the last.
    place: usize,
}

impl Runner {
    /// Returns whether a new run makes way for those that wait.
    pub(super) fn must_yield(&self, now: Time, run: QueuedRun) -> bool {
        let mut queue = self.queued_runs();
        queue.push(run);
        let yielding = self.shares.yielding(now, queue, &self.capacity());
        yielding.iter().any(|q| q.run == run.run)
    }

    /// Returns the runs that make way while the queue exceeds the upstream's capacity.
    pub(super) fn yielding_runs(&mut self, now: Time) -> Vec<RunKey> {
        let queue = self.queued_runs();
        let capacity = self.capacity();
        let yielding = self.shares.yielding(now, queue.clone(), &capacity);
        if let Some(first) = yielding.first() {
            self.report_share(now, first.class, &queue, yielding.len() as u32);
        }
        yielding.into_iter().map(|q| q.run).collect()
    }

    /// Records that runs ask for room.
    pub(super) fn record_demand(&mut self, now: Time, run: &QueuedRun) {
        let capacity = self.capacity();
        self.shares.record(now, run, &capacity);
    }

    /// Logs now and then that the queue is full of runs of several planners.
    fn report_share(&mut self, now: Time, class: ShareClass, queue: &[QueuedRun], runs: u32) {
        let of_class = queue.iter().filter(|q| q.class == class);
        let planners: BTreeSet<Option<LinkNo>> = of_class.map(|q| q.link).collect();
        if planners.len() < 2 {
            return;
        }
        self.shares.yielded += runs;
        if now < self.shares.next_report {
            return;
        }
        self.shares.next_report = now + REPORT_INTERVAL;
        let event = RunnerEvent::RoomShared {
            priority: class.priority,
            planners: planners.len(),
            runs: std::mem::take(&mut self.shares.yielded),
        };
        self.steps.push(RunnerStep::Log(event));
    }

    fn queued_runs(&self) -> Vec<QueuedRun> {
        let queued = self
            .runs
            .iter()
            .filter(|(_, r)| r.state == RunState::Queued);
        let row = |(&run, r): (&RunKey, &Run)| QueuedRun {
            run,
            link: r.link,
            class: r.class,
            order: r.order,
            demand: r.demand,
        };
        queued.map(row).collect()
    }

    fn capacity(&self) -> Resources {
        let report = self.upstream.as_ref().map(|u| &u.report);
        report.map_or(Resources::default(), |r| r.capacity)
    }
}

/// Returns the part of an upstream that an amount takes, by the kind of resource of which it takes most.
fn part_of(amount: &Resources, all: &Resources) -> f64 {
    let part = |amount: u64, all: u64| amount as f64 / all.max(1) as f64;
    let cpu = part(amount.cpu, all.cpu);
    let memory = part(amount.memory, all.memory);
    cpu.max(memory).max(part(amount.gpu, all.gpu))
}
