//! When callers of refused jobs are to come back.
//!
//! It answers bursts whose refused callers, all sent back by the same time, would come again as one
//! burst: they are told to come when what is ahead of them is done, over a span in which their own
//! work can be.

use chervilring_wire::{Micros, Time};

use super::job::Job;
use super::state::{JobAnswer, Planner};
use super::upstream::Upstream;

/// The longest time that a caller is sent away for.
const MAX_RETRY_AFTER: Micros = Micros::from_secs(30);

/// How fast refused work is forgotten: to 1/e in this time.
const REFUSED_TIME: Micros = Micros::from_secs(2);

/// Callers are told whole seconds.
const SECOND: f64 = 1_000_000.0;

/// What is ahead of a caller that comes back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Drain {
    /// How long the work that waits keeps all upstreams busy.
    pub ahead: Micros,
    /// How long the work of the callers that were refused lately would.
    pub returning: Micros,
}

/// Returns the delay after which a refused caller is to retry, in whole seconds; `random` lies from zero to
/// one and differs between callers. It is never less than `least`.
pub fn retry_after(least: Micros, drain: &Drain, random: f64) -> Micros {
    let span = drain.ahead.0.saturating_add(drain.returning.0);
    let span = span.min(MAX_RETRY_AFTER.0 / 2) as f64;
    // Room for the span stays below the longest delay, so that long delays are spread as well.
    let first = least.0.max(drain.ahead.0.min(MAX_RETRY_AFTER.0 / 2)) as f64;
    // Another digit of the random number decides between the whole seconds around the delay, so that
    // delays shorter than one are spread as well.
    let delay = first + span * random;
    let dither = (random * 1_009.0).fract();
    let seconds = (delay / SECOND + dither).floor();
    let rounded = Micros((seconds * SECOND) as u64);
    rounded.clamp(least, MAX_RETRY_AFTER.max(least))
}

/// The work of jobs that were refused lately.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RefusedWork {
    micros: f64,
    at: Time,
}

impl RefusedWork {
    fn value(&self, now: Time) -> f64 {
        let age = now.duration_since(self.at).0 as f64;
        self.micros * (-age / REFUSED_TIME.0 as f64).exp()
    }

    fn add(&mut self, now: Time, work: Micros) {
        self.micros = self.value(now) + work.0 as f64;
        self.at = now;
    }
}

impl Planner {
    /// Returns when the callers of a job with this answer are to retry.
    pub(super) fn retry_after(&mut self, now: Time, seq: u64, answer: JobAnswer) -> Micros {
        let least = self.settings.retry_after;
        let Some(job) = self.jobs.get(&seq) else {
            return least;
        };
        if !matches!(answer, JobAnswer::Refused(_)) {
            return least;
        }
        let drain = Drain {
            ahead: self.work_ahead(seq, job),
            returning: Micros(self.refused_work.value(now) as u64),
        };
        self.refused_work.add(now, job.work);
        retry_after(least, &drain, self.retry_random.f64())
    }

    /// Returns how long the other work that waits at runners and here keeps the upstreams of a job's
    /// service busy.
    fn work_ahead(&self, seq: u64, job: &Job) -> Micros {
        let service = &job.submission.route.service;
        let accepting = self.links.values().filter(|u| u.accepts(service.as_str()));
        let drains: Vec<u64> = accepting.map(drain_time).collect();
        let at_runners = drains.iter().sum::<u64>() / drains.len().max(1) as u64;
        let is_ahead = |(other, j): &(&u64, &Job)| {
            let is_same = j.submission.route.service == *service;
            **other != seq && is_same && !j.may_have_started()
        };
        let here = self.jobs.iter().filter(is_ahead).map(|(_, j)| j.work.0);
        Micros(here.fold(at_runners, u64::saturating_add))
    }
}

/// Returns how long an upstream needs for the runs queued there, in microseconds.
fn drain_time(upstream: &Upstream) -> u64 {
    let Some((state, _)) = &upstream.state else {
        return 0;
    };
    let queued: f64 = state.queued.iter().map(|q| q.demand.cpu as f64).sum();
    let share = queued / state.capacity.cpu.max(1) as f64;
    (share * state.run_time.0 as f64) as u64
}
