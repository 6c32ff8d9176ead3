//! Links of the model: what is sent, delayed, cut and ended.

use std::collections::BTreeSet;
use std::ops::Range;

use chervilring_core::runs::planner::LinkNo;
use chervilring_wire::{Micros, PlannerMessage, RunnerMessage, Time};

use super::{HOP, Happening, Way, Without, World};

/// How long a runner waits for the first word over a connection.
const DIAL_TIME: Micros = Micros::from_millis(100);

/// How much later a packet comes that is lost and sent again, in microseconds.
const REPEATED: Range<u64> = 20_000..400_000;

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
    /// What was sent, in order.
    pub(super) packets: Vec<Packet>,
    /// The packets that have not come yet, by their place.
    pub(super) waiting: BTreeSet<usize>,
    pub(super) open: bool,
    pub(super) dialled: Time,
    /// Whether the runner has heard anything over it.
    pub(super) heard: bool,
    /// Whether the runner has closed it: what was sent before still comes to the planner.
    pub(super) given_up: bool,
}

impl World {
    /// Has the other side hear of the end of links, unless they are cut.
    pub(super) fn end_links(&mut self, which: impl Fn(&Link) -> bool, end: &Packet) {
        let rows = self.links.iter().filter(|(_, l)| l.open && which(l));
        let ids: Vec<u64> = rows.map(|(&id, _)| id).collect();
        for id in ids {
            self.send(id, end.clone());
        }
    }

    pub(super) fn dial(&mut self, r: usize) {
        if self.runners[r].core.is_none() || self.now < self.runners[r].frozen {
            return;
        }
        for p in 0..self.planners.len() {
            let linked = |l: &Link| l.open && !l.given_up && l.planner == p && l.runner == r;
            if self.links.values().any(linked) || self.planners[p].core.is_none() {
                continue;
            }
            if self.is_cut(p, r, Way::ToPlanner) || self.is_cut(p, r, Way::ToRunner) {
                continue;
            }
            self.last_link += 1;
            let id = self.last_link;
            let link = Link {
                planner: p,
                runner: r,
                packets: Vec::new(),
                waiting: BTreeSet::new(),
                open: true,
                dialled: self.now,
                heard: false,
                given_up: false,
            };
            self.links.insert(id, link);
            self.wake_runner(r, |core, now| core.link_up(now, LinkNo(id)));
        }
    }

    pub(super) fn is_cut(&self, p: usize, r: usize, way: Way) -> bool {
        let holds = |&(cp, cr, cw, until): &(usize, usize, Way, Time)| {
            cp == p && cr == r && self.now < until && (cw == Way::Both || cw == way)
        };
        self.cuts.iter().any(holds)
    }

    pub(super) fn send(&mut self, link: u64, packet: Packet) {
        let Some(row) = self.links.get_mut(&link) else {
            return;
        };
        row.packets.push(packet);
        let place = row.packets.len() - 1;
        row.waiting.insert(place);
        let mut span = HOP;
        if self.now < self.lossy.0 && self.rng.f64() < self.lossy.1 {
            span += self.rng.u64(REPEATED);
        }
        self.at(span, Happening::Deliver(link, place));
    }

    /// Has a runner close connections over which it has heard nothing for too long.
    pub(super) fn give_up_dials(&mut self, r: usize) {
        let now = self.now;
        if self.runners[r].core.is_none() || now < self.runners[r].frozen {
            return;
        }
        let silent = |l: &Link| {
            let is_old = l.dialled.duration_until(now) >= DIAL_TIME;
            l.runner == r && l.open && !l.heard && !l.given_up && is_old
        };
        let rows = self.links.iter().filter(|(_, l)| silent(l));
        let ids: Vec<u64> = rows.map(|(&id, _)| id).collect();
        for id in ids {
            if let Some(row) = self.links.get_mut(&id) {
                row.given_up = true;
            }
            self.send(id, Packet::EndAtPlanner);
            self.wake_runner(r, |core, now| core.link_down(now, LinkNo(id)));
        }
    }

    pub(super) fn deliver(&mut self, link: u64, place: usize) {
        let Some(row) = self.links.get(&link) else {
            return;
        };
        let (p, r) = (row.planner, row.runner);
        let packet = row.packets[place].clone();
        let to_planner = packet.is_to_planner();
        let way = if to_planner {
            Way::ToPlanner
        } else {
            Way::ToRunner
        };
        let frozen = if to_planner {
            self.planners[p].frozen
        } else {
            self.runners[r].frozen
        };
        // Bytes on a cut way come later, as long as both ends keep the connection.
        let earlier = row.waiting.range(..place);
        let overtakes = earlier
            .clone()
            .any(|&e| row.packets[e].is_to_planner() == to_planner);
        if self.is_cut(p, r, way) || self.now < frozen {
            self.at(10_000, Happening::Deliver(link, place));
            return;
        }
        if overtakes {
            let span = if self.lossy.1 > 0.0 { 5_000 } else { 100 };
            self.at(span, Happening::Deliver(link, place));
            return;
        }
        if let Some(row) = self.links.get_mut(&link) {
            row.waiting.remove(&place);
        }
        let Some(row) = self.links.get(&link) else {
            return;
        };
        let id = LinkNo(link);
        match packet {
            Packet::ToPlanner(message) if row.open => {
                self.wake_planner(p, |core, now| core.message(now, id, message));
            }
            Packet::ToRunner(message) if row.open && !row.given_up => {
                if let Some(row) = self.links.get_mut(&link) {
                    row.heard = true;
                }
                self.wake_runner(r, |core, now| core.message(now, id, message));
            }
            Packet::EndAtPlanner => {
                self.shut(link);
                self.wake_planner(p, |core, now| core.link_down(now, id));
            }
            Packet::EndAtRunner => {
                let is_over = row.given_up;
                self.shut(link);
                if self.without != Without::LinkLoss && !is_over {
                    self.wake_runner(r, |core, now| core.link_down(now, id));
                }
            }
            Packet::ToPlanner(_) | Packet::ToRunner(_) => {}
        }
    }

    /// Has a runner take all its heartbeats as answered, on links that have ended as well.
    pub(super) fn answer_all(&mut self, r: usize) {
        let rows = self.links.iter().filter(|(_, l)| l.runner == r);
        let ids: Vec<u64> = rows.map(|(&id, _)| id).collect();
        for id in ids {
            let message = PlannerMessage::Heartbeat(u64::MAX);
            self.wake_runner(r, |core, now| core.message(now, LinkNo(id), message));
        }
    }

    /// Has a runner give up its links to a planner once nothing runs over them.
    pub(super) fn part(&mut self, p: usize, r: usize) {
        let of = |l: &Link| l.open && l.planner == p && l.runner == r;
        let rows = self.links.iter().filter(|(_, l)| of(l));
        let ids: Vec<u64> = rows.map(|(&id, _)| id).collect();
        for id in ids {
            self.wake_runner(r, |core, now| core.close_when_idle(now, LinkNo(id)));
        }
    }

    pub(super) fn shut(&mut self, link: u64) {
        if let Some(row) = self.links.get_mut(&link) {
            row.open = false;
        }
    }
}
