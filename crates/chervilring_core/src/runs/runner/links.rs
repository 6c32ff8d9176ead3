//! The links of a runner to planners.

use std::collections::VecDeque;

use chervilring_wire::{Evacuations, Micros, Time, UpstreamState};

use crate::runs::bounds::LINK_TIMEOUT;

/// How long starts may still be in transit over a surplus link.
const QUIET: Micros = Micros::from_millis(200);

/// A link to a planner.
#[derive(Debug)]
pub(super) struct Link {
    /// Whether the hello was sent.
    pub(super) hello_sent: bool,
    /// Whether any message of the planner has arrived.
    pub(super) planner_heard: bool,
    /// The sequence number of the newest heartbeat sent.
    pub(super) heartbeat_seq: u64,
    /// The heartbeats that are not acknowledged, with the time at which each was sent.
    pub(super) unacked: VecDeque<(u64, Time)>,
    /// The link is lost unless a heartbeat is acknowledged by this deadline.
    pub(super) deadline: Time,
    /// The sequence number of the newest start message received.
    pub(super) start_seq: u64,
    /// The last state that was sent.
    pub(super) sent_state: Option<UpstreamState>,
    /// Set once the link is surplus: when it may be closed, if no runs belong to it.
    pub(super) close_after: Option<Time>,
    /// The evacuated domains that the planner is known to hold.
    pub(super) evacuations: Evacuations,
}

impl Link {
    pub(super) fn new() -> Self {
        Self {
            hello_sent: false,
            planner_heard: false,
            heartbeat_seq: 0,
            unacked: VecDeque::new(),
            deadline: Time::NEVER,
            start_seq: 0,
            sent_state: None,
            close_after: None,
            evacuations: Evacuations::default(),
        }
    }

    /// Records that the hello was sent. From now on the planner may request runs, and it counts
    /// them as lost once the link is silent.
    pub(super) fn mark_hello_sent(&mut self, now: Time) {
        self.hello_sent = true;
        self.deadline = now + LINK_TIMEOUT;
    }

    /// Returns when the newest heartbeat that was acknowledged was sent.
    pub(super) fn confirmed(&self) -> Time {
        self.deadline - LINK_TIMEOUT
    }

    /// Returns whether the planner may count the link as lost.
    pub(super) fn is_overdue(&self, now: Time) -> bool {
        self.hello_sent && now > self.deadline
    }

    /// Marks the link as surplus, or postpones its closing because starts have arrived over it.
    pub(super) fn postpone_close(&mut self, now: Time) {
        self.close_after = Some(now + QUIET);
    }

    /// Returns the sequence number of the next heartbeat, which is sent now.
    pub(super) fn next_heartbeat(&mut self, now: Time) -> u64 {
        self.heartbeat_seq += 1;
        self.unacked.push_back((self.heartbeat_seq, now));
        self.heartbeat_seq
    }

    /// Processes the acknowledgement of heartbeats: the link is alive as of the time at which they
    /// were sent.
    pub(super) fn acknowledge(&mut self, acked: u64) {
        while let Some(&(seq, sent)) = self.unacked.front() {
            if seq > acked {
                return;
            }
            self.unacked.pop_front();
            self.deadline = self.deadline.max(sent + LINK_TIMEOUT);
        }
    }
}
