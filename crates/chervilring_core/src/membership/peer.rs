//! The other members of the ring, as receivers of heartbeats.

use std::collections::VecDeque;

use chervilring_wire::{AgentId, CorrelationId, InDoubt, SubmissionId, Time};

use super::constants::OPEN_BEATS;
use super::outbox::Outbox;

/// A change in the agents that the entry uses.
#[derive(Debug, Clone)]
pub(crate) enum AgentChange {
    /// The entry will use the agent, in the given round of using it; `held` when it waits for
    /// this peer to confirm.
    Used {
        /// The agent.
        agent: AgentId,
        /// Tells apart the times that the entry took the agent up.
        round: u32,
        /// Whether the first start waits for this peer.
        held: bool,
    },
    /// The entry uses the agent no more.
    Gone(AgentId),
}

/// How far the hand-over of ids to a peer has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Hand {
    /// Nothing to hand over, or all confirmed.
    Done,
    /// The entry has to be asked for the ids.
    Due,
    /// The entry was asked, and sends them once none of them runs any more.
    Asked,
    /// Sent ahead of this heartbeat.
    Sent(CorrelationId),
}

/// A heartbeat that has no answer yet.
#[derive(Debug)]
pub(crate) struct OpenBeat {
    pub(crate) ticket: CorrelationId,
    pub(crate) sent: Time,
    pub(crate) ids: u64,
    pub(crate) agents: u64,
    pub(crate) doubts: u64,
    pub(crate) whole: bool,
}

/// Another member of the ring.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) up: bool,
    pub(crate) beat: Time,
    pub(crate) ids: Outbox<SubmissionId>,
    pub(crate) agents: Outbox<AgentChange>,
    pub(crate) doubts: Outbox<InDoubt>,
    pub(crate) open: VecDeque<OpenBeat>,
    pub(crate) claimed: bool,
    pub(crate) told: bool,
    pub(crate) hand: Hand,
}

impl Peer {
    /// Creates a peer that has been told nothing.
    pub(crate) fn new(now: Time, up: bool) -> Self {
        Self {
            up,
            beat: now,
            ids: Outbox::default(),
            agents: Outbox::default(),
            doubts: Outbox::default(),
            open: VecDeque::new(),
            claimed: false,
            told: false,
            hand: Hand::Done,
        }
    }

    /// Notes a heartbeat that was sent.
    pub(crate) fn opened(&mut self, beat: OpenBeat) {
        if self.open.len() >= OPEN_BEATS {
            self.open.pop_front();
        }
        self.open.push_back(beat);
    }

    /// Takes the heartbeat of a ticket, and drops the older ones, which it includes.
    pub(crate) fn close(&mut self, ticket: CorrelationId) -> Option<OpenBeat> {
        while let Some(beat) = self.open.front() {
            if beat.ticket > ticket {
                return None;
            }
            let beat = self.open.pop_front()?;
            if beat.ticket == ticket {
                return Some(beat);
            }
        }
        None
    }

    /// Returns how much the peer has not confirmed.
    pub(crate) fn backlog(&self) -> usize {
        self.ids.len() + self.agents.len() + self.doubts.len()
    }
}
