//! The virtual time in which entries and agents exchange messages.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use chervilring_core::dispatch::{Policy, Step};
use chervilring_wire::{
    AgentMessage, Announce, EntryMessage, Micros, Ring, StartBatch, SubmissionId, TaskKey, Time,
};
use rustc_hash::FxHashMap;

use super::callers::id;
use super::home::{Home, homes, ring};
use super::measure::{Fate, Played, Tally};
use super::trace::Trace;
use super::upstream::Host;

/// How often entries confirm answers and tell each other the demand of teams.
const EXCHANGE: Micros = Micros::from_millis(100);

/// How often upstreams announce themselves to their agents.
const RENEWAL: Micros = Micros::from_secs(1);

/// How long a trace is played on after its last arrival.
const RUN_OUT: Micros = Micros::from_secs(20);

/// What happens next.
#[derive(Debug)]
pub(crate) enum Event {
    /// A caller sends a submission, for the so-manieth time.
    Arrive(usize, u32),
    /// A submission is at its home.
    Submit(usize, usize, u32),
    /// A caller's cancellation is at the home.
    Cancel(usize, usize),
    /// A message from an entry to a host in this life.
    ToHost(usize, usize, u64, Box<EntryMessage>),
    /// A message from a host in this life to an entry.
    ToHome(usize, usize, u64, Box<AgentMessage>),
    /// An announcement to an entry.
    Announce(usize, Box<Announce>),
    /// A link comes up.
    LinkUp(usize, usize, u64),
    /// A link goes down.
    LinkDown(usize, usize, u64),
    /// An upstream's call ends.
    CallEnd(usize, u64, TaskKey, u64),
    /// An entry's systems are due.
    WakeHome(usize),
    /// An agent's systems are due.
    WakeHost(usize),
    /// A host boots.
    Boot(usize),
    /// Upstreams announce themselves.
    Renew,
    /// Entries confirm answers and exchange demand.
    Exchange,
    /// A fault of the trace.
    Fault(usize),
}

/// Everything in a replay.
pub(crate) struct World<'a> {
    pub(crate) trace: &'a Trace,
    pub(crate) now: Time,
    pub(crate) homes: Vec<Home>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) tally: Tally,
    pub(crate) ring: Ring,
    pub(crate) events: BinaryHeap<Reverse<(Time, u64, usize)>>,
    pub(crate) pool: Vec<Option<Event>>,
    pub(crate) vacant: Vec<usize>,
    pub(crate) order: u64,
    pub(crate) fates: Vec<Fate>,
    pub(crate) ids: FxHashMap<SubmissionId, usize>,
    /// Starts at upstreams by task.
    pub(crate) starts: FxHashMap<(usize, u32), u32>,
    /// Calls that have not ended, by host and attempt.
    pub(crate) calls: FxHashMap<(usize, TaskKey), u64>,
}

/// Plays a trace with a policy against the decision core in virtual time.
pub fn play(trace: &Trace, policy: Policy, seed: u64) -> Played {
    let mut world = World::new(trace, policy, seed);
    world.seed_events();
    let last = trace.arrivals.last().map_or(0, |a| a.at.0);
    let end = Time(last) + RUN_OUT;
    while let Some(event) = world.next(end) {
        world.handle(event);
    }
    world.finish()
}

impl<'a> World<'a> {
    fn new(trace: &'a Trace, policy: Policy, seed: u64) -> Self {
        let homes = homes(&trace.head, policy, seed);
        let workers = trace.head.deployment.workers.iter();
        let fates = trace.arrivals.iter().map(|_| Fate::default()).collect();
        let ids = (0..trace.arrivals.len()).map(|i| (id(trace, i), i));
        Self {
            now: Time::default(),
            ring: ring(&homes),
            homes,
            hosts: workers.map(Host::new).collect(),
            tally: Tally::default(),
            events: BinaryHeap::new(),
            pool: Vec::new(),
            vacant: Vec::new(),
            order: 0,
            fates,
            ids: ids.collect(),
            starts: FxHashMap::default(),
            calls: FxHashMap::default(),
            trace,
        }
    }

