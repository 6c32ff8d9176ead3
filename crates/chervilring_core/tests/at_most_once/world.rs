//! A few entries and agents in virtual time, driven by a schedule.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use bytes::Bytes;
use chervilring_core::agent::{Agent, AgentSettings, CallEnd, UpstreamEvent};
use chervilring_core::config::{Config, Note};
use chervilring_core::dispatch::{DispatchSettings, Dispatcher};
use chervilring_core::entry::{Entry, Limits};
use chervilring_core::membership::{MemberSettings, Membership, Rules, StoreCall, StoreEvent};
use chervilring_wire::{
    AgentId, Announce, ConfigBlob, EntryId, Incarnation, Member, Micros, Now, TaskKey, Time,
    Timestamp,
};

use crate::callers::Callers;
use crate::net::{Net, Node, Wire};
use crate::rng::Rng;
use crate::schedule::{Op, Schedule};
use crate::store::Store;

/// The wall clock at the start, in milliseconds.
const WALL: u64 = 1_700_000_000_000;

/// When a schedule is over, in microseconds.
const END: u64 = 62_000_000;

const MS: u64 = 1_000;

/// More events than any schedule without a storm of messages has.
const STORM: u64 = 300_000;

/// Something that is due.
pub(crate) enum Due {
    Op(Op),
    Boot(Node),
    Wake(Node, u64),
    Resume(Node, u64),
    Arrive(Node, Node, u32, Wire),
    Up(Node, Node, u32),
    Down(Node, Node, u32),
    Connect(Node, Node),
    Silent(Node, Node, u32),
    Announce(usize, u64, Box<Announce>),
    StoreCall(usize, u64, Time, StoreCall),
    StoreEvent(usize, u64, StoreEvent),
    CallEnd(usize, u64, TaskKey, CallEnd),
}

struct Item(u64, u64, Due);

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Item {}

impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Item {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A process, but for its core.
#[derive(Default)]
pub(crate) struct Proc {
    pub(crate) life: u64,
    pub(crate) up: bool,
    start: u64,
    /// How far its wall clock is ahead, in milliseconds.
    wall: i64,
    paused: bool,
    /// What comes in while it stands still.
    inbox: Vec<Due>,
    wake: u64,
    /// Looks at the clock in a row after which it asked to be run at once.
    pub(crate) hasty: u32,
}

impl Proc {
    /// Returns whether the process is up and does not stand still.
    pub(crate) fn runs(&self) -> bool {
        self.up && !self.paused
    }
}

/// The processes, what is between them, and what is due.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) rng: Rng,
    pub(crate) exact: bool,
    pub(crate) rules: Rules,
    pub(crate) entries: Vec<Option<Entry>>,
    pub(crate) agents: Vec<Option<Agent>>,
    pub(crate) procs: BTreeMap<Node, Proc>,
    pub(crate) net: Net,
    pub(crate) store: Store,
    pub(crate) cut_store: Vec<bool>,
    pub(crate) callers: Callers,
    pub(crate) trap: Option<(usize, u8)>,
    pub(crate) brake: Vec<u64>,
    pub(crate) extra: usize,
    pub(crate) trace: Option<Vec<String>>,
    due: BinaryHeap<Reverse<Item>>,
    count: u64,
}

impl World {
    /// Sets the world of a schedule up.
    pub(crate) fn new(schedule: &Schedule, rules: Rules, trace: bool) -> Self {
        let (entries, agents) = (schedule.entries as usize, schedule.agents as usize);
        let mut world = Self {
            now: 0,
            rng: Rng(schedule.seed ^ 0x5eed),
            exact: schedule.exact,
            rules,
            entries: (0..entries).map(|_| None).collect(),
            agents: (0..agents).map(|_| None).collect(),
            procs: BTreeMap::new(),
            net: Net::default(),
            store: Store::default(),
            cut_store: vec![false; entries],
            callers: Callers::default(),
            trap: None,
            brake: vec![0; entries],
            extra: 100,
            trace: trace.then(Vec::new),
            due: BinaryHeap::new(),
            count: 0,
        };
        for node in world.nodes() {
            let wall = if schedule.exact {
                0
            } else {
                world.rng.range(0, 2_000).cast_signed() - 1_000
            };
            let proc = Proc {
                wall,
                ..Proc::default()
            };
            world.procs.insert(node, proc);
            let at = world.rng.range(0, 500 * MS);
            if !schedule.late || node != Node::Agent(agents - 1) {
                world.at(at, Due::Boot(node));
            }
        }
        for (at, op) in &schedule.ops {
            world.at(u64::from(*at) * MS, Due::Op(*op));
        }
        world
    }

    /// Returns all processes, up or not.
    pub(crate) fn nodes(&self) -> Vec<Node> {
        let entries = (0..self.entries.len()).map(Node::Entry);
        entries
            .chain((0..self.agents.len()).map(Node::Agent))
            .collect()
    }

