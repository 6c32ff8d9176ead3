//! An agent with fake entries and a fake upstream, and what must hold between them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use chervilring_core::agent::{
    Agent, AgentSettings, AgentStep, CallEnd, UpstreamCall, UpstreamEvent,
};
use chervilring_wire::{
    AgentId, AgentMessage, Attempt, EntryId, EntryMessage, Incarnation, Member, Micros, Origin,
    PastRing, Ring, RingVersion, StartBatch, SubmissionId, TaskAnswer, TaskIndex, TaskKey,
    TaskOutcome, TaskStart, Time, Verdict,
};

use crate::op::{Ask, ENTRIES, Op, is_keyed};

/// The pause that the agent may not notice.
pub(crate) const PAUSE: Micros = Micros::from_millis(700);

/// Starts remembered at most.
pub(crate) const BUDGET: usize = 12;

/// The lease of the upstream.
const LEASE: Micros = Micros::from_secs(3);

/// What an entry's life was told about an attempt.
type Told = BTreeMap<(EntryId, TaskKey), TaskOutcome>;

/// The world around one agent.
pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) agent: Agent,
    pub(crate) entries: Vec<EntryId>,
    pub(crate) up: Vec<bool>,
    pub(crate) ring: Ring,
    /// The rings before.
    rings: Vec<Ring>,
    pub(crate) calls: VecDeque<UpstreamCall>,
    /// Calls that the agent has given up; their ends are still to come.
    pub(crate) aborted: BTreeSet<TaskKey>,
    /// Attempts that started and were not reported as not sent.
    pub(crate) started: BTreeMap<TaskKey, EntryId>,
    /// Starts asked for over a link that was up: by whom, and the true deadline.
    asked: BTreeMap<TaskKey, Vec<(EntryId, Time, Origin)>>,
    pub(crate) told: Told,
    /// What each entry was told last.
    pub(crate) latest: BTreeMap<EntryId, TaskOutcome>,
    unconfirmed: BTreeMap<EntryId, Vec<TaskKey>>,
    /// The number of the last attempt.
    pub(crate) attempts: u32,
    lease: Time,
    slots: u32,
    closed: bool,
    /// The first thing that must not be, if any.
    pub(crate) fault: Option<String>,
}

impl World {
    pub(crate) fn new() -> Self {
        let now = Time(1_000_000);
        let id = AgentId {
            name: "w".into(),
            incarnation: Incarnation(1),
        };
        let settings = AgentSettings::new(id, "norte".into())
            .max_starts(BUDGET)
            .queue_capacity(4)
            .max_answer_bytes(1 << 20)
            .id_retention(Micros::from_secs(3_600))
            .pause_threshold(PAUSE)
            .stop_timeout(Micros::from_secs(60));
        let name = |n: usize| EntryId {
            name: format!("e{n}").into(),
            incarnation: Incarnation(1),
        };
        let mut world = Self {
            now,
            agent: Agent::new(settings, now),
            entries: (0..ENTRIES).map(name).collect(),
            up: vec![false; ENTRIES],
            ring: Ring::default(),
            rings: Vec::new(),
            calls: VecDeque::new(),
            aborted: BTreeSet::new(),
            started: BTreeMap::new(),
            asked: BTreeMap::new(),
            told: Told::new(),
            latest: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            attempts: 0,
            lease: now,
            slots: 0,
            closed: false,
            fault: None,
        };
        for entry in 0..ENTRIES {
            world.link(entry, true);
        }
        world.set_ring(7);
        world.announce(2);
        world
    }

