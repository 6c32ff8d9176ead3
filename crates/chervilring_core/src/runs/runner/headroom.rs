//! Room that is kept free for the most urgent work while room is short.
//!
//! It answers bursts of less urgent work that take all of an upstream. Urgent tasks that are short
//! would wait for the next of many long ones to end, and a job with several of them is as late as the
//! one that waits longest. The room that is kept free follows the urgent work that has arrived lately;
//! without any, all room is for whoever comes first.

use std::collections::BTreeMap;

use chervilring_wire::{Micros, Resources, Time};

/// The time over which arrived work is forgotten.
const MEMORY: Micros = Micros::from_secs(1);

/// The least load, in tasks that run at a time, for which room is kept.
const MIN_LOAD: f64 = 0.25;

/// The largest share of an upstream that is kept free.
const MAX_SHARE: f64 = 0.25;

/// The work of one priority that has arrived lately.
#[derive(Debug, Clone, Copy)]
struct Arrivals {
    /// The run time of all tasks, in microseconds; older tasks count less.
    work: f64,
    /// The number of tasks, counted alike.
    tasks: f64,
    /// The processor time that they take at once, counted alike.
    cpu: f64,
    /// When the figures were last brought up to date.
    updated: Time,
}

impl Arrivals {
    fn new(now: Time) -> Self {
        Self {
            work: 0.0,
            tasks: 0.0,
            cpu: 0.0,
            updated: now,
        }
    }

    fn decay(&mut self, now: Time) {
        let elapsed = self.updated.duration_until(now).0 as f64;
        let share = (-elapsed / MEMORY.0 as f64).exp();
        self.work *= share;
        self.tasks *= share;
        self.cpu *= share;
        self.updated = now;
    }

    /// Returns how many of the tasks run at a time.
    fn load(&self) -> f64 {
        self.work / MEMORY.0 as f64
    }
}

/// The room that an upstream keeps free for its most urgent work.
#[derive(Debug, Clone, Default)]
pub struct Headroom {
    arrivals: BTreeMap<u32, Arrivals>,
}

/// Room that is kept free from work that is less urgent than a priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reserve {
    /// The priority for which it is kept.
    pub priority: u32,
    /// The processor time, in thousandths of a core.
    pub cpu: u64,
    /// The processor time of the whole upstream.
    pub capacity: u64,
}

impl Reserve {
    /// Returns the processor time that a task of this priority has to leave free. A task that takes
    /// nearly all of an upstream can start once nothing else runs there.
    pub fn kept_from(&self, priority: u32, demand: &Resources) -> u64 {
        if priority <= self.priority {
            return 0;
        }
        self.cpu.min(self.capacity.saturating_sub(demand.cpu))
    }
}

impl Headroom {
    /// Records the arrival of tasks with this run time that each take `demand`.
    pub fn record(
        &mut self,
        now: Time,
        priority: u32,
        tasks: usize,
        run_time: Micros,
        demand: &Resources,
    ) {
        let row = self.arrivals.entry(priority);
        let row = row.or_insert_with(|| Arrivals::new(now));
        row.decay(now);
        row.work += tasks as f64 * run_time.0 as f64;
        row.tasks += tasks as f64;
        row.cpu += tasks as f64 * demand.cpu as f64;
    }

    /// Returns the room that is kept free at an upstream with this capacity, if any.
    ///
    /// The number of tasks that find room at once varies by the square root of the mean.
    pub fn reserve(&mut self, now: Time, capacity: &Resources) -> Option<Reserve> {
        for row in self.arrivals.values_mut() {
            row.decay(now);
        }
        self.arrivals.retain(|_, row| row.load() >= MIN_LOAD / 16.0);
        let mut urgent = self.arrivals.iter();
        let (&priority, row) = urgent.find(|(_, row)| row.load() >= MIN_LOAD)?;
        let tasks = row.load().sqrt().floor().max(1.0);
        let cpu = tasks * row.cpu / row.tasks;
        let most = capacity.cpu as f64 * MAX_SHARE;
        Some(Reserve {
            priority,
            cpu: cpu.min(most) as u64,
            capacity: capacity.cpu,
        })
    }
}
