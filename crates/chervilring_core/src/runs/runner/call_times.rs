//! How long a runner waits for the answer to a start, learnt from the answers of its upstream.
//!
//! Answers the load of an upstream that leaves single starts unanswered and answers the others at
//! once: a job of several tasks that waits long for one of them is late as a whole. An upstream that
//! is slow must not be asked more often for it, so the wait grows with each repeat of a start.

use std::collections::VecDeque;

use chervilring_wire::Micros;

use super::call::{CallOutcome, CallRefusal, UpstreamCall};
use super::upstream::Upstream;

/// The number of answered calls that count.
const SAMPLES: usize = 64;

/// The number of answered calls below which the longest timeout is used.
const MIN_SAMPLES: usize = 8;

/// The share of the answered calls that took at most the learnt time.
const QUANTILE: f64 = 0.98;

/// The timeout as a multiple of the learnt time.
const MARGIN: u64 = 3;

/// The shortest timeout. Other programs on the host may delay an answer by some milliseconds, and a
/// call that timed out costs its connection.
const MIN_TIMEOUT: Micros = Micros::from_millis(8);

/// The longest timeout.
const MAX_TIMEOUT: Micros = Micros::from_millis(30);

/// The longest interval between two starts of one run. Not shorter than the longest timeout, so that
/// a run has one call at a time.
const MAX_INTERVAL: Micros = Micros::from_millis(120);

/// The number of doublings after which the interval has reached its maximum.
const MAX_DOUBLINGS: u32 = 4;

/// The times of the calls that one incarnation of an upstream answered.
#[derive(Debug, Default)]
pub(super) struct CallTimes {
    /// The latest ones, the oldest first.
    samples: VecDeque<Micros>,
}

impl CallTimes {
    /// Records the time of an answered call. The times of the others are not known.
    fn record(&mut self, elapsed: Micros) {
        if self.samples.len() == SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(elapsed);
    }

    /// Returns how long to wait for the answer to a start after `unanswered` earlier ones of the same
    /// run.
    pub(super) fn timeout(&self, unanswered: u32) -> Micros {
        self.interval(unanswered).min(MAX_TIMEOUT)
    }

    /// Returns the time from such a start to the next one, if it gets no answer.
    pub(super) fn interval(&self, unanswered: u32) -> Micros {
        let first = self.first_timeout();
        Micros(first.0 << unanswered.min(MAX_DOUBLINGS)).min(MAX_INTERVAL)
    }

    fn first_timeout(&self) -> Micros {
        if self.samples.len() < MIN_SAMPLES {
            return MAX_TIMEOUT;
        }
        let mut times: Vec<Micros> = self.samples.iter().copied().collect();
        let rank = (times.len() as f64 * QUANTILE).ceil() as usize;
        let (_, learnt, _) = times.select_nth_unstable(rank - 1);
        Micros(learnt.0.saturating_mul(MARGIN)).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}

impl Upstream {
    /// Records the time of a start or stop that was answered. Polls are answered late on purpose.
    pub(super) fn record_call_time(
        &mut self,
        elapsed: Micros,
        call: &UpstreamCall,
        outcome: &CallOutcome,
    ) {
        let is_order = !matches!(call, UpstreamCall::Poll { .. });
        let is_answered = match outcome {
            CallOutcome::Done { .. } => true,
            CallOutcome::Refused { reason, .. } => *reason != CallRefusal::OtherLife,
            CallOutcome::Listed(_) | CallOutcome::NoAnswer | CallOutcome::NotListening => false,
        };
        if is_order && is_answered {
            self.call_times.record(elapsed);
        }
    }
}