    /// Runs one event.
    pub(crate) fn apply(&mut self, op: Op) {
        match op {
            Op::Start(ask) => self.ask(&ask, self.now),
            Op::End(end) => self.end(end),
            Op::Cancel(entry) => self.cancel(entry),
            Op::Link(entry, up) => self.link(entry, up),
            Op::Restart(entry) => self.restart(entry),
            Op::Ring(mask) => self.set_ring(mask),
            Op::Announce(slots) => self.announce(slots),
            Op::Leave => {
                self.closed = true;
                self.agent.upstream_event(self.now, UpstreamEvent::Leave);
                self.carry();
            }
            Op::Pass(span) => self.pass(span),
            Op::Freeze(span, asks) => self.freeze(span, &asks),
            Op::Confirm(entry) => self.confirm(entry),
        }
    }

    /// Has an entry ask for a start that it sent at `sent`; every ask is an attempt of its own.
    pub(crate) fn ask(&mut self, ask: &Ask, sent: Time) {
        self.attempts += 1;
        let attempt = if ask.ring == 0 {
            self.attempts
        } else {
            ask.id as u32
        };
        let key = TaskKey {
            submission: id(ask.id),
            index: TaskIndex(ask.index),
            attempt: Attempt(attempt),
        };
        let entry = self.entries[ask.entry].clone();
        let asked = self.asked.entry(key).or_default();
        if !self.up[ask.entry] || asked.iter().any(|(e, ..)| *e == entry) {
            return;
        }
        let origin = if is_keyed(ask.id) {
            Origin::ClientKey
        } else {
            Origin::Generated
        };
        asked.push((entry.clone(), sent + ask.remaining, origin));
        let task = TaskStart {
            key,
            origin,
            service: "parts".into(),
            remaining: ask.remaining,
            idempotent: ask.idempotent,
            media: "text/plain".into(),
            body: vec![1, 2, 3].into(),
        };
        let ring = RingVersion(self.ring.version.0.saturating_add_signed(ask.ring));
        let batch = StartBatch {
            ring,
            tasks: vec![task],
        };
        self.agent
            .entry_message(self.now, &entry, EntryMessage::Start(batch));
        self.carry();
    }

    /// Ends the oldest call.
    pub(crate) fn end(&mut self, end: CallEnd) {
        let Some(call) = self.calls.pop_front() else {
            return;
        };
        let aborted = self.aborted.remove(&call.key);
        let end = if aborted { CallEnd::Aborted } else { end };
        if matches!(end, CallEnd::NotSent | CallEnd::Refused { .. }) {
            self.started.remove(&call.key);
        }
        if matches!(end, CallEnd::NotSent) {
            self.lease = self.now;
        }
        self.agent.call_ended(self.now, call.key, end);
        self.carry();
    }

    pub(crate) fn link(&mut self, entry: usize, up: bool) {
        let id = self.entries[entry].clone();
        if self.up[entry] == up {
            return;
        }
        self.up[entry] = up;
        if up {
            self.agent.entry_up(self.now, &id);
        } else {
            // What the entry has not confirmed may have been lost on the way.
            for key in self.unconfirmed.remove(&id).unwrap_or_default() {
                self.told.remove(&(id.clone(), key));
            }
            self.agent.entry_down(self.now, &id);
        }
        self.carry();
        if up && self.ring.version > RingVersion(0) {
            let message = EntryMessage::Ring(self.ring.clone());
            self.agent.entry_message(self.now, &id, message);
            self.carry();
        }
    }

    pub(crate) fn restart(&mut self, entry: usize) {
        self.link(entry, false);
        self.entries[entry].incarnation.0 += 1;
        self.link(entry, true);
    }

    /// Makes a ring of the entries whose bit is set.
    pub(crate) fn set_ring(&mut self, mask: u8) {
        let chosen = (0..ENTRIES).filter(|n| mask >> n & 1 == 1);
        let members: Vec<_> = chosen
            .map(|n| Member {
                entry: self.entries[n].clone(),
                domain: "norte".into(),
                addr: ([127, 0, 0, 1], 1_000 + n as u16).into(),
                draining: false,
            })
            .collect();
        self.ring.past.push(PastRing::from(&self.ring));
        self.rings.push(self.ring.clone());
        self.ring.version.0 += 1;
        self.ring.members = members;
        let Some(teller) = (0..ENTRIES).find(|&n| self.up[n]) else {
            return;
        };
        let from = self.entries[teller].clone();
        self.agent
            .entry_message(self.now, &from, EntryMessage::Ring(self.ring.clone()));
        self.carry();
    }

