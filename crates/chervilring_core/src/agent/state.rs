//! The agent's state and the events that it handles.

use std::collections::BTreeMap;

use chervilring_wire::{
    AgentState, AnnounceAck, Attempt, EntryId, Incarnation, Load, Micros, Name, Revision, Ring,
    RingVersion, ServiceName, StartBatch, TaskKey, Time,
};
use rustc_hash::FxHashMap;

use super::outbox::Outbox;
use super::queue::Queue;
use super::settings::AgentSettings;
use super::started::StartTable;
use super::status::{self, AgentCounters, AgentStatus};
use super::step::{AgentStep, CallEnd, UpstreamEvent};
use super::upstream::Upstream;

/// A task that occupies a slot.
#[derive(Debug)]
pub(super) struct RunningTask {
    /// The entry that requested the start.
    pub(super) from: EntryId,
    /// The service.
    pub(super) service: ServiceName,
    /// When it was handed to the upstream.
    pub(super) started_at: Time,
    /// How long it was queued for the slot.
    pub(super) queue_time: Micros,
    /// The time at which it is answered even if the call has not ended.
    pub(super) deadline: Time,
    /// The attempt that the start table recorded before this one.
    pub(super) previous_attempt: Option<Attempt>,
    /// Whether the entry has been answered already; the slot is in use until the call ends.
    pub(super) answered: bool,
}

/// The link to one incarnation of an entry.
#[derive(Debug, Default)]
pub(super) struct Link {
    /// Whether messages reach the entry.
    pub(super) up: bool,
    /// When the link went down.
    pub(super) down_since: Time,
    /// The ring that was last reported as installed since the link came up.
    pub(super) reported_ring: RingVersion,
    /// Whether answers have carried the load to the entry since the last regular announcement was
    /// due.
    pub(super) load_sent: bool,
}

/// Starts that are deferred until a newer ring is installed.
#[derive(Debug)]
pub(super) struct DeferredBatch {
    /// The sender.
    pub(super) from: EntryId,
    /// The starts.
    pub(super) batch: StartBatch,
    /// When they arrived.
    pub(super) received_at: Time,
    /// The time at which they are refused.
    pub(super) deadline: Time,
}

/// The decision logic of an agent: which tasks start and when, and which entries get the answers.
#[derive(Debug)]
pub struct Agent {
    pub(super) settings: AgentSettings,
    pub(super) upstream: Upstream,
    pub(super) ring: Ring,
    pub(super) revision: Revision,
    /// The maximum number of slots that a service may use at once; absent if it has no limit.
    pub(super) slot_limits: FxHashMap<ServiceName, u32>,
    pub(super) links: BTreeMap<Name, FxHashMap<Incarnation, Link>>,
    /// The latest incarnation of each entry that was linked.
    pub(super) latest_incarnations: BTreeMap<Name, Incarnation>,
    pub(super) queue: Queue,
    pub(super) deferred: Vec<DeferredBatch>,
    pub(super) running: FxHashMap<TaskKey, RunningTask>,
    pub(super) start_table: StartTable,
    pub(super) outbox: Outbox,
    pub(super) counters: AgentCounters,
    pub(super) steps: Vec<AgentStep>,
    /// Whether the next drain returns an announcement.
    pub(super) announce_now: bool,
    /// When the next regular announcement is due.
    pub(super) announce_at: Time,
    /// Whether the last regular announcement was skipped.
    pub(super) announce_skipped: bool,
    pub(super) state: AgentState,
    /// The time by which the stop must be complete; `None` while the agent is not stopping.
    pub(super) stop_deadline: Option<Time>,
    pub(super) stopped: bool,
    /// The time of the last event.
    pub(super) last_event: Time,
    /// Messages read before `.0` may have waited unread for up to `.1`.
    pub(super) delayed_messages: (Time, Micros),
}

impl Agent {
    /// Creates an agent that has no upstream, no ring and no links yet.
    pub fn new(settings: AgentSettings, now: Time) -> Self {
        Self {
            start_table: StartTable::new(settings.id_retention, settings.max_starts),
            settings,
            upstream: Upstream::default(),
            ring: Ring::default(),
            revision: Revision::default(),
            slot_limits: FxHashMap::default(),
            links: BTreeMap::new(),
            latest_incarnations: BTreeMap::new(),
            queue: Queue::default(),
            deferred: Vec::new(),
            running: FxHashMap::default(),
            outbox: Outbox::default(),
            counters: AgentCounters::default(),
            steps: Vec::new(),
            announce_now: true,
            announce_at: now,
            announce_skipped: false,
            state: AgentState::Down,
            stop_deadline: None,
            stopped: false,
            last_event: now,
            delayed_messages: (Time::default(), Micros::default()),
        }
    }

