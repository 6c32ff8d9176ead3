//! Settings of an agent's decisions.

use chervilring_wire::{AgentId, DomainName, Micros, Name};

/// Settings of an [`Agent`](super::Agent), built from defaults.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// This life of the agent.
    pub agent: AgentId,
    /// The failure domain that the worker stands in.
    pub domain: DomainName,
    /// Labels of the worker, besides those that the upstream announces.
    pub labels: Vec<Name>,
    /// The span between announcements.
    pub announce: Micros,
    /// Tasks that may wait for a slot, shared out between the entries that are linked.
    pub queue: u32,
    /// Stamped ids are remembered for this span after their start; at least the span within which
    /// entries take them, plus twice the skew between clocks.
    pub window: Micros,
    /// Task starts remembered at once.
    pub budget: usize,
    /// Bytes of answers kept until entries confirm them; above it no task is taken.
    pub kept: usize,
    /// How long a start under a newer ring waits for that ring.
    pub patience: Micros,
    /// How long answers are kept for an entry that is not linked.
    pub absence: Micros,
    /// How long a stop may take.
    pub drain: Micros,
    /// The longest span between two looks at the clock that does not count as a pause.
    pub pause: Micros,
}

impl AgentSettings {
    /// Creates settings with the defaults.
    pub fn new(agent: AgentId, domain: DomainName) -> Self {
        Self {
            agent,
            domain,
            labels: Vec::new(),
            announce: Micros::from_millis(500),
            queue: 16,
            window: Micros::from_secs(660),
            budget: 200_000,
            kept: 64 << 20,
            patience: Micros::from_secs(1),
            absence: Micros::from_secs(60),
            drain: Micros::from_secs(30),
            pause: Micros::from_millis(750),
        }
    }

    /// Sets the worker's labels.
    pub fn labels(mut self, labels: Vec<Name>) -> Self {
        self.labels = labels;
        self
    }

    /// Sets the span between announcements.
    pub fn announce(mut self, span: Micros) -> Self {
        self.announce = span;
        self
    }

    /// Sets how many tasks may wait for a slot.
    pub fn queue(mut self, tasks: u32) -> Self {
        self.queue = tasks;
        self
    }

    /// Sets how long stamped ids are remembered.
    pub fn window(mut self, span: Micros) -> Self {
        self.window = span;
        self
    }

    /// Sets how many task starts are remembered at once.
    pub fn budget(mut self, starts: usize) -> Self {
        self.budget = starts;
        self
    }

    /// Sets how many bytes of unconfirmed answers are kept.
    pub fn kept(mut self, bytes: usize) -> Self {
        self.kept = bytes;
        self
    }

    /// Sets how long a start under a newer ring waits for that ring.
    pub fn patience(mut self, span: Micros) -> Self {
        self.patience = span;
        self
    }

    /// Sets how long answers are kept for an entry that is not linked.
    pub fn absence(mut self, span: Micros) -> Self {
        self.absence = span;
        self
    }

    /// Sets how long a stop may take.
    pub fn drain(mut self, span: Micros) -> Self {
        self.drain = span;
        self
    }

    /// Sets the longest span between two looks at the clock that does not count as a pause.
    pub fn pause(mut self, span: Micros) -> Self {
        self.pause = span;
        self
    }
}
