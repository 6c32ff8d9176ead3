//! The metrics of an entry.

use chervilring_core::entry::Entry;
use opentelemetry::metrics::{Counter, Gauge};

use crate::metrics::{Metrics, Total};

/// The metrics of an entry.
pub(super) struct Report {
    /// Frames and datagrams that were not understood.
    pub(super) malformed: Counter<u64>,
    waiting: Gauge<u64>,
    agents: Gauge<u64>,
    peers: Gauge<u64>,
    revision: Gauge<u64>,
    ring: Gauge<u64>,
    submitted: Total,
    forwarded: Total,
    resubmitted: Total,
    completed: Total,
    failed: Total,
    refused: Total,
    dropped: Total,
    late: Total,
    started: Total,
    bounced: Total,
    retried: Total,
    hedged: Total,
    stale: Total,
    ejected: Total,
    lost: Total,
}

impl Report {
    /// Creates the instruments.
    pub(super) fn new(metrics: &Metrics) -> Self {
        Self {
            malformed: metrics.counter("malformed", "Frames and datagrams not understood"),
            waiting: metrics.gauge("waiting", "Callers who wait for an answer"),
            agents: metrics.gauge("agents", "Agents whose link is up"),
            peers: metrics.gauge("peers", "Other entries whose link is up"),
            revision: metrics.gauge("revision", "Configuration in force"),
            ring: metrics.gauge("ring_version", "Ring in force"),
            submitted: metrics.total("submitted", "Submissions taken from callers"),
            forwarded: metrics.total("forwarded", "Submissions passed to their home"),
            resubmitted: metrics.total("resubmitted", "Submissions whose id was known"),
            completed: metrics.total("completed", "Submissions answered in full"),
            failed: metrics.total("failed", "Accepted submissions that failed"),
            refused: metrics.total("refused", "Refused submissions and queries"),
            dropped: metrics.total("answers_dropped", "Answers no longer kept"),
            late: metrics.total("late_replies", "Replies nobody waited for"),
            started: metrics.total("attempts", "Attempts sent to agents"),
            bounced: metrics.total("attempts_bounced", "Attempts that an agent refused"),
            retried: metrics.total("attempts_retried", "Attempts after one that may have run"),
            hedged: metrics.total("attempts_hedged", "Second attempts beside a running one"),
            stale: metrics.total("attempts_late", "Answers to attempts nobody waited for"),
            ejected: metrics.total("upstreams_ejected", "Upstreams taken out"),
            lost: metrics.total("agents_lost", "Agents given up as lost"),
        }
    }

    /// Brings the instruments up to date.
    pub(super) fn update(&mut self, entry: &mut Entry) {
        self.waiting.record(entry.waiting() as u64, &[]);
        self.agents.record(entry.agents_up() as u64, &[]);
        self.peers.record(entry.peers_up() as u64, &[]);
        self.revision.record(entry.config().revision.0, &[]);
        self.ring.record(entry.ring().version.0, &[]);
        self.update_entry(entry);
        self.update_dispatch(entry);
    }

    fn update_entry(&mut self, entry: &mut Entry) {
        let counters = entry.counters();
        self.submitted.set(counters.submitted);
        self.forwarded.set(counters.forwarded);
        self.resubmitted.set(counters.resubmitted);
        self.completed.set(counters.completed);
        self.failed.set(counters.failed);
        self.refused.set(counters.refused.values().sum());
        self.dropped.set(counters.dropped);
        self.late.set(counters.late);
    }

    fn update_dispatch(&mut self, entry: &Entry) {
        let counters = entry.dispatch_counters();
        self.started.set(counters.started);
        self.bounced.set(counters.refused_attempts);
        self.retried.set(counters.retried);
        self.hedged.set(counters.hedged);
        self.stale.set(counters.late_answers);
        self.ejected.set(counters.ejected);
        self.lost.set(counters.lost_agents);
    }
}
