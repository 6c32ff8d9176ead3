//! The other members of the ring as receivers of heartbeats.

use std::collections::VecDeque;

use chervilring_wire::{AgentId, CorrelationId, InDoubt, SubmissionId, Time};

use super::constants::UNACKED_HEARTBEAT_LIMIT;
use super::outbox::Outbox;

/// A change to the set of agents that this entry uses.
#[derive(Debug, Clone)]
pub(crate) enum AgentChange {
    /// This entry will use the agent.
    Added {
        /// The agent.
        agent: AgentId,
        /// Distinguishes the occasions on which this entry added the agent.
        generation: u32,
        /// Whether the first start waits for this peer's acknowledgement.
        awaits_ack: bool,
    },
    /// This entry no longer uses the agent.
    Removed(AgentId),
}

/// The state of the hand-over of ids to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HandoverState {
    /// There is nothing to hand over, or everything is acknowledged.
    Idle,
    /// The hand-over has to be requested.
    Due,
    /// The hand-over is requested. The ids are sent once none of them is running.
    Requested,
    /// The ids were sent before the heartbeat with this correlation id.
    Sent(CorrelationId),
}

/// A sent heartbeat that is not acknowledged yet, with the positions in the outboxes up to which it
/// carried items.
#[derive(Debug)]
pub(crate) struct UnackedHeartbeat {
    pub(crate) correlation: CorrelationId,
    pub(crate) sent_at: Time,
    pub(crate) ids_end: u64,
    pub(crate) agents_end: u64,
    pub(crate) in_doubt_end: u64,
    pub(crate) complete: bool,
}

/// Another member of the ring.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) link_up: bool,
    pub(crate) next_heartbeat: Time,
    pub(crate) ids: Outbox<SubmissionId>,
    pub(crate) agents: Outbox<AgentChange>,
    pub(crate) in_doubt: Outbox<InDoubt>,
    pub(crate) unacked: VecDeque<UnackedHeartbeat>,
    pub(crate) sent_complete: bool,
    pub(crate) acked_complete: bool,
    pub(crate) handover: HandoverState,
}

impl Peer {
    /// Creates a peer to which nothing has been sent.
    pub(crate) fn new(now: Time, link_up: bool) -> Self {
        Self {
            link_up,
            next_heartbeat: now,
            ids: Outbox::default(),
            agents: Outbox::default(),
            in_doubt: Outbox::default(),
            unacked: VecDeque::new(),
            sent_complete: false,
            acked_complete: false,
            handover: HandoverState::Idle,
        }
    }

    /// Records a sent heartbeat. The oldest one is dropped when there are too many.
    pub(crate) fn record_sent(&mut self, heartbeat: UnackedHeartbeat) {
        if self.unacked.len() >= UNACKED_HEARTBEAT_LIMIT {
            self.unacked.pop_front();
        }
        self.unacked.push_back(heartbeat);
    }

    /// Removes and returns the heartbeat with a correlation id. Earlier heartbeats are dropped,
    /// because the later one includes their items.
    pub(crate) fn take_unacked(&mut self, correlation: CorrelationId) -> Option<UnackedHeartbeat> {
        while let Some(heartbeat) = self.unacked.front() {
            if heartbeat.correlation > correlation {
                return None;
            }
            let heartbeat = self.unacked.pop_front()?;
            if heartbeat.correlation == correlation {
                return Some(heartbeat);
            }
        }
        None
    }

    /// Returns the number of items that the peer has not acknowledged.
    pub(crate) fn backlog(&self) -> usize {
        self.ids.len() + self.agents.len() + self.in_doubt.len()
    }
}