    /// Runs to the end.
    pub(crate) fn run(&mut self) {
        while let Some(Reverse(Item(at, _, due))) = self.due.pop() {
            if at > END || !self.callers.faults.is_empty() {
                break;
            }
            self.now = at;
            self.happen(due);
            if self.count > STORM {
                self.callers.faults.push("a storm of messages".into());
            }
        }
        self.callers.finish();
    }

    /// Adds something that is due at a time.
    pub(crate) fn at(&mut self, at: u64, due: Due) {
        self.count += 1;
        self.due.push(Reverse(Item(at, self.count, due)));
    }

    /// Adds something that is due after a span.
    pub(crate) fn after(&mut self, span: u64, due: Due) {
        self.at(self.now + span, due);
    }

    /// Adds a line to the trace.
    pub(crate) fn note(&mut self, text: impl FnOnce() -> String) {
        let now = self.now;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:>9.3} ms  {}", now as f64 / 1_000.0, text()));
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Op(op) => self.operate(op),
            Due::Boot(node) => self.boot(node),
            Due::Resume(node, life) => self.resume(node, life),
            Due::Connect(a, b) => self.connect(a, b),
            Due::StoreCall(n, life, sent, call) => self.store_call(n, life, sent, call),
            Due::Arrive(from, to, epoch, wire) => self.arrive(from, to, epoch, wire),
            Due::Down(node, peer, epoch) => {
                let (link, side) = self.net.link(node, peer);
                if link.epoch == epoch && link.up[side] {
                    link.up[side] = false;
                    self.deliver(node, Due::Down(node, peer, epoch));
                    self.reconnect(node, peer);
                }
            }
            Due::Up(node, peer, epoch) => {
                let (link, side) = self.net.link(node, peer);
                if link.epoch == epoch && link.alive {
                    link.up[side] = true;
                    self.deliver(node, Due::Up(node, peer, epoch));
                }
            }
            Due::Silent(a, b, epoch) => self.silent(a, b, epoch),
            Due::Wake(node, _) => self.deliver(node, due),
            Due::CallEnd(n, ..) => self.deliver(Node::Agent(n), due),
            Due::StoreEvent(n, ..) | Due::Announce(n, ..) => {
                self.deliver(Node::Entry(n), due);
            }
        }
    }

    /// Hands an event to a process, or keeps it while the process stands still.
    pub(crate) fn deliver(&mut self, node: Node, due: Due) {
        let Some(proc) = self.procs.get_mut(&node) else {
            return;
        };
        if !proc.up {
            return;
        }
        if proc.paused {
            proc.inbox.push(due);
            return;
        }
        self.handle(node, due);
    }

    /// Makes a process stand still for a span.
    pub(crate) fn pause(&mut self, node: Node, span: u64) {
        let Some(proc) = self.procs.get_mut(&node) else {
            return;
        };
        if !proc.up || proc.paused {
            return;
        }
        proc.paused = true;
        let life = proc.life;
        self.note(|| format!("{node:?} stands still for {} ms", span / MS));
        self.after(span, Due::Resume(node, life));
    }

    fn resume(&mut self, node: Node, life: u64) {
        let Some(proc) = self.procs.get_mut(&node) else {
            return;
        };
        if !proc.up || proc.life != life {
            return;
        }
        proc.paused = false;
        let inbox = std::mem::take(&mut proc.inbox);
        self.note(|| format!("{node:?} goes on"));
        if self.rng.chance(50) {
            self.handle(node, Due::Wake(node, life));
        }
        for due in inbox {
            self.deliver(node, due);
        }
        self.deliver(node, Due::Wake(node, life));
    }

    /// Returns the clocks of a process.
    pub(crate) fn clock(&self, node: Node) -> Now {
        let proc = &self.procs[&node];
        let wall = (WALL + self.now / MS).cast_signed() + proc.wall;
        Now {
            mono: Time(self.now - proc.start + MS),
            wall: Timestamp(wall as u64),
        }
    }

    /// Lets a wall clock jump by milliseconds; all jumps stay within the allowed skew.
    pub(crate) fn jump(&mut self, node: Node, by: i64) {
        if self.exact {
            return;
        }
        if let Some(proc) = self.procs.get_mut(&node) {
            proc.wall = (proc.wall + by).clamp(-2_000, 2_000);
        }
    }

    /// Returns the wall clock of callers, in milliseconds.
    pub(crate) fn wall(&self) -> u64 {
        WALL + self.now / MS
    }

    /// Makes sure that a process looks at its clock in time.
    pub(crate) fn wake(&mut self, node: Node, at: Time) {
        let Some(proc) = self.procs.get_mut(&node) else {
            return;
        };
        if !proc.up {
            return;
        }
        let at = (at.0.saturating_add(proc.start).saturating_sub(MS)).max(self.now + 100);
        if at > END || (proc.wake > self.now && proc.wake <= at) {
            return;
        }
        proc.wake = at;
        let life = proc.life;
        self.at(at, Due::Wake(node, life));
    }

    fn boot(&mut self, node: Node) {
        let now = self.now;
        let Some(proc) = self.procs.get_mut(&node) else {
            return;
        };
        if proc.up {
            return;
        }
        proc.up = true;
        proc.paused = false;
        proc.life += 1;
        proc.start = now;
        proc.inbox.clear();
        proc.wake = 0;
        let life = proc.life;
        self.note(|| format!("{node:?} starts, life {life}"));
        let clock = self.clock(node);
        match node {
            Node::Entry(n) => self.entries[n] = Some(self.entry(n, clock)),
            Node::Agent(n) => {
                self.agents[n] = Some(agent(n, life, clock.mono));
                let event = announcement(n);
                self.with_agent(n, |agent, now| agent.upstream_event(now, event));
            }
        }
        self.deliver(node, Due::Wake(node, life));
        for peer in self.nodes() {
            if peer != node {
                self.reconnect(node, peer);
            }
        }
    }

    /// Ends a process; the others notice sooner or later.
    pub(crate) fn kill(&mut self, node: Node) {
        let Some(proc) = self.procs.get_mut(&node) else {
            return;
        };
        if !proc.up {
            return;
        }
        proc.up = false;
        proc.paused = false;
        proc.inbox.clear();
        match node {
            Node::Entry(n) => self.entries[n] = None,
            Node::Agent(n) => self.agents[n] = None,
        }
        self.note(|| format!("{node:?} ends"));
        for peer in self.nodes() {
            if peer == node {
                continue;
            }
            let late = if self.rng.chance(70) {
                5 * MS
            } else {
                4_000 * MS
            };
            let span = self.rng.range(MS, late);
            let (link, side) = self.net.link(node, peer);
            link.alive = false;
            link.up[side] = false;
            link.waiting.clear();
            let epoch = link.epoch;
            self.after(span, Due::Down(peer, node, epoch));
        }
    }

    fn entry(&self, n: usize, now: Now) -> Entry {
        let id = self.entry_id(n);
        let member = Member {
            entry: id.clone(),
            domain: format!("domain{n}").as_str().into(),
            addr: ([127, 0, 0, 1], 4_000 + n as u16).into(),
            draining: false,
        };
        let skew = Micros::from_secs(if self.exact { 0 } else { 5 });
        let settings = MemberSettings::builder(member.clone()).skew(skew);
        let settings = settings.rules(self.rules).build();
        let membership = Membership::new(settings, now);
        let dispatch = DispatchSettings::new(member.domain).seed(n as u64 + 1);
        let dispatcher = Dispatcher::new(dispatch);
        let limits = Limits::builder().build();
        let mut entry = Entry::new(id, membership, dispatcher, limits);
        entry.configure(now, configuration());
        entry
    }

    /// Returns the present life of an entry.
    pub(crate) fn entry_id(&self, n: usize) -> EntryId {
        EntryId {
            name: format!("entry{n}").into(),
            incarnation: Incarnation(self.procs[&Node::Entry(n)].life),
        }
    }

    fn store_call(&mut self, n: usize, life: u64, sent: Time, call: StoreCall) {
        let Some(proc) = self.procs.get(&Node::Entry(n)) else {
            return;
        };
        let id = EntryId {
            name: format!("entry{n}").into(),
            incarnation: Incarnation(life),
        };
        let same = proc.up && proc.life == life;
        let unreachable = self.now < self.store.out || (same && self.cut_store[n]);
        let event = if unreachable {
            StoreEvent::Failed
        } else {
            self.store.call(self.now, &id, sent, call)
        };
        let lost = self.now < self.store.losing && self.rng.chance(60);
        let back = if unreachable || lost {
            700 * MS
        } else {
            self.rng.range(MS, 4 * MS)
        };
        let event = if lost { StoreEvent::Failed } else { event };
        self.after(back, Due::StoreEvent(n, life, event));
    }
}

/// Returns one life of an agent.
pub(crate) fn agent_id(n: usize, life: u64) -> AgentId {
    AgentId {
        name: format!("agent{n}").into(),
        incarnation: Incarnation(life),
    }
}

fn agent(n: usize, life: u64, now: Time) -> Agent {
    let settings = AgentSettings::new(agent_id(n, life), "domain0".into());
    Agent::new(settings, now)
}

fn announcement(n: usize) -> UpstreamEvent {
    UpstreamEvent::Announce {
        url: format!("http://upstream{n}").into(),
        services: vec!["bay".into()],
        labels: Vec::new(),
        slots: 2,
        connections: 4,
        lease: Micros::from_secs(3_600),
    }
}

/// The configuration: one service that must not run a task twice.
fn configuration() -> ConfigBlob {
    let note = r#"{"id": "first", "base": 0, "added": [
        {"name": "bay", "rules": {"idempotent": false, "deadline": "8s"}}
    ]}"#;
    let note = Note::parse(note).expect("the note is well formed");
    let config = Config::empty().apply(&note).expect("the note applies");
    ConfigBlob {
        revision: config.revision,
        document: Bytes::from(config.to_json()),
    }
}