    pub(crate) fn announce(&mut self, slots: u32) {
        self.closed = false;
        self.lease = self.now + LEASE;
        self.slots = slots;
        self.agent.upstream_event(
            self.now,
            UpstreamEvent::Announce {
                url: "http://127.0.0.1:1".into(),
                services: vec!["parts".into()],
                labels: Vec::new(),
                slots,
                connections: 64,
                lease: LEASE,
            },
        );
        self.carry();
    }

    /// Lets time pass; the agent runs as it asks to.
    pub(crate) fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now = self
                .agent
                .wake_at()
                .max(self.now + Micros::from_millis(1))
                .min(until);
            self.agent.tick(self.now);
            self.carry();
        }
    }

    fn freeze(&mut self, span: Micros, asks: &[Ask]) {
        let sent = self.now;
        self.now = self.now + span;
        for ask in asks {
            self.ask(ask, sent);
        }
        self.agent.tick(self.now);
        self.carry();
    }

    fn cancel(&mut self, entry: usize) {
        let id = self.entries[entry].clone();
        let asked = self
            .asked
            .iter()
            .filter(|(_, by)| by.iter().any(|(e, ..)| *e == id));
        let keys: Vec<_> = asked.map(|(key, _)| *key).collect();
        if self.up[entry] {
            self.agent
                .entry_message(self.now, &id, EntryMessage::Cancel(keys));
            self.carry();
        }
    }

    pub(crate) fn confirm(&mut self, entry: usize) {
        let id = self.entries[entry].clone();
        if self.up[entry] {
            let keys = self.unconfirmed.remove(&id).unwrap_or_default();
            self.agent
                .entry_message(self.now, &id, EntryMessage::AckAnswers(keys));
            self.carry();
        }
    }

    /// Begins the stop.
    pub(crate) fn stop(&mut self) {
        self.closed = true;
        self.agent.begin_stop(self.now);
        self.carry();
    }

    /// Carries out what the agent wants done.
    pub(crate) fn carry(&mut self) -> Vec<AgentStep> {
        let steps = self.agent.drain();
        for step in &steps {
            match step {
                AgentStep::SendToEntry { to, message } => self.hear(to, message),
                AgentStep::CallUpstream(call) => self.begin(call.clone()),
                AgentStep::AbortCall(key) => {
                    self.aborted.insert(*key);
                }
                AgentStep::Announce(_) | AgentStep::Connect(_) | AgentStep::Exit => {}
            }
        }
        steps
    }

    /// Returns a fault unless every start that a living entry asked for is answered.
    pub(crate) fn unanswered(&self) -> Option<String> {
        for (key, by) in &self.asked {
            for (entry, ..) in by {
                if self.entries.contains(entry) && !self.told.contains_key(&(entry.clone(), *key)) {
                    return Some(format!("{key} of {entry} was not answered"));
                }
            }
        }
        None
    }

    fn begin(&mut self, call: UpstreamCall) {
        self.check_call(&call);
        let home = self.ring.home(call.key.submission).map(|m| m.entry.clone());
        let by = &self.asked[&call.key];
        let sender = by.iter().find(|(e, ..)| Some(e) == home.as_ref());
        let sender = sender.unwrap_or(&by[0]).0.clone();
        self.started.insert(call.key, sender);
        self.calls.push_back(call);
    }

    /// Returns whether an entry is a member, and the home of an id now or in an earlier ring.
    fn is_or_was_home(&self, entry: &EntryId, id: SubmissionId) -> bool {
        let member = self.ring.members.iter().any(|m| m.entry == *entry);
        let rings = self.rings.iter().chain([&self.ring]);
        let mut homes = rings.filter_map(|ring| ring.home(id));
        member && homes.any(|home| home.entry == *entry)
    }

    fn check_call(&mut self, call: &UpstreamCall) {
        let key = call.key;
        let Some(by) = self.asked.get(&key) else {
            return self.fail(format!("{key} started without being asked for"));
        };
        let lawful = |(e, _, origin): &(EntryId, Time, Origin)| {
            *origin == Origin::Generated || self.is_or_was_home(e, key.submission)
        };
        let deadline = by
            .iter()
            .map(|(_, deadline, _)| *deadline)
            .max()
            .unwrap_or_default();
        let task = |k: &TaskKey| (k.submission, k.index) == (key.submission, key.index);
        if !by.iter().any(lawful) {
            self.fail(format!("{key} started for an entry that does not hold it"));
        } else if self.started.contains_key(&key) {
            self.fail(format!("{key} started twice"));
        } else if !call.idempotent && self.started.keys().any(task) {
            self.fail(format!("{key} started again"));
        } else if self.calls.len() >= self.slots as usize {
            self.fail(format!("{key} started beyond {} slots", self.slots));
        } else if self.closed || self.now >= self.lease {
            self.fail(format!("{key} started after the upstream had left"));
        } else if self.now >= deadline + PAUSE {
            self.fail(format!("{key} started late"));
        } else if self.started.len() >= BUDGET {
            self.fail(format!("{key} started beyond the table's limit"));
        }
    }

    fn hear(&mut self, to: &EntryId, message: &AgentMessage) {
        let place = self.entries.iter().position(|e| e == to);
        if !place.is_some_and(|n| self.up[n]) {
            return self.fail(format!("{to} was sent to without a link"));
        }
        match message {
            AgentMessage::Answers(answers) => answers.iter().for_each(|a| self.answer(to, a)),
            AgentMessage::Installed { ring, started, .. } => self.check_report(to, *ring, started),
            AgentMessage::Load(_) => {}
        }
    }

    fn answer(&mut self, to: &EntryId, answer: &TaskAnswer) {
        let key = answer.key;
        if let TaskOutcome::Failed(failure) = &answer.outcome
            && failure.verdict == Verdict::NotRun
            && self.started.get(&key) == Some(to)
        {
            self.fail(format!("{key} was called not run and had started"));
        }
        self.latest.insert(to.clone(), answer.outcome.clone());
        let before = self.told.insert((to.clone(), key), answer.outcome.clone());
        if before.is_some_and(|b| b != answer.outcome) {
            self.fail(format!("{key} was answered in two ways"));
        }
        self.unconfirmed.entry(to.clone()).or_default().push(key);
    }

    /// Checks that a report names all started ids that the ring brings to the entry.
    fn check_report(&mut self, to: &EntryId, ring: RingVersion, ids: &[SubmissionId]) {
        if ring != self.ring.version {
            return;
        }
        let keyed = |key: &TaskKey| {
            self.asked[key]
                .iter()
                .any(|(.., o)| *o == Origin::ClientKey)
        };
        let missing = self.started.iter().find(|(key, from)| {
            let home = self
                .ring
                .home(key.submission)
                .is_some_and(|m| m.entry == *to);
            home && *from != to && keyed(key) && !ids.contains(&key.submission)
        });
        if let Some((key, _)) = missing {
            self.fail(format!("{key} is missing in the report to {to}"));
        }
    }

    fn fail(&mut self, what: String) {
        self.fault.get_or_insert(what);
    }
}

/// Returns one of a few ids, every second one stamped.
pub(crate) fn id(n: usize) -> SubmissionId {
    let stamped = (0x0190_0000_0000_u128 + n as u128) << 80 | 7 << 76 | 2 << 62;
    let plain = 0x1234_5678_9abc_4def_8000_0000_0000_0000 + n as u128;
    SubmissionId(if n.is_multiple_of(2) {
        stamped + n as u128
    } else {
        plain
    })
}