    fn seed_events(&mut self) {
        for host in 0..self.hosts.len() {
            self.at(Time(host as u64 * 7), Event::Boot(host));
        }
        // Agents announce themselves before the first caller comes.
        for (index, arrival) in self.trace.arrivals.iter().enumerate() {
            self.at(Time(arrival.at.0) + WARM_UP, Event::Arrive(index, 0));
        }
        for (index, fault) in self.trace.faults.iter().enumerate() {
            self.at(Time(fault.at.0) + WARM_UP, Event::Fault(index));
        }
        self.at(Time::default() + RENEWAL, Event::Renew);
        self.at(Time::default() + EXCHANGE, Event::Exchange);
    }

    /// Has an event happen at a time.
    pub(crate) fn at(&mut self, at: Time, event: Event) {
        let slot = self.vacant.pop().unwrap_or_else(|| {
            self.pool.push(None);
            self.pool.len() - 1
        });
        self.pool[slot] = Some(event);
        self.order += 1;
        self.events.push(Reverse((at, self.order, slot)));
    }

    fn next(&mut self, end: Time) -> Option<Event> {
        let Reverse((at, _, slot)) = self.events.pop()?;
        if at > end {
            return None;
        }
        self.now = at;
        self.vacant.push(slot);
        self.pool[slot].take()
    }