    /// Handles an entry's acknowledgement of an announcement.
    ///
    /// If the entry has a newer ring, that ring should be on its way over the link; a further
    /// announcement tells the entry that it has not arrived.
    pub fn announce_acked(&mut self, now: Time, ack: &AnnounceAck) {
        self.advance(now);
        // At most once per skipped announcement. Otherwise each acknowledgement would cause another
        // announcement, which is acknowledged in turn.
        if ack.ring > self.ring.version && std::mem::take(&mut self.announce_skipped) {
            self.announce_now = true;
        }
    }

    /// Handles an event from the upstream.
    pub fn upstream_event(&mut self, now: Time, event: UpstreamEvent) {
        self.advance(now);
        if self.upstream.apply(now, event) {
            self.announce_now = true;
        }
        self.advance(now);
        self.start_queued(now);
    }

    /// Handles the end of a call of the upstream.
    pub fn call_ended(&mut self, now: Time, key: TaskKey, end: CallEnd) {
        self.advance(now);
        self.finish_call(now, key, end);
        self.advance(now);
        self.start_queued(now);
    }

    /// Begins the stop: no further task starts, and running tasks are finished and answered.
    pub fn begin_stop(&mut self, now: Time) {
        if self.stop_deadline.is_none() {
            self.stop_deadline = Some(now + self.settings.stop_timeout);
        }
        self.advance(now);
    }

    /// Does all work that is due at `now`.
    pub fn tick(&mut self, now: Time) {
        self.advance(now);
        self.start_queued(now);
        self.check_stop(now);
    }

    /// Returns when [`tick`](Self::tick) is due without further events.
    pub fn wake_at(&self) -> Time {
        let mut wake_at = self
            .announce_at
            .min(self.last_event + self.settings.announce_interval);
        if self.state == AgentState::Ready {
            wake_at = wake_at.min(self.upstream.lease_deadline);
        }
        let deferred = self.deferred.iter().map(|d| d.deadline);
        let queued = self.queue.iter().map(|t| t.deadline);
        let running = self
            .running
            .values()
            .filter(|r| !r.answered)
            .map(|r| r.deadline);
        let due = deferred
            .chain(queued)
            .chain(running)
            .chain(self.stop_deadline);
        due.fold(wake_at, Time::min)
    }

    /// Removes and returns the steps to be carried out, in order.
    pub fn drain(&mut self) -> Vec<AgentStep> {
        self.send_answers();
        if std::mem::take(&mut self.announce_now) {
            self.push_announce();
        }
        if self.stopped {
            self.steps.push(AgentStep::Exit);
        }
        std::mem::take(&mut self.steps)
    }

    /// Returns the status for operators.
    pub fn status(&self) -> AgentStatus {
        let load = self.load();
        let linked = self
            .links
            .iter()
            .filter(|(_, incarnations)| incarnations.values().any(|l| l.up));
        AgentStatus {
            name: self.settings.agent.name.clone(),
            incarnation: self.settings.agent.incarnation.0,
            domain: self.settings.domain.0.clone(),
            state: status::state_name(self.state),
            url: self.upstream.url.clone(),
            services: self.upstream.services.clone(),
            slots: load.slots,
            running: load.running,
            waiting: load.waiting,
            ring: self.ring.version,
            revision: self.revision,
            entries: linked.map(|(name, _)| name.clone()).collect(),
            remembered: self.start_table.len(),
            unacked: self.outbox.len(),
            counters: self.counters.clone(),
        }
    }

    /// Returns the counters since the start of the process.
    pub fn counters(&self) -> &AgentCounters {
        &self.counters
    }

    /// Returns the name of the state that the agent is in.
    pub fn state_name(&self) -> &'static str {
        status::state_name(self.state)
    }

    /// Returns the state of the agent, which says whether it accepts work.
    pub fn state(&self) -> AgentState {
        self.state
    }

    /// Returns the numbers of slots, running tasks and waiting tasks; deferred starts count as
    /// waiting.
    pub(super) fn load(&self) -> Load {
        let deferred: usize = self.deferred.iter().map(|d| d.batch.tasks.len()).sum();
        status::load_from_counts(
            self.upstream.slots,
            self.running.len(),
            self.queue.len() + deferred,
        )
    }
}

/// Returns the link to this incarnation of an entry.
pub(super) fn find_link<'a>(
    links: &'a BTreeMap<Name, FxHashMap<Incarnation, Link>>,
    entry: &EntryId,
) -> Option<&'a Link> {
    links.get(&entry.name)?.get(&entry.incarnation)
}
