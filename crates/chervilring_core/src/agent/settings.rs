//! Settings of the agent's decisions.

use chervilring_wire::{AgentId, DomainName, Micros, Name};

/// Settings of an [`Agent`](super::Agent), built from defaults.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// The name and incarnation of the agent.
    pub agent: AgentId,
    /// The failure domain of the worker's host.
    pub domain: DomainName,
    /// Labels of the worker, in addition to those that the upstream announces.
    pub labels: Vec<Name>,
    /// The interval between announcements.
    pub announce_interval: Micros,
    /// The number of tasks that may be queued for a slot, divided equally between the linked
    /// entries.
    pub queue_capacity: u32,
    /// How long timestamped ids are remembered after their start. Must be at least the period in
    /// which entries accept such ids, plus twice the maximum clock skew.
    pub id_retention: Micros,
    /// The maximum number of task starts remembered at once.
    pub max_starts: usize,
    /// The maximum size in bytes of the answers that entries have not acknowledged; no task is
    /// accepted while it is reached.
    pub max_answer_bytes: usize,
    /// How long a start sent under a newer ring waits for that ring.
    pub ring_timeout: Micros,
    /// How long answers are kept for an entry that is not linked.
    pub answer_retention: Micros,
    /// The maximum duration of a stop.
    pub stop_timeout: Micros,
    /// The longest duration between two clock readings that does not count as a pause.
    pub pause_threshold: Micros,
}

impl AgentSettings {
    /// Creates settings with the defaults.
    pub fn new(agent: AgentId, domain: DomainName) -> Self {
        Self {
            agent,
            domain,
            labels: Vec::new(),
            announce_interval: Micros::from_millis(500),
            queue_capacity: 16,
            id_retention: Micros::from_secs(660),
            max_starts: 200_000,
            max_answer_bytes: 64 << 20,
            ring_timeout: Micros::from_secs(1),
            answer_retention: Micros::from_secs(60),
            stop_timeout: Micros::from_secs(30),
            pause_threshold: Micros::from_millis(750),
        }
    }

    /// Sets the worker's labels.
    pub fn labels(mut self, labels: Vec<Name>) -> Self {
        self.labels = labels;
        self
    }

    /// Sets the interval between announcements.
    pub fn announce_interval(mut self, interval: Micros) -> Self {
        self.announce_interval = interval;
        self
    }

    /// Sets the number of tasks that may be queued for a slot.
    pub fn queue_capacity(mut self, tasks: u32) -> Self {
        self.queue_capacity = tasks;
        self
    }

    /// Sets how long timestamped ids are remembered.
    pub fn id_retention(mut self, retention: Micros) -> Self {
        self.id_retention = retention;
        self
    }

    /// Sets the maximum number of task starts remembered at once.
    pub fn max_starts(mut self, starts: usize) -> Self {
        self.max_starts = starts;
        self
    }

    /// Sets the maximum size in bytes of the unacknowledged answers.
    pub fn max_answer_bytes(mut self, bytes: usize) -> Self {
        self.max_answer_bytes = bytes;
        self
    }

    /// Sets how long a start sent under a newer ring waits for that ring.
    pub fn ring_timeout(mut self, timeout: Micros) -> Self {
        self.ring_timeout = timeout;
        self
    }

    /// Sets how long answers are kept for an entry that is not linked.
    pub fn answer_retention(mut self, retention: Micros) -> Self {
        self.answer_retention = retention;
        self
    }

    /// Sets the maximum duration of a stop.
    pub fn stop_timeout(mut self, timeout: Micros) -> Self {
        self.stop_timeout = timeout;
        self
    }

    /// Sets the longest duration between two clock readings that does not count as a pause.
    pub fn pause_threshold(mut self, threshold: Micros) -> Self {
        self.pause_threshold = threshold;
        self
    }
}
