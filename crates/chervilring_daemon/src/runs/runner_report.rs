//! The metrics of a runner.

use chervilring_core::runs::runner::{ClaimEnd, RunnerEvent};
use chervilring_wire::{RefuseReason, RunEnd};
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::metrics::Metrics;

/// The metrics of a runner.
pub(super) struct RunnerReport {
    pub(super) metrics: Metrics,
    pub(super) runs: Gauge<u64>,
    pub(super) planners: Gauge<u64>,
    pub(super) evacuated: Gauge<u64>,
    taken: Counter<u64>,
    refused: Counter<u64>,
    handed_back: Counter<u64>,
    claimed: Counter<u64>,
    confirmed: Counter<u64>,
    given_back: Counter<u64>,
    run_out: Counter<u64>,
    taken_over: Counter<u64>,
    done: Counter<u64>,
    failed: Counter<u64>,
    stopped: Counter<u64>,
    lapsed: Counter<u64>,
    unanswered: Counter<u64>,
    lost: Counter<u64>,
    spans: Histogram<f64>,
}

impl RunnerReport {
    pub(super) fn new() -> eyre::Result<Self> {
        let metrics = Metrics::new()?;
        Ok(Self {
            runs: metrics.gauge("runs", "Runs in hand"),
            planners: metrics.gauge("planners", "Planners whose link is up"),
            evacuated: metrics.gauge("domains_evacuated", "Failure domains that are evacuated"),
            taken: metrics.counter("runs_taken", "Runs taken on"),
            refused: metrics.counter("runs_refused", "Runs refused or not started"),
            handed_back: metrics.counter(
                "runs_handed_back",
                "Runs not started because their failure domain is evacuated",
            ),
            claimed: metrics.counter("claims_held", "Claims for which room was held"),
            confirmed: metrics.counter("claims_confirmed", "Claims that were confirmed"),
            given_back: metrics.counter(
                "claims_given_back",
                "Claims given back by their planner, or lost with the link to it",
            ),
            run_out: metrics.counter("claims_run_out", "Claims not confirmed by their deadline"),
            taken_over: metrics.counter(
                "claims_taken_over",
                "Claims whose room a claim took that ranks before them",
            ),
            done: metrics.counter("runs_done", "Runs that were done"),
            failed: metrics.counter("runs_failed", "Runs that failed"),
            stopped: metrics.counter("runs_stopped", "Runs that were stopped"),
            lapsed: metrics.counter("runs_lapsed", "Runs whose lease lapsed"),
            unanswered: metrics.counter("calls_unanswered", "Calls of the upstream without answer"),
            lost: metrics.counter("links_lost", "Links to planners that were lost"),
            spans: metrics.durations("run_duration", "Time from taking on a run to its end"),
            metrics,
        })
    }

    /// Counts an event.
    pub(super) fn count(&self, event: &RunnerEvent) {
        match event {
            RunnerEvent::Accepted { runs, .. } => self.taken.add(u64::from(*runs), &[]),
            RunnerEvent::Refused { reason, .. } => {
                self.refused.add(1, &[]);
                let is_evacuated = *reason == RefuseReason::Evacuated;
                self.handed_back.add(u64::from(is_evacuated), &[]);
            }
            RunnerEvent::Claimed { runs, .. } => self.claimed.add(u64::from(*runs), &[]),
            RunnerEvent::ClaimConfirmed { .. } => self.confirmed.add(1, &[]),
            RunnerEvent::ClaimEnded { end, .. } => {
                let counter = match end {
                    ClaimEnd::GivenBack => &self.given_back,
                    ClaimEnd::RunOut => &self.run_out,
                    ClaimEnd::TakenOver(_) => &self.taken_over,
                };
                counter.add(1, &[]);
            }
            RunnerEvent::NotStarted { .. } => self.refused.add(1, &[]),
            RunnerEvent::NoAnswer { .. } => self.unanswered.add(1, &[]),
            RunnerEvent::LinkLost { .. } => self.lost.add(1, &[]),
            RunnerEvent::Ended { end, elapsed, .. } => {
                self.spans.record(elapsed.0 as f64 / 1e6, &[]);
                let counter = match end {
                    RunEnd::Done => &self.done,
                    RunEnd::Failed => &self.failed,
                    RunEnd::Stopped => &self.stopped,
                    RunEnd::Lapsed => &self.lapsed,
                };
                counter.add(1, &[]);
            }
            _ => {}
        }
    }
}
