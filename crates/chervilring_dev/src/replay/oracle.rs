//! The oracle: a central greedy schedule that knows every true run time and pays no message.
//!
//! Whenever a slot is free, the submissions that wait are gone through in the order of their
//! arrival plus a multiple of their ideal response, each one's longest task first; each task is
//! laid on the slot where it finishes earliest, counting on the true ends of what runs and what
//! was laid out before it, and starts if that slot is free. The oracle knows which workers will
//! fail and gives them nothing that would not be done by then, and does nothing for callers that
//! will cancel or be refused.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use chervilring_wire::Micros;

use super::measure::ideal;
use super::trace::{Change, Outcome, Trace};

/// How many times its ideal response a submission is put back behind its arrival.
const STRETCH: f64 = 4.0;

/// Waiting tasks that are laid out at once.
const LAID_OUT: usize = 150;

/// A point in time, in whole microseconds, so that it can be ordered.
type Instant = u64;

/// A slot of a worker.
#[derive(Clone)]
struct Slot {
    worker: usize,
    free: f64,
}

/// When a worker is of no use.
struct Outage {
    worker: usize,
    from: f64,
    to: f64,
}

/// A submission with tasks that wait, the longest first.
struct Waiting {
    arrival: usize,
    runs: Vec<u32>,
    next: usize,
}

/// The schedule as far as it has come.
struct Schedule<'a> {
    trace: &'a Trace,
    outages: Vec<Outage>,
    slots: Vec<Slot>,
    queue: BTreeMap<(Instant, usize), Waiting>,
    events: BinaryHeap<Reverse<Instant>>,
    /// When the last task so far of each arrival ends.
    ends: Vec<f64>,
}

/// Returns the response to each arrival in seconds; nothing where it is not answered in time.
pub(crate) fn schedule(trace: &Trace) -> Vec<Option<f64>> {
    let mut schedule = Schedule::new(trace);
    let way = secs(trace.head.deployment.round_trip()) / 2.0;
    let mut next = 0;
    loop {
        let arrival = trace.arrivals.get(next).map(|a| secs(a.at) + way);
        let event = schedule.events.peek().map(|e| e.0 as f64 / 1e6);
        let now = match (arrival, event) {
            (None, None) => break,
            (Some(a), Some(e)) if e < a => e,
            (Some(a), _) => a,
            (None, Some(e)) => e,
        };
        while schedule
            .events
            .peek()
            .is_some_and(|e| e.0 as f64 / 1e6 <= now)
        {
            schedule.events.pop();
        }
        while trace
            .arrivals
            .get(next)
            .is_some_and(|a| secs(a.at) + way <= now)
        {
            schedule.arrive(next);
            next += 1;
        }
        schedule.start(now);
    }
    let ends = schedule.ends.iter().zip(&trace.arrivals);
    let responses = ends.map(|(&end, arrival)| {
        let response = end + way - secs(arrival.at);
        (end > 0.0 && response <= secs(arrival.patience)).then_some(response)
    });
    responses.collect()
}

impl<'a> Schedule<'a> {
    fn new(trace: &'a Trace) -> Self {
        let mut slots = Vec::new();
        for (worker, row) in trace.head.deployment.workers.iter().enumerate() {
            slots.extend((0..row.slots).map(|_| Slot { worker, free: 0.0 }));
        }
        Self {
            outages: outages(trace),
            slots,
            queue: BTreeMap::new(),
            events: BinaryHeap::new(),
            ends: vec![0.0; trace.arrivals.len()],
            trace,
        }
    }

    fn arrive(&mut self, index: usize) {
        let arrival = &self.trace.arrivals[index];
        if matches!(arrival.outcome, Outcome::Refused | Outcome::Cancelled) {
            return;
        }
        let rank = secs(arrival.at) + STRETCH * ideal(&self.trace.head.deployment, arrival);
        let mut runs = arrival.runs.clone();
        runs.sort_unstable_by_key(|&r| Reverse(r));
        let waiting = Waiting {
            arrival: index,
            runs,
            next: 0,
        };
        self.queue.insert(((rank * 1e6) as Instant, index), waiting);
    }

