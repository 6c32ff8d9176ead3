//! The upstreams of one service, as lanes sorted by speed.

use super::policy::Ask;

/// An upstream that does the service.
#[derive(Debug, Clone)]
pub(crate) struct Lane {
    /// The row of the agent.
    pub(crate) agent: usize,
    /// Expected span of a task on an empty slot, in microseconds, round trip included.
    pub(crate) span: f64,
    /// Slots that other entries do not hold.
    pub(crate) mine: f64,
    /// Tasks that it may be sent now.
    pub(crate) open: u32,
    /// Attempts of this service that this entry has there.
    pub(crate) own: u32,
    /// Tasks there for each slot, in thousandths.
    pub(crate) fill: u32,
    /// Whether it may be given work at all.
    pub(crate) usable: bool,
}

/// The lanes of a service.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) lanes: Vec<Lane>,
}

impl Pool {
    /// Returns the lanes that may be sent a task now.
    pub(crate) fn open(&self, avoid: Option<usize>) -> Vec<usize> {
        let open = |(_, lane): &(usize, &Lane)| lane.open > 0 && Some(lane.agent) != avoid;
        let lanes = self.lanes.iter().enumerate().filter(open);
        lanes.map(|(index, _)| index).collect()
    }

    /// Returns the tasks at a lane's agent for each of its slots, in thousandths.
    pub(crate) fn fill(&self, lane: usize) -> u32 {
        self.lanes[lane].fill
    }

    /// Returns the open lane with the earliest expected finish, unless waiting for a faster one
    /// promises an earlier finish to the task at the end of the queue.
    pub(crate) fn earliest(&self, ask: Ask) -> Option<usize> {
        let open = self.open(ask.avoid);
        let best = open
            .into_iter()
            .min_by(|&a, &b| self.lanes[a].span.total_cmp(&self.lanes[b].span))?;
        let span = self.lanes[best].span;
        let faster = self
            .lanes
            .iter()
            .filter(|l| l.usable && l.span < span && l.open == 0);
        let ahead: f64 = faster.map(|l| l.mine * (span / l.span - 1.0)).sum();
        (ask.queued as f64 > ahead).then_some(best)
    }
}
