//! What came of a replay, in figures. `docs/MEASURES.md` defines them.

use chervilring_core::dispatch::DispatchCounters;
use chervilring_wire::{Failure, Kind, Micros, Verdict};
use serde::Serialize;

use super::deployment::Deployment;
use super::oracle;
use super::trace::{Arrival, Outcome, Span, Trace};

/// How a submission ended.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Ending {
    /// With the complete answer.
    Complete,
    /// It was not accepted.
    Refused(Failure),
    /// It failed after it was accepted.
    Failed(Failure),
}

/// What became of a submission.
#[derive(Debug, Clone, Default)]
pub(crate) struct Fate {
    /// How often it was accepted.
    pub(crate) accepted: u32,
    /// How often it ended.
    pub(crate) endings: u32,
    /// How it ended.
    pub(crate) ending: Option<Ending>,
    /// When the caller had the answer, in the time of the trace.
    pub(crate) at: Micros,
    /// One way between the caller and the home.
    pub(crate) way: Micros,
    /// Whether an upstream was given any of its tasks.
    pub(crate) started: bool,
}

impl Fate {
    /// Adds to `faults` what must not have happened.
    pub(crate) fn check(&self, arrival: &Arrival, index: usize, faults: &mut Vec<String>) {
        let mut fault = |text: &str| faults.push(format!("submission {index} {text}"));
        if self.endings != 1 {
            fault(&format!("ended {} times", self.endings));
        }
        let verdict = match &self.ending {
            Some(Ending::Refused(failure) | Ending::Failed(failure)) => Some(failure.verdict),
            _ => None,
        };
        if verdict == Some(Verdict::NotRun) && self.started {
            fault("was said not to have run, but had started");
        }
        let refused = matches!(self.ending, Some(Ending::Refused(_)));
        let complete = self.ending == Some(Ending::Complete);
        match arrival.outcome {
            Outcome::Refused if !refused => fault("was not refused at once"),
            Outcome::Complete if !complete => fault("was not answered in full"),
            _ => {}
        }
    }
}

/// Messages of a replay.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tally {
    /// Frames with starts.
    pub(crate) frames: u64,
    /// Frames with answers.
    pub(crate) answers: u64,
    /// Frames with cancellations.
    pub(crate) cancels: u64,
    /// Frames that confirm answers.
    pub(crate) confirms: u64,
    /// Other frames from agents.
    pub(crate) loads: u64,
    /// Announcements.
    pub(crate) announces: u64,
    /// Submissions passed on to their home.
    pub(crate) forwards: u64,
    /// Submissions that were refused.
    pub(crate) turned_away: u64,
    /// What must not have happened.
    pub(crate) violations: Vec<String>,
}

/// A trace that was played.
#[derive(Debug, Clone)]
pub struct Played {
    pub(crate) counters: Vec<DispatchCounters>,
    pub(crate) fates: Vec<Fate>,
    pub(crate) tally: Tally,
}

/// Percentiles of response over ideal.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Ratios {
    /// The median.
    pub median: f64,
    /// The 99th percentile.
    pub tail: f64,
    /// The largest.
    pub worst: f64,
}

/// The figures of one phase.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Phase {
    /// The name.
    pub name: String,
    /// Submissions that arrived.
    pub arrived: usize,
    /// Submissions answered in full.
    pub completed: usize,
    /// Response over ideal.
    pub reached: Ratios,
    /// Response over ideal of the oracle.
    pub oracle: Ratios,
    /// Work answered in full over the capacity.
    pub goodput: f64,
}

/// Wasted messages for each 1,000 tasks answered, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Wasted {
    /// Starts that agents refused, and their answers.
    pub refused: f64,
    /// Second attempts after one that failed.
    pub retried: f64,
    /// Second attempts beside one that was running.
    pub hedged: f64,
    /// Cancellations and the answers to what was cancelled.
    pub cancelled: f64,
    /// Submissions refused, and their answers.
    pub turned: f64,
}

impl Wasted {
    /// Returns all kinds together.
    pub fn total(&self) -> f64 {
        self.refused + self.retried + self.hedged + self.cancelled + self.turned
    }
}

/// The figures of a replay.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// The trace.
    pub trace: String,
    /// The policy.
    pub policy: String,
    /// Tasks of the trace.
    pub tasks: usize,
    /// The phases in order.
    pub phases: Vec<Phase>,
    /// Wasted messages.
    pub wasted: Wasted,
    /// Messages of control for each worker and second.
    pub control: f64,
    /// Submissions refused or failed, by reason.
    pub failures: Vec<(String, usize)>,
    /// Upstreams ejected.
    pub ejected: u64,
    /// What must not have happened.
    pub violations: Vec<String>,
}

impl Played {
    /// Returns what must not have happened.
    pub fn violations(&self) -> &[String] {
        &self.tally.violations
    }

