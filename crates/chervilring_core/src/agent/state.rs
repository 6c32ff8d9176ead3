//! The agent's tables, and what is fed to it.

use std::collections::BTreeMap;

use chervilring_wire::{
    AgentState, AnnounceAck, Attempt, EntryId, Incarnation, Load, Micros, Name, Revision, Ring,
    RingVersion, ServiceName, StartBatch, TaskKey, Time,
};
use rustc_hash::FxHashMap;

use super::outbox::Outbox;
use super::queue::Queue;
use super::settings::AgentSettings;
use super::started::Started;
use super::status::{self, AgentCounters, AgentStatus};
use super::step::{AgentStep, CallEnd, UpstreamEvent};
use super::upstream::Upstream;

/// A task in a slot.
#[derive(Debug)]
pub(super) struct Running {
    /// The entry that asked for it.
    pub(super) from: EntryId,
    /// The service.
    pub(super) service: ServiceName,
    /// When it was handed to the upstream.
    pub(super) since: Time,
    /// How long it waited for the slot.
    pub(super) waited: Micros,
    /// It is answered by then, whatever the upstream does.
    pub(super) deadline: Time,
    /// The attempt that the table of starts held before.
    pub(super) before: Option<Attempt>,
    /// Whether the entry has its answer already; the slot is in use until the call ends.
    pub(super) answered: bool,
}

/// The link to one life of an entry.
#[derive(Debug, Default)]
pub(super) struct Link {
    /// Whether messages reach the entry.
    pub(super) up: bool,
    /// When the link went down.
    pub(super) down: Time,
    /// The ring that was reported as adopted since the link came up.
    pub(super) reported: RingVersion,
    /// Whether answers have told the load since the last announcement.
    pub(super) carried: bool,
}

/// Starts under a ring that the agent does not have yet.
#[derive(Debug)]
pub(super) struct Held {
    /// The sender.
    pub(super) from: EntryId,
    /// The starts.
    pub(super) batch: StartBatch,
    /// When they came in.
    pub(super) since: Time,
    /// They are refused then.
    pub(super) until: Time,
}

/// The decisions of an agent: which tasks start, when, and who is told how they ended.
#[derive(Debug)]
pub struct Agent {
    pub(super) settings: AgentSettings,
    pub(super) upstream: Upstream,
    pub(super) ring: Ring,
    pub(super) revision: Revision,
    /// Slots that a service may take at once, where its limits say so.
    pub(super) caps: FxHashMap<ServiceName, u32>,
    pub(super) links: BTreeMap<Name, FxHashMap<Incarnation, Link>>,
    /// The latest life seen of each entry.
    pub(super) latest: BTreeMap<Name, Incarnation>,
    pub(super) queue: Queue,
    pub(super) held: Vec<Held>,
    pub(super) running: FxHashMap<TaskKey, Running>,
    pub(super) started: Started,
    pub(super) outbox: Outbox,
    pub(super) counters: AgentCounters,
    pub(super) steps: Vec<AgentStep>,
    pub(super) announce_now: bool,
    pub(super) announce_at: Time,
    pub(super) quiet: bool,
    pub(super) state: AgentState,
    /// The stop must be done by then.
    pub(super) leaving: Option<Time>,
    pub(super) left: bool,
    pub(super) seen: Time,
    /// Messages read before `.0` may have waited for as long as `.1`.
    pub(super) stale: (Time, Micros),
}

impl Agent {
    /// Creates an agent that has no upstream, no ring and no links yet.
    pub fn new(settings: AgentSettings, now: Time) -> Self {
        Self {
            started: Started::new(settings.window, settings.budget),
            settings,
            upstream: Upstream::default(),
            ring: Ring::default(),
            revision: Revision::default(),
            caps: FxHashMap::default(),
            links: BTreeMap::new(),
            latest: BTreeMap::new(),
            queue: Queue::default(),
            held: Vec::new(),
            running: FxHashMap::default(),
            outbox: Outbox::default(),
            counters: AgentCounters::default(),
            steps: Vec::new(),
            announce_now: true,
            announce_at: now,
            quiet: false,
            state: AgentState::Down,
            leaving: None,
            left: false,
            seen: now,
            stale: (Time::default(), Micros::default()),
        }
    }

