//! Links of the model: sending, delays, cuts and closing.

use std::collections::BTreeSet;
use std::ops::Range;

use chervilring_core::runs::planner::LinkNo;
use chervilring_wire::{Micros, PlannerMessage, RunEnd, RunnerMessage, Time};

use super::{Direction, Event, HOP, Without, World};

/// How long a runner waits for the first message over a connection.
const CONNECT_TIMEOUT: Micros = Micros::from_millis(100);

/// The additional delay of a packet that is lost and retransmitted, in microseconds.
const RETRANSMIT_DELAY: Range<u64> = 20_000..400_000;

/// A message on a link.
#[derive(Debug, Clone)]
pub(super) enum Packet {
    ToPlanner(RunnerMessage),
    ToRunner(PlannerMessage),
    /// The runner has closed the link.
    EndAtPlanner,
    /// The planner has closed the link.
    EndAtRunner,
}

impl Packet {
    pub(super) fn is_to_planner(&self) -> bool {
        matches!(self, Self::ToPlanner(_) | Self::EndAtPlanner)
    }
}

pub(super) struct Link {
    pub(super) planner: usize,
    pub(super) runner: usize,
    /// The packets sent, in order.
    pub(super) packets: Vec<Packet>,
    /// The indices of the packets that have not arrived yet.
    pub(super) in_transit: BTreeSet<usize>,
    pub(super) open: bool,
    pub(super) dialled: Time,
    /// Whether the runner has received anything over it.
    pub(super) received: bool,
    /// Whether the runner has closed it. Packets sent before still reach the planner.
    pub(super) closed_by_runner: bool,
}

impl World {
    /// Notifies the other side of the end of links, unless they are cut.
    pub(super) fn end_links(&mut self, which: impl Fn(&Link) -> bool, end: &Packet) {
        let rows = self.links.iter().filter(|(_, l)| l.open && which(l));
        let ids: Vec<u64> = rows.map(|(&id, _)| id).collect();
        for id in ids {
            self.send(id, end.clone());
        }
    }

    pub(super) fn dial(&mut self, r: usize) {
        if self.runners[r].core.is_none() || self.now < self.runners[r].paused_until {
            return;
        }
        for p in 0..self.planners.len() {
            let is_linked =
                |l: &Link| l.open && !l.closed_by_runner && l.planner == p && l.runner == r;
            if self.links.values().any(is_linked) || self.planners[p].core.is_none() {
                continue;
            }
            if self.is_cut(p, r, Direction::ToPlanner) || self.is_cut(p, r, Direction::ToRunner) {
                continue;
            }
            self.last_link += 1;
            let id = self.last_link;
            let link = Link {
                planner: p,
                runner: r,
                packets: Vec::new(),
                in_transit: BTreeSet::new(),
                open: true,
                dialled: self.now,
                received: false,
                closed_by_runner: false,
            };
            self.links.insert(id, link);
            self.wake_runner(r, |core, now| core.link_up(now, LinkNo(id)));
        }
    }

    pub(super) fn is_cut(&self, p: usize, r: usize, way: Direction) -> bool {
        let applies = |&(cp, cr, cw, until): &(usize, usize, Direction, Time)| {
            cp == p && cr == r && self.now < until && (cw == Direction::Both || cw == way)
        };
        self.cuts.iter().any(applies)
    }

    pub(super) fn send(&mut self, link: u64, packet: Packet) {
        let is_sharing = matches!(
            packet,
            Packet::ToPlanner(RunnerMessage::Evacuations(_))
                | Packet::ToRunner(PlannerMessage::Evacuations(_))
        );
        let to_runner = matches!(packet, Packet::ToRunner(_));
        let is_left_out = match self.without {
            Without::EvacuationSharing => is_sharing,
            Without::EvacuationCheck => is_sharing && to_runner,
            _ => false,
        };
        if is_left_out {
            return;
        }
        let packet = self.reordered(packet);
        let packet = altered(self.without, packet);
        let Some(row) = self.links.get_mut(&link) else {
            return;
        };
        row.packets.push(packet);
        let index = row.packets.len() - 1;
        row.in_transit.insert(index);
        let mut delay = HOP;
        if self.now < self.lossy.0 && self.rng.f64() < self.lossy.1 {
            delay += self.rng.u64(RETRANSMIT_DELAY);
        }
        if self.hop_jitter > 0 {
            delay += self.rng.u64(0..=self.hop_jitter);
        }
        self.at(delay, Event::Deliver(link, index));
    }