    /// Works out the figures.
    pub fn summary(&self, trace: &Trace, policy: &str) -> Summary {
        let oracle = oracle::schedule(trace);
        let phases = trace
            .head
            .phases
            .iter()
            .map(|p| self.phase(trace, &oracle, p));
        Summary {
            trace: trace.head.name.to_string(),
            policy: policy.to_string(),
            tasks: trace.tasks(),
            phases: phases.collect(),
            wasted: self.wasted(trace),
            control: self.control(trace),
            failures: self.failures(),
            ejected: self.counters.iter().map(|c| c.ejected).sum(),
            violations: self.tally.violations.clone(),
        }
    }

    fn phase(&self, trace: &Trace, oracle: &[Option<f64>], span: &Span) -> Phase {
        let deployment = &trace.head.deployment;
        let (mut reached, mut best) = (Vec::new(), Vec::new());
        let (mut arrived, mut work) = (0, 0.0);
        for (index, arrival) in trace.arrivals.iter().enumerate() {
            let fate = &self.fates[index];
            let complete = fate.ending == Some(Ending::Complete);
            if complete && fate.at >= span.from && fate.at < span.to {
                work += arrival
                    .runs
                    .iter()
                    .map(|&r| f64::from(r) / 1e6)
                    .sum::<f64>();
            }
            if arrival.at < span.from || arrival.at >= span.to {
                continue;
            }
            arrived += 1;
            let ideal = ideal(deployment, arrival);
            if complete {
                let response = fate.at.0.saturating_sub(arrival.at.0) as f64 / 1e6;
                reached.push(response / ideal);
            }
            best.extend(oracle[index].map(|response| response / ideal));
        }
        let seconds = (span.to.0 - span.from.0) as f64 / 1e6;
        Phase {
            name: span.name.to_string(),
            arrived,
            completed: reached.len(),
            reached: ratios(&mut reached),
            oracle: ratios(&mut best),
            goodput: work / seconds / deployment.capacity(),
        }
    }

    fn wasted(&self, trace: &Trace) -> Wasted {
        let sum = |count: fn(&DispatchCounters) -> u64| {
            self.counters.iter().map(count).sum::<u64>() as f64
        };
        let complete = |f: &Fate| f.ending == Some(Ending::Complete);
        let answered = self.fates.iter().zip(&trace.arrivals);
        let answered = answered.filter(|(f, _)| complete(f));
        let tasks: usize = answered.map(|(_, a)| a.runs.len()).sum();
        let each = 1_000.0 / tasks.max(1) as f64;
        Wasted {
            refused: 2.0 * sum(|c| c.refused_attempts) * each,
            retried: 2.0 * sum(|c| c.retried) * each,
            hedged: 2.0 * sum(|c| c.hedged) * each,
            cancelled: (self.tally.cancels as f64 + sum(|c| c.late_answers)) * each,
            turned: 2.0 * self.tally.turned_away as f64 * each,
        }
    }

    fn control(&self, trace: &Trace) -> f64 {
        let tally = &self.tally;
        let messages = tally.announces + tally.loads + tally.confirms;
        let last = trace.arrivals.last().map_or(1, |a| a.at.0.max(1));
        let workers = trace.head.deployment.workers.len();
        messages as f64 / workers as f64 / (last as f64 / 1e6)
    }

    fn failures(&self) -> Vec<(String, usize)> {
        let mut counts = std::collections::BTreeMap::new();
        for fate in &self.fates {
            let (how, failure) = match &fate.ending {
                Some(Ending::Refused(failure)) => ("refused", failure),
                Some(Ending::Failed(failure)) => ("failed", failure),
                _ => continue,
            };
            let name = format!("{how} {:?} {}", failure.reason, failure.verdict);
            *counts.entry(name).or_default() += 1;
        }
        counts.into_iter().collect()
    }
}

/// Returns the response that an empty system could give at best, in seconds.
pub(crate) fn ideal(deployment: &Deployment, arrival: &Arrival) -> f64 {
    let runs = arrival.runs.iter().map(|&r| f64::from(r) / 1e6);
    let longest = runs.clone().fold(0.0, f64::max) * deployment.fastest();
    let all = match arrival.kind {
        Kind::Request => 0.0,
        Kind::Job => runs.sum::<f64>() / deployment.capacity(),
    };
    deployment.round_trip().0 as f64 / 1e6 + longest.max(all)
}

/// Returns the percentiles of some ratios.
fn ratios(values: &mut [f64]) -> Ratios {
    values.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let index = (share * values.len() as f64) as usize;
        values
            .get(index.min(values.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0.0)
    };
    Ratios {
        median: at(0.5),
        tail: at(0.99),
        worst: at(1.0),
    }
}