    /// Takes in an entry's answer to an announcement.
    ///
    /// A ring newer than the agent's is on its way over the link; the next announcement tells the
    /// entry that it has not come.
    pub fn ack(&mut self, now: Time, ack: &AnnounceAck) {
        self.expire(now);
        // Once in each quiet turn: else announcements and answers would beget each other.
        if ack.ring > self.ring.version && std::mem::take(&mut self.quiet) {
            self.announce_now = true;
        }
    }

    /// Takes in what the upstream told.
    pub fn upstream(&mut self, now: Time, event: UpstreamEvent) {
        self.expire(now);
        if self.upstream.apply(now, event) {
            self.announce_now = true;
        }
        self.expire(now);
        self.fill(now);
    }

    /// Takes in how a call of the upstream ended.
    pub fn ended(&mut self, now: Time, key: TaskKey, end: CallEnd) {
        self.expire(now);
        self.finish(now, key, end);
        self.expire(now);
        self.fill(now);
    }

    /// Begins the stop: no task starts any more, and what runs is finished and answered.
    pub fn leave(&mut self, now: Time) {
        if self.leaving.is_none() {
            self.leaving = Some(now + self.settings.drain);
        }
        self.expire(now);
    }

    /// Runs what is due.
    pub fn tick(&mut self, now: Time) {
        self.expire(now);
        self.fill(now);
        self.look_after_stop(now);
    }

    /// Returns when [`tick`](Self::tick) is due without further events.
    pub fn wake_at(&self) -> Time {
        let mut at = self.announce_at.min(self.seen + self.settings.announce);
        if self.state == AgentState::Ready {
            at = at.min(self.upstream.lease);
        }
        let held = self.held.iter().map(|h| h.until);
        let queued = self.queue.iter().map(|w| w.deadline);
        let running = self
            .running
            .values()
            .filter(|r| !r.answered)
            .map(|r| r.deadline);
        let due = held.chain(queued).chain(running).chain(self.leaving);
        due.fold(at, Time::min)
    }

    /// Returns what is to be done, in order.
    pub fn drain(&mut self) -> Vec<AgentStep> {
        self.flush_answers();
        if std::mem::take(&mut self.announce_now) {
            self.push_announce();
        }
        if self.left {
            self.steps.push(AgentStep::Left);
        }
        std::mem::take(&mut self.steps)
    }

    /// Returns what operators see.
    pub fn status(&self) -> AgentStatus {
        let load = self.load();
        let linked = self
            .links
            .iter()
            .filter(|(_, lives)| lives.values().any(|l| l.up));
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
            remembered: self.started.len(),
            unconfirmed: self.outbox.len(),
            counters: self.counters.clone(),
        }
    }

    /// Returns the counts since the start.
    pub fn counters(&self) -> &AgentCounters {
        &self.counters
    }

    /// Returns the name of the state that the agent is in.
    pub fn state_name(&self) -> &'static str {
        status::state_name(self.state)
    }

    /// Returns whether the agent takes work.
    pub fn state(&self) -> AgentState {
        self.state
    }

    /// Returns what the agent has in hand.
    pub(super) fn load(&self) -> Load {
        let held: usize = self.held.iter().map(|h| h.batch.tasks.len()).sum();
        status::load(
            self.upstream.slots,
            self.running.len(),
            self.queue.len() + held,
        )
    }
}

/// Returns the link to this life of an entry.
pub(super) fn link<'a>(
    links: &'a BTreeMap<Name, FxHashMap<Incarnation, Link>>,
    entry: &EntryId,
) -> Option<&'a Link> {
    links.get(&entry.name)?.get(&entry.incarnation)
}