    /// Lays out the tasks that wait and starts those whose slot is free.
    fn start(&mut self, now: f64) {
        let mut plan = self.slots.clone();
        let (mut laid, mut begun) = (0, Vec::new());
        'queue: for (key, waiting) in &mut self.queue {
            if now > secs(self.trace.arrivals[waiting.arrival].at) + 15.0 {
                begun.push(*key);
                continue;
            }
            for place in waiting.next..waiting.runs.len() {
                if laid >= LAID_OUT || plan.iter().all(|s| s.free > now) {
                    break 'queue;
                }
                laid += 1;
                let run = waiting.runs[place];
                let Some((slot, finish)) = earliest(self.trace, &self.outages, &plan, now, run)
                else {
                    break;
                };
                if plan[slot].free <= now {
                    // The longest task that waits goes first; swap it with the one that starts.
                    waiting.runs.swap(waiting.next, place);
                    waiting.next += 1;
                    self.slots[slot].free = finish;
                    let end = &mut self.ends[waiting.arrival];
                    *end = end.max(finish);
                    self.events.push(Reverse((finish * 1e6).ceil() as Instant));
                }
                plan[slot].free = finish;
            }
            if waiting.next == waiting.runs.len() {
                begun.push(*key);
            }
        }
        for key in begun {
            if let Some(waiting) = self.queue.remove(&key)
                && waiting.next < waiting.runs.len()
            {
                self.ends[waiting.arrival] = f64::INFINITY;
            }
        }
    }
}

/// Returns the slot that finishes a task earliest, and when.
fn earliest(
    trace: &Trace,
    outages: &[Outage],
    slots: &[Slot],
    at: f64,
    run: u32,
) -> Option<(usize, f64)> {
    let finishes = slots.iter().enumerate().filter_map(|(index, slot)| {
        let mut start = slot.free.max(at);
        for _ in 0..4 {
            let slowness = trace.head.deployment.workers[slot.worker].slowness;
            let factor = factor(trace, slot.worker, start);
            let finish = start + f64::from(run) / 1e6 * slowness * factor;
            let mut mine = outages.iter().filter(|o| o.worker == slot.worker);
            match mine.find(|o| start < o.to && finish > o.from) {
                None => return Some((index, finish)),
                Some(outage) => start = outage.to,
            }
        }
        None
    });
    let finishes = finishes.filter(|f| f.1.is_finite());
    finishes.min_by(|a, b| a.1.total_cmp(&b.1))
}

/// Returns what a worker's run times are multiplied by at a time.
fn factor(trace: &Trace, worker: usize, at: f64) -> f64 {
    let past = trace.faults.iter().filter(|f| secs(f.at) <= at);
    past.fold(1.0, |now, fault| match fault.change {
        Change::Slow { worker: w, factor } if w == worker => factor,
        Change::Heal { worker: w } if w == worker => 1.0,
        _ => now,
    })
}

/// Returns when workers are of no use.
fn outages(trace: &Trace) -> Vec<Outage> {
    let mut outages: Vec<Outage> = Vec::new();
    for fault in &trace.faults {
        let from = secs(fault.at);
        let mut begin = |worker, to| outages.push(Outage { worker, from, to });
        match fault.change {
            Change::Fail { worker } | Change::Mute { worker } | Change::Lose { worker } => {
                begin(worker, f64::INFINITY);
            }
            Change::Restart { worker, away } => begin(worker, from + secs(away)),
            Change::Heal { worker } | Change::Return { worker } => {
                let open = outages.iter_mut().filter(|o| o.worker == worker);
                if let Some(outage) = open.last() {
                    outage.to = outage.to.min(from);
                }
            }
            Change::Slow { .. } | Change::Store { .. } => {}
        }
    }
    outages
}

fn secs(span: Micros) -> f64 {
    span.0 as f64 / 1e6
}
