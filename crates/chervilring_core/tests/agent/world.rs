//! An agent with fake entries and a fake upstream, and the checks of their interaction.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use chervilring_core::agent::{
    Agent, AgentSettings, AgentStep, CallEnd, UpstreamCall, UpstreamEvent,
};
use chervilring_wire::{
    AgentId, AgentMessage, Attempt, EntryId, EntryMessage, Incarnation, Member, Micros, Origin,
    PastRing, Ring, RingVersion, StartBatch, SubmissionId, TaskAnswer, TaskIndex, TaskKey,
    TaskOutcome, TaskStart, Time, Verdict,
};

use crate::ops::{ENTRIES, Op, StartRequest, is_client_key};

/// The longest pause that the agent does not detect.
pub(crate) const PAUSE_THRESHOLD: Micros = Micros::from_millis(700);

/// The maximum number of starts that the agent remembers.
pub(crate) const MAX_STARTS: usize = 12;

/// The duration of the upstream's lease.
const LEASE: Micros = Micros::from_secs(3);

/// The answers that each incarnation of an entry has received, by attempt.
type Answers = BTreeMap<(EntryId, TaskKey), TaskOutcome>;

/// One agent with its entries and its upstream.
pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) agent: Agent,
    pub(crate) entries: Vec<EntryId>,
    pub(crate) up: Vec<bool>,
    pub(crate) ring: Ring,
    /// All rings before the current one.
    past_rings: Vec<Ring>,
    pub(crate) calls: VecDeque<UpstreamCall>,
    /// Calls that the agent has aborted and that have not ended yet.
    pub(crate) aborted: BTreeSet<TaskKey>,
    /// Started attempts and the entries that requested them, without attempts that ended as not
    /// sent or refused.
    pub(crate) started: BTreeMap<TaskKey, EntryId>,
    /// Starts requested over a link that was up: the entry, the deadline counted from when the
    /// request was sent, and the origin of the id.
    requested: BTreeMap<TaskKey, Vec<(EntryId, Time, Origin)>>,
    pub(crate) answers: Answers,
    /// The last answer that each entry has received.
    pub(crate) latest: BTreeMap<EntryId, TaskOutcome>,
    unacked: BTreeMap<EntryId, Vec<TaskKey>>,
    /// The number of the last attempt.
    pub(crate) last_attempt: u32,
    /// The time at which the upstream's lease expires.
    lease_deadline: Time,
    slots: u32,
    /// Whether no task may start because the upstream has left or the agent stops.
    closed: bool,
    /// The first violation of a rule, if any.
    pub(crate) violation: Option<String>,
}

