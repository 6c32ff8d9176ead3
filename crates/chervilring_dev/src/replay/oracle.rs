//! The oracle: a central greedy schedule that knows every true run time and pays no message.
//!
//! Each submission is laid out as it comes, its longest task first, each task on the slot where it
//! finishes earliest. The oracle knows which workers will fail and gives them nothing that would
//! not be done by then, and does nothing for callers that will cancel or be refused.

use chervilring_wire::Micros;

use super::trace::{Change, Outcome, Trace};

/// A slot of a worker.
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

/// Returns the response to each arrival in seconds; nothing where it is not answered in time.
pub(crate) fn schedule(trace: &Trace) -> Vec<Option<f64>> {
    let deployment = &trace.head.deployment;
    let outages = outages(trace);
    let mut slots = Vec::new();
    for (worker, row) in deployment.workers.iter().enumerate() {
        slots.extend((0..row.slots).map(|_| Slot { worker, free: 0.0 }));
    }
    let way = secs(deployment.round_trip()) / 2.0;
    let arrivals = trace.arrivals.iter().map(|arrival| {
        if matches!(arrival.outcome, Outcome::Refused | Outcome::Cancelled) {
            return None;
        }
        let at = secs(arrival.at);
        let mut runs = arrival.runs.clone();
        runs.sort_unstable_by_key(|&r| std::cmp::Reverse(r));
        let mut last = at + way;
        let mut taken = Vec::new();
        for run in runs {
            let (slot, finish) = earliest(trace, &outages, &slots, at + way, run)?;
            taken.push((slot, slots[slot].free));
            slots[slot].free = finish;
            last = last.max(finish);
        }
        let response = last + way - at;
        if response > secs(arrival.patience) {
            for (slot, free) in taken.into_iter().rev() {
                slots[slot].free = free;
            }
            return None;
        }
        Some(response)
    });
    arrivals.collect()
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
