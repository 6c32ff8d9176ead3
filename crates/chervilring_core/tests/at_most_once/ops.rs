//! What happens from outside: callers, faults and mends.

use chervilring_core::entry::Entry;
use chervilring_wire::Query;

use crate::callers::Callers;
use crate::net::Node;
use crate::schedule::Op;
use crate::world::{Due, World};

const MS: u64 = 1_000;

impl World {
    /// Carries out what happens from outside.
    pub(crate) fn operate(&mut self, op: Op) {
        self.note(|| format!("{op:?}"));
        let span = |ms: u16| u64::from(ms) * MS;
        match op {
            Op::Submit { id, entry } => self.submit(usize::from(id), usize::from(entry)),
            Op::Cancel { id, entry } => {
                if let (Some(id), true) = (self.callers.id(id.into()), self.runs(entry.into())) {
                    self.with_entry(entry.into(), |entry, now| {
                        entry.query(now, Callers::no_ticket(), id, Query::Cancel);
                    });
                }
            }
            Op::KillEntry(n) => self.kill(Node::Entry(n.into())),
            Op::KillAgent(n) => self.kill(Node::Agent(n.into())),
            Op::BootEntry(n) => self.after(0, Due::Boot(Node::Entry(n.into()))),
            Op::BootAgent(n) => self.after(0, Due::Boot(Node::Agent(n.into()))),
            Op::Leave(n) => {
                if self.runs(n.into()) {
                    self.with_entry(n.into(), Entry::leave);
                }
            }
            Op::PauseEntry(n, ms) => self.pause(Node::Entry(n.into()), span(ms)),
            Op::PauseAgent(n, ms) => self.pause(Node::Agent(n.into()), span(ms)),
            Op::PauseAtStart(n, ms) => self.brake[usize::from(n)] = span(ms),
            Op::Split { side, store } => self.split(side, store),
            Op::CutStore(n) => self.cut_store[usize::from(n)] = true,
            Op::CutAtEviction { entry, agents } => self.trap = Some((entry.into(), agents)),
            Op::Heal => self.heal(),
            Op::Outage(ms) => self.store.out = self.now + span(ms),
            Op::LoseAnswers(ms) => self.store.losing = self.now + span(ms),
            Op::SlowStore(ms) => self.store.slow = self.now + span(ms),
            Op::Jump(n, ms) => self.jump(Node::Entry(n.into()), ms.into()),
        }
    }

    /// Returns whether an entry is up and does not stand still; callers try another one else.
    fn runs(&self, n: usize) -> bool {
        self.procs[&Node::Entry(n)].runs()
    }

    /// Submits an id at an entry.
    pub(crate) fn submit(&mut self, id: usize, n: usize) {
        if !self.runs(n) {
            return;
        }
        let wall = self.wall();
        let (ticket, submission) = self.callers.submit(id, wall, &mut self.rng, self.exact);
        self.with_entry(n, |entry, now| entry.submit(now, ticket, submission));
    }

    fn split(&mut self, side: u8, store: bool) {
        let nodes = self.nodes();
        let inside = |k: usize| side >> (k % 8) & 1 == 1;
        for a in 0..nodes.len() {
            for b in a + 1..nodes.len() {
                if inside(a) != inside(b) {
                    self.cut(nodes[a], nodes[b]);
                }
            }
        }
        for (n, cut) in self.cut_store.iter_mut().enumerate() {
            *cut |= store && inside(n);
        }
    }

    /// Cuts an entry that another one has just seen evicted off from the others, and has callers
    /// submit new ids there, and again elsewhere.
    pub(crate) fn spring_trap(&mut self, n: usize) {
        let Some((target, agents)) = self.trap else {
            return;
        };
        let id = self.entry_id(target);
        let ring = self.entries[n].as_ref().map(Entry::ring);
        if n == target || ring.is_none_or(|ring| ring.contains(&id)) {
            return;
        }
        self.trap = None;
        let node = Node::Entry(target);
        for other in 0..self.entries.len() {
            if other != target {
                self.cut(node, Node::Entry(other));
                for agent in 0..self.agents.len() {
                    if agents >> agent & 1 == 1 {
                        self.cut(Node::Entry(other), Node::Agent(agent));
                    }
                }
            }
        }
        for k in 0..40 {
            self.extra += 1;
            let id = self.extra as u8;
            let at = self.now + k * 100 * MS;
            let entry = target as u8;
            self.at(at, Due::Op(Op::Submit { id, entry }));
            for _ in 0..2 {
                let at = at + self.rng.range(MS, 4_000 * MS);
                let entry = self.rng.range(0, self.entries.len() as u64 - 1) as u8;
                self.at(at, Due::Op(Op::Submit { id, entry }));
            }
        }
    }
}
