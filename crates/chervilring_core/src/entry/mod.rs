//! The entry: submissions, their ids and their callers.
//!
//! [`Entry`] joins the parts of an entry: the membership in the ring, the dispatcher of tasks, the
//! table of ids and the callers who wait. Events are handed in, [`Entry::run`] runs the systems
//! over the tables and [`Entry::drain`] returns what is to be carried out.

mod agents;
mod configuration;
mod counters;
mod ending;
mod forwards;
mod handover;
mod held;
mod ids;
mod intake;
mod limits;
mod passing;
mod peers;
mod queries;
mod status;
mod step;
#[cfg(test)]
mod tests;
mod waits;

use std::sync::Arc;

use chervilring_wire::{
    EntryId, Failure, Micros, Now, PeerMessage, Reason, Reply, Ring, SubmissionId, Time, Verdict,
};

use crate::config::Config;
use crate::dispatch::{Dispatcher, Step};
use crate::membership::{MemberStep, Membership, StoreEvent};

use agents::AgentTable;
use configuration::Revisions;
use forwards::ForwardTable;
use handover::HandoverTable;
use held::HeldTable;
use ids::IdTable;
use peers::PeerTable;
use waits::{Address, Caller, WaitTable};

pub use counters::EntryCounters;
pub use limits::{Limits, LimitsBuilder};
pub use status::{AgentView, EntryStatus, PeerView};
pub use step::{Change, EntryStep};

/// How often demand is reported and the window of ids moved on, in microseconds.
const HOUSEKEEPING: u64 = 250_000;

/// How long the replies of an entry that left the ring are awaited.
const LAST_REPLIES: Micros = Micros::from_secs(1);

/// An entry, free of I/O.
#[derive(Debug)]
pub struct Entry {
    id: EntryId,
    limits: Limits,
    membership: Membership,
    dispatcher: Dispatcher,
    config: Arc<Config>,
    revisions: Revisions,
    ids: IdTable,
    waits: WaitTable,
    held: HeldTable,
    forwards: ForwardTable,
    agents: AgentTable,
    peers: PeerTable,
    handovers: HandoverTable,
    counters: EntryCounters,
    /// Until when submissions are queued although no work may start.
    hold_until: Option<Time>,
    housekeeping: Time,
    stopping: bool,
    /// Whether the membership was asked to leave the ring.
    leaving: bool,
    local_ids: u64,
    steps: Vec<EntryStep>,
}

impl Entry {
    /// Creates an entry without configuration, peers and agents.
    pub fn new(
        id: EntryId,
        membership: Membership,
        dispatcher: Dispatcher,
        limits: Limits,
    ) -> Self {
        Self {
            id,
            ids: IdTable::new(&limits),
            limits,
            membership,
            dispatcher,
            config: Arc::new(Config::empty()),
            revisions: Revisions::default(),
            waits: WaitTable::default(),
            held: HeldTable::default(),
            forwards: ForwardTable::default(),
            agents: AgentTable::default(),
            peers: PeerTable::default(),
            handovers: HandoverTable::default(),
            counters: EntryCounters::default(),
            hold_until: None,
            housekeeping: Time::default(),
            stopping: false,
            leaving: false,
            local_ids: 0,
            steps: Vec::new(),
        }
    }

    /// Returns this life of the entry.
    pub fn id(&self) -> &EntryId {
        &self.id
    }

    /// Returns the ring in force here.
    pub fn ring(&self) -> &Ring {
        self.membership.ring()
    }

    /// Returns whether the entry takes work: it is a member, knows a configuration and is not
    /// stopping.
    pub fn is_ready(&self) -> bool {
        !self.stopping && self.ring().contains(&self.id) && self.revisions.is_loaded()
    }

    /// Returns whether no submission is running, held or on its way to another entry.
    pub fn is_idle(&self) -> bool {
        self.ids.running() == 0 && self.held.is_empty() && self.forwards.is_empty()
    }

    /// Takes in what came back from the platform's store.
    pub fn store(&mut self, now: Now, event: StoreEvent) {
        self.membership.handle_store_event(now, event);
    }

    /// Runs the systems over the tables.
    pub fn run(&mut self, now: Now) {
        self.keep_house(now);
        self.membership.tick(now);
        self.member_steps(now);
        self.retry_held(now);
        self.dispatch(now);
        self.leave_ring(now);
        self.expire_waits(now.mono);
        self.expire_forwards(now);
        self.hand_over(now);
        self.member_steps(now);
    }

    /// Returns when [`Entry::run`] is due without further events.
    pub fn wake_at(&self) -> Time {
        let parts = [
            self.membership.wake_at(),
            self.dispatcher.wake_at(),
            self.waits.next_expiry(),
            self.held.next_look(),
            self.forwards.next_expiry(),
            self.housekeeping,
        ];
        parts.into_iter().min().unwrap_or(Time::NEVER)
    }

    /// Takes the steps to be carried out, in order.
    pub fn drain(&mut self) -> Vec<EntryStep> {
        std::mem::take(&mut self.steps)
    }