    /// Closes connections over which a runner has received nothing for too long.
    pub(super) fn close_silent_dials(&mut self, r: usize) {
        let now = self.now;
        if self.runners[r].core.is_none() || now < self.runners[r].paused_until {
            return;
        }
        let is_silent = |l: &Link| {
            let is_overdue = l.dialled.duration_until(now) >= CONNECT_TIMEOUT;
            l.runner == r && l.open && !l.received && !l.closed_by_runner && is_overdue
        };
        let rows = self.links.iter().filter(|(_, l)| is_silent(l));
        let ids: Vec<u64> = rows.map(|(&id, _)| id).collect();
        for id in ids {
            if let Some(row) = self.links.get_mut(&id) {
                row.closed_by_runner = true;
            }
            self.send(id, Packet::EndAtPlanner);
            self.wake_runner(r, |core, now| core.link_down(now, LinkNo(id)));
        }
    }

    pub(super) fn deliver(&mut self, link: u64, index: usize) {
        let Some(row) = self.links.get(&link) else {
            return;
        };
        let (p, r) = (row.planner, row.runner);
        let packet = row.packets[index].clone();
        let to_planner = packet.is_to_planner();
        let way = if to_planner {
            Direction::ToPlanner
        } else {
            Direction::ToRunner
        };
        let paused_until = if to_planner {
            self.planners[p].paused_until
        } else {
            self.runners[r].paused_until
        };
        // Packets on a cut link arrive later, as long as both ends keep the connection.
        let earlier = row.in_transit.range(..index);
        let overtakes = earlier
            .clone()
            .any(|&e| row.packets[e].is_to_planner() == to_planner);
        if self.is_cut(p, r, way) || self.now < paused_until {
            self.at(10_000, Event::Deliver(link, index));
            return;
        }
        if overtakes {
            let delay = if self.lossy.1 > 0.0 { 5_000 } else { 100 };
            self.at(delay, Event::Deliver(link, index));
            return;
        }
        if let Some(row) = self.links.get_mut(&link) {
            row.in_transit.remove(&index);
        }
        let Some(row) = self.links.get(&link) else {
            return;
        };
        let id = LinkNo(link);
        match packet {
            Packet::ToPlanner(message) if row.open => {
                self.record_told(p, link, &message);
                self.wake_planner(p, |core, now| core.message(now, id, message));
            }
            Packet::ToRunner(message) if row.open && !row.closed_by_runner => {
                if let Some(row) = self.links.get_mut(&link) {
                    row.received = true;
                }
                self.wake_runner(r, |core, now| core.message(now, id, message));
            }
            Packet::EndAtPlanner => {
                self.mark_closed(link);
                self.losses.close_link(link);
                self.wake_planner(p, |core, now| core.link_down(now, id));
            }
            Packet::EndAtRunner => {
                let is_over = row.closed_by_runner;
                self.mark_closed(link);
                if self.without != Without::LinkLossDetection && !is_over {
                    self.wake_runner(r, |core, now| core.link_down(now, id));
                }
            }
            Packet::ToPlanner(_) | Packet::ToRunner(_) => {}
        }
    }

    /// Makes a runner treat all its heartbeats as acknowledged, also on links that have ended.
    pub(super) fn ack_heartbeats(&mut self, r: usize) {
        let rows = self.links.iter().filter(|(_, l)| l.runner == r);
        let ids: Vec<u64> = rows.map(|(&id, _)| id).collect();
        for id in ids {
            let message = PlannerMessage::Heartbeat(u64::MAX);
            self.wake_runner(r, |core, now| core.message(now, LinkNo(id), message));
        }
    }

    /// Marks a runner's links to a planner as surplus.
    pub(super) fn mark_surplus(&mut self, p: usize, r: usize) {
        let is_pair = |l: &Link| l.open && l.planner == p && l.runner == r;
        let rows = self.links.iter().filter(|(_, l)| is_pair(l));
        let ids: Vec<u64> = rows.map(|(&id, _)| id).collect();
        for id in ids {
            self.wake_runner(r, |core, now| core.close_when_idle(now, LinkNo(id)));
        }
    }

    pub(super) fn mark_closed(&mut self, link: u64) {
        if let Some(row) = self.links.get_mut(&link) {
            row.open = false;
        }
    }
}

/// Returns a packet without what a mechanism that is left out does to it.
fn altered(without: Without, mut packet: Packet) -> Packet {
    match (without, &mut packet) {
        (Without::CrashCounts, Packet::ToPlanner(RunnerMessage::Hello { link_seq, .. })) => {
            // As of a runner that does not tell crashes from other ends.
            *link_seq &= u64::MAX >> 8;
        }
        (Without::TrueEnds, Packet::ToPlanner(RunnerMessage::Ended { end, .. }))
            if *end != RunEnd::Done =>
        {
            *end = RunEnd::Failed;
        }
        _ => {}
    }
    packet
}