impl World {
    pub(crate) fn new() -> Self {
        let now = Time(1_000_000);
        let id = AgentId {
            name: "w".into(),
            incarnation: Incarnation(1),
        };
        let settings = AgentSettings::new(id, "norte".into())
            .max_starts(MAX_STARTS)
            .queue_capacity(4)
            .max_answer_bytes(1 << 20)
            .id_retention(Micros::from_secs(3_600))
            .pause_threshold(PAUSE_THRESHOLD)
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
            past_rings: Vec::new(),
            calls: VecDeque::new(),
            aborted: BTreeSet::new(),
            started: BTreeMap::new(),
            requested: BTreeMap::new(),
            answers: Answers::new(),
            latest: BTreeMap::new(),
            unacked: BTreeMap::new(),
            last_attempt: 0,
            lease_deadline: now,
            slots: 0,
            closed: false,
            violation: None,
        };
        for entry in 0..ENTRIES {
            world.link(entry, true);
        }
        world.set_ring(7);
        world.announce(2);
        world
    }

    /// Applies one event.
    pub(crate) fn apply(&mut self, op: Op) {
        match op {
            Op::Start(request) => self.request_start(&request, self.now),
            Op::End(end) => self.end(end),
            Op::Cancel(entry) => self.cancel(entry),
            Op::Link(entry, up) => self.link(entry, up),
            Op::Restart(entry) => self.restart(entry),
            Op::Ring(mask) => self.set_ring(mask),
            Op::Announce(slots) => self.announce(slots),
            Op::Leave => {
                self.closed = true;
                self.agent.upstream_event(self.now, UpstreamEvent::Leave);
                self.run_steps();
            }
            Op::Pass(duration) => self.pass(duration),
            Op::Pause(duration, requests) => self.pause(duration, &requests),
            Op::AckAnswers(entry) => self.ack_answers(entry),
        }
    }

    /// Delivers the request of a start that an entry sent at `sent_at`.
    ///
    /// Under the newest ring each request is an attempt of its own.
    pub(crate) fn request_start(&mut self, request: &StartRequest, sent_at: Time) {
        self.last_attempt += 1;
        let attempt = if request.ring_offset == 0 {
            self.last_attempt
        } else {
            request.id as u32
        };
        let key = TaskKey {
            submission: id(request.id),
            index: TaskIndex(request.index),
            attempt: Attempt(attempt),
        };
        let entry = self.entries[request.entry].clone();
        let requests = self.requested.entry(key).or_default();
        if !self.up[request.entry] || requests.iter().any(|(e, ..)| *e == entry) {
            return;
        }
        let origin = if is_client_key(request.id) {
            Origin::ClientKey
        } else {
            Origin::Generated
        };
        requests.push((entry.clone(), sent_at + request.remaining, origin));
        let task = TaskStart {
            key,
            origin,
            service: "parts".into(),
            remaining: request.remaining,
            idempotent: request.idempotent,
            media: "text/plain".into(),
            body: vec![1, 2, 3].into(),
        };
        let ring = RingVersion(
            self.ring
                .version
                .0
                .saturating_add_signed(request.ring_offset),
        );
        let batch = StartBatch {
            ring,
            tasks: vec![task],
        };
        self.agent
            .entry_message(self.now, &entry, EntryMessage::Start(batch));
        self.run_steps();
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
            self.lease_deadline = self.now;
        }
        self.agent.call_ended(self.now, call.key, end);
        self.run_steps();
    }

    /// Brings the link to an entry up or down.
    pub(crate) fn link(&mut self, entry: usize, up: bool) {
        let id = self.entries[entry].clone();
        if self.up[entry] == up {
            return;
        }
        self.up[entry] = up;
        if up {
            self.agent.entry_up(self.now, &id);
        } else {
            // Answers that the entry has not acknowledged may have been lost in transit.
            for key in self.unacked.remove(&id).unwrap_or_default() {
                self.answers.remove(&(id.clone(), key));
            }
            self.agent.entry_down(self.now, &id);
        }
        self.run_steps();
        if up && self.ring.version > RingVersion(0) {
            let message = EntryMessage::Ring(self.ring.clone());
            self.agent.entry_message(self.now, &id, message);
            self.run_steps();
        }
    }

    /// Restarts an entry with the next incarnation.
    pub(crate) fn restart(&mut self, entry: usize) {
        self.link(entry, false);
        self.entries[entry].incarnation.0 += 1;
        self.link(entry, true);
    }

    /// Installs a ring of the entries whose bit is set, and has the first linked entry send it.
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
        self.past_rings.push(self.ring.clone());
        self.ring.version.0 += 1;
        self.ring.members = members;
        let Some(sender) = (0..ENTRIES).find(|&n| self.up[n]) else {
            return;
        };
        let from = self.entries[sender].clone();
        self.agent
            .entry_message(self.now, &from, EntryMessage::Ring(self.ring.clone()));
        self.run_steps();
    }

    /// Has the upstream announce itself.
    pub(crate) fn announce(&mut self, slots: u32) {
        self.closed = false;
        self.lease_deadline = self.now + LEASE;
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
        self.run_steps();
    }

    /// Lets time pass; the agent runs whenever it asked to be woken.
    pub(crate) fn pass(&mut self, duration: Micros) {
        let until = self.now + duration;
        while self.now < until {
            self.now = self
                .agent
                .wake_at()
                .max(self.now + Micros::from_millis(1))
                .min(until);
            self.agent.tick(self.now);
            self.run_steps();
        }
    }

    /// Pauses the agent; requests sent at the start of the pause are delivered at its end.
    fn pause(&mut self, duration: Micros, requests: &[StartRequest]) {
        let sent_at = self.now;
        self.now = self.now + duration;
        for request in requests {
            self.request_start(request, sent_at);
        }
        self.agent.tick(self.now);
        self.run_steps();
    }

    /// Has an entry cancel all tasks whose start it requested.
    fn cancel(&mut self, entry: usize) {
        let id = self.entries[entry].clone();
        let requested = self
            .requested
            .iter()
            .filter(|(_, by)| by.iter().any(|(e, ..)| *e == id));
        let keys: Vec<_> = requested.map(|(key, _)| *key).collect();
        if self.up[entry] {
            self.agent
                .entry_message(self.now, &id, EntryMessage::Cancel(keys));
            self.run_steps();
        }
    }

    /// Has an entry acknowledge all answers that it has received.
    pub(crate) fn ack_answers(&mut self, entry: usize) {
        let id = self.entries[entry].clone();
        if self.up[entry] {
            let keys = self.unacked.remove(&id).unwrap_or_default();
            self.agent
                .entry_message(self.now, &id, EntryMessage::AckAnswers(keys));
            self.run_steps();
        }
    }

    /// Begins the stop of the agent.
    pub(crate) fn stop(&mut self) {
        self.closed = true;
        self.agent.begin_stop(self.now);
        self.run_steps();
    }

    /// Carries out the agent's steps and returns them.
    pub(crate) fn run_steps(&mut self) -> Vec<AgentStep> {
        let steps = self.agent.drain();
        for step in &steps {
            match step {
                AgentStep::SendToEntry { to, message } => self.receive(to, message),
                AgentStep::CallUpstream(call) => self.start_call(call.clone()),
                AgentStep::AbortCall(key) => {
                    self.aborted.insert(*key);
                }
                AgentStep::Announce(_) | AgentStep::Connect(_) | AgentStep::Exit => {}
            }
        }
        steps
    }

    /// Returns a violation unless every start requested by a current incarnation is answered.
    pub(crate) fn unanswered(&self) -> Option<String> {
        for (key, by) in &self.requested {
            for (entry, ..) in by {
                if self.entries.contains(entry)
                    && !self.answers.contains_key(&(entry.clone(), *key))
                {
                    return Some(format!("{key} of {entry} was not answered"));
                }
            }
        }
        None
    }

    /// Starts a call of the upstream.
    fn start_call(&mut self, call: UpstreamCall) {
        self.check_call(&call);
        let home = self.ring.home(call.key.submission).map(|m| m.entry.clone());
        let by = &self.requested[&call.key];
        let sender = by.iter().find(|(e, ..)| Some(e) == home.as_ref());
        let sender = sender.unwrap_or(&by[0]).0.clone();
        self.started.insert(call.key, sender);
        self.calls.push_back(call);
    }

    /// Returns whether an entry is a member, and the home of an id now or in an earlier ring.
    fn is_or_was_home(&self, entry: &EntryId, id: SubmissionId) -> bool {
        let member = self.ring.members.iter().any(|m| m.entry == *entry);
        let rings = self.past_rings.iter().chain([&self.ring]);
        let mut homes = rings.filter_map(|ring| ring.home(id));
        member && homes.any(|home| home.entry == *entry)
    }

    /// Checks that a call is allowed.
    fn check_call(&mut self, call: &UpstreamCall) {
        let key = call.key;
        let Some(by) = self.requested.get(&key) else {
            return self.fail(format!("{key} started without being requested"));
        };
        let is_allowed = |(e, _, origin): &(EntryId, Time, Origin)| {
            *origin == Origin::Generated || self.is_or_was_home(e, key.submission)
        };
        let deadline = by
            .iter()
            .map(|(_, deadline, _)| *deadline)
            .max()
            .unwrap_or_default();
        let is_same_task = |k: &TaskKey| (k.submission, k.index) == (key.submission, key.index);
        if !by.iter().any(is_allowed) {
            self.fail(format!("{key} started for an entry that may not start it"));
        } else if self.started.contains_key(&key) {
            self.fail(format!("{key} started twice"));
        } else if !call.idempotent && self.started.keys().any(is_same_task) {
            self.fail(format!("{key} is not idempotent and had started before"));
        } else if self.calls.len() >= self.slots as usize {
            self.fail(format!(
                "{key} started while all {} slots were in use",
                self.slots
            ));
        } else if self.closed || self.now >= self.lease_deadline {
            self.fail(format!("{key} started while no work was accepted"));
        } else if self.now >= deadline + PAUSE_THRESHOLD {
            self.fail(format!("{key} started after its deadline"));
        } else if self.started.len() >= MAX_STARTS {
            self.fail(format!("{key} started while the start table was full"));
        }
    }

    /// Delivers a message to an entry.
    fn receive(&mut self, to: &EntryId, message: &AgentMessage) {
        let index = self.entries.iter().position(|e| e == to);
        if !index.is_some_and(|n| self.up[n]) {
            return self.fail(format!("a message was sent to {to} without a link"));
        }
        match message {
            AgentMessage::Answers(answers) => answers.iter().for_each(|a| self.on_answer(to, a)),
            AgentMessage::Installed { ring, started, .. } => self.check_report(to, *ring, started),
            AgentMessage::Load(_) => {}
        }
    }

    /// Checks and records an answer to an entry.
    fn on_answer(&mut self, to: &EntryId, answer: &TaskAnswer) {
        let key = answer.key;
        if let TaskOutcome::Failed(failure) = &answer.outcome
            && failure.verdict == Verdict::NotRun
            && self.started.get(&key) == Some(to)
        {
            self.fail(format!("{key} was reported as not run but had started"));
        }
        self.latest.insert(to.clone(), answer.outcome.clone());
        let previous = self
            .answers
            .insert((to.clone(), key), answer.outcome.clone());
        if previous.is_some_and(|p| p != answer.outcome) {
            self.fail(format!("{key} got two different answers"));
        }
        self.unacked.entry(to.clone()).or_default().push(key);
    }

    /// Checks that a report of the current ring lists all started ids that moved to the entry.
    fn check_report(&mut self, to: &EntryId, ring: RingVersion, ids: &[SubmissionId]) {
        if ring != self.ring.version {
            return;
        }
        let is_client_key = |key: &TaskKey| {
            self.requested[key]
                .iter()
                .any(|(.., o)| *o == Origin::ClientKey)
        };
        let missing = self.started.iter().find(|(key, from)| {
            let home = self
                .ring
                .home(key.submission)
                .is_some_and(|m| m.entry == *to);
            home && *from != to && is_client_key(key) && !ids.contains(&key.submission)
        });
        if let Some((key, _)) = missing {
            self.fail(format!("{key} is missing in the report to {to}"));
        }
    }

    /// Records a violation, unless there is one already.
    fn fail(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }
}

/// Returns the id of number `n`; ids of even numbers are timestamped.
pub(crate) fn id(n: usize) -> SubmissionId {
    let timestamped = (0x0190_0000_0000_u128 + n as u128) << 80 | 7 << 76 | 2 << 62;
    let plain = 0x1234_5678_9abc_4def_8000_0000_0000_0000 + n as u128;
    SubmissionId(if n.is_multiple_of(2) {
        timestamped + n as u128
    } else {
        plain
    })
}
