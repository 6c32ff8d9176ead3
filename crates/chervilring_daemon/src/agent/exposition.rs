//! The agent's metrics.

use std::sync::{Mutex, PoisonError};

use chervilring_core::agent::{AgentCounters, AgentStatus};
use opentelemetry::metrics::Gauge;

use crate::metrics::{Metrics, Total};

/// A counter of the core: its name, what it counts and where it stands.
type Source = (&'static str, &'static str, fn(&AgentCounters) -> u64);

/// A gauge: its name, what it shows and where it stands.
type Level = (&'static str, &'static str, fn(&AgentStatus) -> u64);

const SOURCES: [Source; 15] = [
    ("agent_asked", "Starts asked for by entries", |c| c.received),
    ("agent_started", "Tasks handed to the upstream", |c| {
        c.started
    }),
    ("agent_done", "Tasks answered in full", |c| c.done),
    ("agent_failed", "Started tasks that failed", |c| c.failed),
    ("agent_refused", "Starts refused as not run", |c| c.refused),
    (
        "agent_not_home",
        "Starts refused: the sender is not the home",
        |c| c.not_home,
    ),
    ("agent_busy", "Starts refused: no slot", |c| c.busy),
    (
        "agent_repeated",
        "Starts of tasks that had started before",
        |c| c.repeated,
    ),
    (
        "agent_table_full",
        "Starts refused: the table is full",
        |c| c.table_full,
    ),
    (
        "agent_late",
        "Tasks past their deadline before they started",
        |c| c.expired,
    ),
    ("agent_cancelled", "Tasks cancelled", |c| c.cancelled),
    ("agent_answers", "Answers sent, repetitions included", |c| {
        c.answers
    }),
    ("agent_announces", "Announcements sent", |c| c.announcements),
    ("agent_rings", "Rings adopted", |c| c.rings),
    ("agent_pauses", "Pauses of the process", |c| c.pauses),
];

const LEVELS: [Level; 8] = [
    ("agent_slots", "Slots of the upstream", |s| s.slots.into()),
    ("agent_running", "Tasks in slots", |s| s.running.into()),
    ("agent_waiting", "Tasks that wait for a slot", |s| {
        s.waiting.into()
    }),
    ("agent_remembered", "Starts remembered", |s| {
        s.remembered as u64
    }),
    (
        "agent_unconfirmed",
        "Answers not confirmed by entries",
        |s| s.unacked as u64,
    ),
    ("agent_entries", "Entries linked", |s| {
        s.entries.len() as u64
    }),
    ("agent_ring_version", "The newest ring known", |s| s.ring.0),
    ("agent_config_revision", "The configuration in force", |s| {
        s.revision.0
    }),
];

/// Shows an agent's status as metrics.
pub(super) struct Exposition {
    metrics: Metrics,
    gauges: Vec<Gauge<u64>>,
    totals: Mutex<Vec<Total>>,
}

impl Exposition {
    /// Creates all instruments.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter cannot be registered.
    pub(super) fn new() -> eyre::Result<Self> {
        let metrics = Metrics::new()?;
        let totals = SOURCES
            .iter()
            .map(|(name, help, _)| metrics.total(name, help));
        let gauges = LEVELS
            .iter()
            .map(|(name, help, _)| metrics.gauge(name, help));
        Ok(Self {
            totals: Mutex::new(totals.collect()),
            gauges: gauges.collect(),
            metrics,
        })
    }

    /// Returns the metrics in the exposition format.
    pub(super) fn text(&self, status: &AgentStatus) -> String {
        let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        for (total, (_, _, read)) in totals.iter_mut().zip(&SOURCES) {
            total.set(read(&status.counters));
        }
        for (gauge, (_, _, read)) in self.gauges.iter().zip(&LEVELS) {
            gauge.record(read(status), &[]);
        }
        self.metrics.text()
    }
}
