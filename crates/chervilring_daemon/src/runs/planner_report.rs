//! The metrics of a planner.

use chervilring_core::runs::planner::{JobAnswer, LossCause, PlannerEvent};
use chervilring_wire::RunEnd;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::metrics::Metrics;

/// The metrics of a planner.
pub(super) struct PlannerReport {
    pub(super) metrics: Metrics,
    pub(super) jobs: Gauge<u64>,
    pub(super) runners: Gauge<u64>,
    pub(super) version: Gauge<u64>,
    pub(super) failed_reads: Gauge<u64>,
    pub(super) evacuated: Gauge<u64>,
    pub(super) left_out: Gauge<u64>,
    /// Jobs taken from callers.
    pub(super) submitted: Counter<u64>,
    completed: Counter<u64>,
    failed: Counter<u64>,
    refused: Counter<u64>,
    given_up: Counter<u64>,
    abandoned: Counter<u64>,
    met: Counter<u64>,
    claimed: Counter<u64>,
    confirmed: Counter<u64>,
    lost: Counter<u64>,
    crashes: Counter<u64>,
    links: Counter<u64>,
    out: Counter<u64>,
    spans: Histogram<f64>,
    waits: Histogram<f64>,
}

impl PlannerReport {
    pub(super) fn new() -> eyre::Result<Self> {
        let metrics = Metrics::new()?;
        Ok(Self {
            jobs: metrics.gauge("jobs", "Jobs in hand"),
            runners: metrics.gauge("runners", "Runners whose link is up"),
            evacuated: metrics.gauge("domains_evacuated", "Failure domains that are evacuated"),
            left_out: metrics.gauge(
                "upstreams_evacuated",
                "Linked upstreams in failure domains that are evacuated",
            ),
            version: metrics.gauge("config_version", "Configuration in force"),
            failed_reads: metrics.gauge(
                "config_reads_failed",
                "Reads of the configuration that failed since the last one that did not",
            ),
            submitted: metrics.counter("jobs_submitted", "Jobs taken from callers"),
            completed: metrics.counter("jobs_completed", "Jobs that were done"),
            failed: metrics.counter("jobs_failed", "Jobs of which a task failed for good"),
            refused: metrics.counter("jobs_refused", "Jobs refused before anything ran"),
            given_up: metrics.counter("jobs_given_up", "Jobs given up after something had run"),
            abandoned: metrics.counter("jobs_abandoned", "Jobs whose callers left"),
            met: metrics.counter("jobs_in_time", "Jobs that were done within their objective"),
            claimed: metrics.counter("placements_claimed", "Placements whose room was claimed"),
            confirmed: metrics.counter("jobs_confirmed", "Jobs whose claims were confirmed"),
            lost: metrics.counter("runs_lost", "Runs that came to nothing"),
            crashes: metrics.counter("runs_crashed", "Runs under which their upstream crashed"),
            links: metrics.counter("links_lost", "Links to runners that were lost"),
            out: metrics.counter(
                "upstreams_out",
                "Upstreams left out because runs fail there",
            ),
            spans: metrics.durations("job_duration", "Time from a job's arrival to its answer"),
            waits: metrics.durations("job_wait", "Time from a job's arrival to its first start"),
            metrics,
        })
    }

    /// Counts an event.
    pub(super) fn count(&self, event: &PlannerEvent) {
        match event {
            PlannerEvent::RunLost { cause, .. } => {
                self.lost.add(1, &[]);
                let is_crash = *cause == LossCause::Ended(RunEnd::Lapsed);
                self.crashes.add(u64::from(is_crash), &[]);
            }
            PlannerEvent::Placed { claimed, .. } => self.claimed.add(u64::from(*claimed), &[]),
            PlannerEvent::Confirmed { .. } => self.confirmed.add(1, &[]),
            PlannerEvent::Abandoned { .. } => self.abandoned.add(1, &[]),
            PlannerEvent::LinkDown { .. } => self.links.add(1, &[]),
            PlannerEvent::UpstreamEjected { .. } => self.out.add(1, &[]),
            PlannerEvent::Answered {
                answer,
                duration,
                start_wait,
                objective_met,
                ..
            } => {
                let counter = match answer {
                    JobAnswer::Completed => &self.completed,
                    JobAnswer::Failed => &self.failed,
                    JobAnswer::Refused(_) => &self.refused,
                    JobAnswer::GaveUp => &self.given_up,
                };
                counter.add(1, &[]);
                self.met.add(u64::from(*objective_met), &[]);
                self.spans.record(duration.0 as f64 / 1e6, &[]);
                if let Some(wait) = start_wait {
                    self.waits.record(wait.0 as f64 / 1e6, &[]);
                }
            }
            _ => {}
        }
    }
}