    pub(crate) fn hop(&self, home: usize, host: usize) -> Micros {
        let deployment = &self.trace.head.deployment;
        deployment.hop(&self.homes[home].domain, &self.hosts[host].worker.domain)
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrive(index, round) => self.arrive(index, round),
            Event::Submit(home, index, round) => self.submit(home, index, round),
            Event::Cancel(home, index) => {
                let id = id(self.trace, index);
                self.homes[home].dispatcher.cancel(now, id);
                self.run_home(home);
            }
            Event::ToHost(home, host, life, message) => {
                let from = self.homes[home].id.clone();
                if self.hosts[host].life == life
                    && let Some(agent) = &mut self.hosts[host].agent
                {
                    agent.entry_message(now, &from, *message);
                    self.run_host(host);
                }
            }
            Event::ToHome(home, host, life, message) => self.hear_host(home, host, life, *message),
            Event::Announce(home, announce) => {
                self.homes[home].dispatcher.handle_announce(now, &announce);
                self.run_home(home);
            }
            Event::LinkUp(home, host, life) => self.link_up(home, host, life),
            Event::LinkDown(home, host, life) => {
                let mut agent = self.hosts[host].id();
                agent.incarnation.0 = life;
                self.homes[home].dispatcher.agent_disconnected(now, &agent);
                self.run_home(home);
            }
            Event::CallEnd(host, life, key, call) => self.call_end(host, life, key, call),
            Event::WakeHome(home) => {
                if self.homes[home].wake == now {
                    self.homes[home].wake = Time::NEVER;
                    self.run_home(home);
                }
            }
            Event::WakeHost(host) => {
                if self.hosts[host].wake == now {
                    self.hosts[host].wake = Time::NEVER;
                    if let Some(agent) = &mut self.hosts[host].agent {
                        agent.tick(now);
                    }
                    self.run_host(host);
                }
            }
            Event::Boot(host) => self.boot(host),
            Event::Renew => {
                let service = self.trace.head.deployment.service.clone();
                for host in 0..self.hosts.len() {
                    self.hosts[host].renew(now, &service);
                    self.run_host(host);
                }
                self.at(now + RENEWAL, Event::Renew);
            }
            Event::Exchange => self.exchange(),
            Event::Fault(index) => self.fault(index),
        }
    }

    /// Starts a host's agent, which announces itself and links to all entries.
    pub(crate) fn boot(&mut self, host: usize) {
        let now = self.now;
        let service = self.trace.head.deployment.service.clone();
        let old = self.hosts[host].life;
        self.hosts[host].boot(now);
        self.hosts[host].renew(now, &service);
        let life = self.hosts[host].life;
        for home in 0..self.homes.len() {
            let hop = self.hop(home, host);
            if old > 0 {
                self.at(now + hop, Event::LinkDown(home, host, old));
            }
            self.at(now + hop + hop, Event::LinkUp(home, host, life));
        }
        self.run_host(host);
    }

    fn link_up(&mut self, home: usize, host: usize, life: u64) {
        if self.hosts[host].life != life || self.hosts[host].agent.is_none() {
            return;
        }
        let (now, agent, entry) = (self.now, self.hosts[host].id(), self.homes[home].id.clone());
        if let Some(agent) = &mut self.hosts[host].agent {
            agent.entry_up(now, &entry);
        }
        self.homes[home].dispatcher.agent_connected(now, &agent);
        self.homes[home].dispatcher.allow_starts(&agent);
        let message = EntryMessage::Ring(self.ring.clone());
        self.tell_host(home, host, life, message);
        self.run_host(host);
        self.run_home(home);
    }

    fn tell_host(&mut self, home: usize, host: usize, life: u64, message: EntryMessage) {
        let at = self.now + self.hop(home, host);
        self.at(at, Event::ToHost(home, host, life, Box::new(message)));
    }

    fn hear_host(&mut self, home: usize, host: usize, life: u64, message: AgentMessage) {
        let mut agent = self.hosts[host].id();
        agent.incarnation.0 = life;
        let row = &mut self.homes[home];
        match message {
            AgentMessage::Answers(answers) => {
                let keys = answers.iter().map(|a| a.key);
                row.received.entry((host, life)).or_default().extend(keys);
                row.dispatcher.handle_answers(self.now, &agent, answers);
            }
            AgentMessage::Load(load) => row.dispatcher.update_load(self.now, &agent, load),
            AgentMessage::Installed { .. } => return,
        }
        self.run_home(home);
    }

    /// Runs an entry's systems and carries out their steps.
    pub(crate) fn run_home(&mut self, home: usize) {
        let steps = self.homes[home].dispatcher.run(self.now, Some(Time::NEVER));
        for step in steps {
            match step {
                Step::Start { agent, tasks } => {
                    let host = self.host(&agent.name);
                    self.tally.frames += 1;
                    let batch = StartBatch {
                        ring: self.ring.version,
                        tasks,
                    };
                    let message = EntryMessage::Start(batch);
                    self.tell_host(home, host, agent.incarnation.0, message);
                }
                Step::Cancel { agent, keys } => {
                    let host = self.host(&agent.name);
                    self.tally.cancels += 1;
                    self.tell_host(home, host, agent.incarnation.0, EntryMessage::Cancel(keys));
                }
                Step::Ended { id, result } => self.ended(id, result),
            }
        }
        let wake = self.homes[home]
            .dispatcher
            .wake_at()
            .max(self.now + Micros(1));
        if wake < self.homes[home].wake {
            self.homes[home].wake = wake;
            self.at(wake, Event::WakeHome(home));
        }
    }

    fn host(&self, name: &str) -> usize {
        let place = self.hosts.iter().position(|h| &*h.worker.name == name);
        place.unwrap_or_default()
    }

    /// Entries confirm answers and tell each other the demand of teams.
    fn exchange(&mut self) {
        let now = self.now;
        for home in 0..self.homes.len() {
            let mut received: Vec<_> = self.homes[home].received.drain().collect();
            received.sort_unstable_by_key(|r| r.0);
            for ((host, life), keys) in received {
                self.tally.confirms += 1;
                self.tell_host(home, host, life, EntryMessage::AckAnswers(keys));
            }
            let id = self.homes[home].id.clone();
            let demand = self.homes[home].dispatcher.demand(now);
            for peer in (0..self.homes.len()).filter(|&p| p != home) {
                let peer = &mut self.homes[peer];
                peer.dispatcher.update_peer_demand(now, &id, &demand);
            }
        }
        self.at(now + EXCHANGE, Event::Exchange);
    }

    fn finish(mut self) -> Played {
        for (index, fate) in self.fates.iter().enumerate() {
            let arrival = &self.trace.arrivals[index];
            fate.check(arrival, index, &mut self.tally.violations);
        }
        let counters = self.homes.iter().map(|h| *h.dispatcher.counters());
        Played {
            counters: counters.collect(),
            fates: self.fates,
            tally: self.tally,
        }
    }
}

/// How long hosts are up before the first arrival.
pub(crate) const WARM_UP: Micros = Micros::from_secs(1);