    /// Makes up an id that no other entry and no earlier life of this one uses.
    fn local_id(&mut self) -> SubmissionId {
        self.local_ids += 1;
        let key = format!("{}/{}", self.id, self.local_ids);
        SubmissionId::from_key(&key)
    }

    /// Moves the window of ids on and reports demand with the next heartbeats.
    fn keep_house(&mut self, now: Now) {
        if now.mono < self.housekeeping {
            return;
        }
        self.housekeeping = Time(now.mono.0 + HOUSEKEEPING);
        self.ids.forget_expired(now);
        self.forget_agents(now);
        self.membership.set_demand(self.dispatcher.demand(now.mono));
        self.membership.set_revision(self.config.revision);
    }

    /// Carries out what the membership asks for.
    fn member_steps(&mut self, now: Now) {
        for step in self.membership.drain() {
            match step {
                MemberStep::Store(call) => self.steps.push(EntryStep::Store(call)),
                MemberStep::Peer { to, message } => {
                    self.steps.push(EntryStep::Peer { to, message });
                }
                MemberStep::Ring(ring) => self.ring_changed(now, &ring),
                MemberStep::HandOver { to, ring } => self.handovers.begin(to.entry, ring),
                MemberStep::Evicted => self.evicted(),
                MemberStep::Left => {
                    self.steps.push(EntryStep::Change(Change::Left));
                    self.steps.push(EntryStep::Left);
                }
            }
        }
        for agent in self.membership.drain_allowed() {
            self.dispatcher.allow_starts(&agent);
        }
    }

    /// Tells agents of a new ring, and waits no longer than needed for replies of former members.
    fn ring_changed(&mut self, now: Now, ring: &Ring) {
        self.steps
            .push(EntryStep::Change(Change::Ring(ring.version)));
        self.push_ring(ring);
        self.peers.await_new(now.mono, ring);
        self.forwards.leave_ring(ring, now.mono + LAST_REPLIES);
    }

    /// Runs the dispatcher and carries out its steps.
    fn dispatch(&mut self, now: Now) {
        let authority = self.membership.authority(now);
        let ring = self.ring().version;
        for step in self.dispatcher.run(now.mono, authority) {
            match step {
                Step::Start { agent, tasks } => self.start(ring, agent, tasks),
                Step::Cancel { agent, keys } => self.cancel_at(agent, keys),
                Step::Ended { id, result } => {
                    let reply = result.map_or_else(Reply::Failed, Reply::Complete);
                    self.ended(now, id, reply);
                }
            }
        }
    }

    /// Records how a submission ended and tells all who wait for it.
    fn ended(&mut self, now: Now, id: SubmissionId, reply: Reply) {
        match &reply {
            Reply::Complete(_) => self.counters.completed += 1,
            Reply::Failed(_) => self.counters.failed += 1,
            Reply::Pending(_) => {}
        }
        let told = self.told(now, id, reply.clone());
        for caller in self.waits.take(id) {
            self.reply(caller, told.clone());
        }
        if self.ids.end(id, reply) {
            self.membership.forget_started(id);
        }
    }

    /// Returns the reply as callers get it: with a verdict that this entry may give.
    fn told(&self, now: Now, id: SubmissionId, reply: Reply) -> Reply {
        let (Reply::Failed(failure), Some(origin)) = (&reply, self.ids.origin(id)) else {
            return reply;
        };
        let verdict = self.verdict(now, origin, failure.verdict);
        Reply::Failed(Failure {
            verdict,
            ..failure.clone()
        })
    }

    /// Answers callers who do not wait for the end.
    fn expire_waits(&mut self, now: Time) {
        for (id, caller) in self.waits.expired(now) {
            if let Some(progress) = self.dispatcher.progress(id) {
                self.reply(caller, Reply::Pending(progress));
            }
        }
    }

    /// Answers a caller here or at another entry.
    fn reply(&mut self, caller: Caller, reply: Reply) {
        let (address, reply) = caller.answer(reply);
        let step = match address {
            Address::Local(ticket) => EntryStep::Reply { ticket, reply },
            Address::Peer { entry, ticket } => EntryStep::Peer {
                to: entry,
                message: PeerMessage::Reply {
                    correlation: ticket,
                    reply,
                },
            },
        };
        self.steps.push(step);
    }

    /// Answers a caller with a failure.
    fn refuse(&mut self, caller: Caller, failure: Failure) {
        self.counters.refuse(failure.reason);
        self.reply(caller, Reply::Failed(failure));
    }

    /// Returns how many callers wait here for an answer.
    pub fn waiting(&self) -> usize {
        self.waits.len() + self.held.len() + self.forwards.len()
    }
}

/// Creates a failure with the span after which coming back is of use.
fn failure(verdict: Verdict, reason: Reason, retry: Option<Micros>) -> Failure {
    Failure {
        verdict,
        reason,
        retry_after: retry,
    }
}
