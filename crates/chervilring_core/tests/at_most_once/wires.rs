//! Links of the world: connect, send, cut, mend.

use crate::net::{Node, Wire};
use crate::world::{Due, World};

const MS: u64 = 1_000;

impl World {
    /// Tries to connect two processes again after a while.
    pub(crate) fn reconnect(&mut self, a: Node, b: Node) {
        if matches!((a, b), (Node::Agent(_), Node::Agent(_))) {
            return;
        }
        let span = self.rng.range(2 * MS, 300 * MS);
        self.after(span, Due::Connect(a, b));
    }

    /// Connects two processes, if both run, nothing is cut and no connection is up.
    pub(crate) fn connect(&mut self, a: Node, b: Node) {
        let (a, b) = (a.min(b), a.max(b));
        let lives = [self.procs[&a].life, self.procs[&b].life];
        if !self.procs[&a].runs() || !self.procs[&b].runs() {
            if self.procs[&a].up && self.procs[&b].up {
                self.reconnect(a, b);
            }
            return;
        }
        let at = self.now + self.rng.range(MS, 4 * MS);
        let (link, _) = self.net.link(a, b);
        if link.up != [false; 2] || link.alive {
            return;
        }
        if link.cut {
            return self.reconnect(a, b);
        }
        link.epoch += 1;
        link.alive = true;
        link.last = [at; 2];
        let epoch = link.epoch;
        link.lives.insert(epoch, lives);
        self.at(at, Due::Up(a, b, epoch));
        self.at(at, Due::Up(b, a, epoch));
    }

    /// Sends a message to one life of a process over the connection that is up, `held` later.
    pub(crate) fn send(&mut self, from: Node, to: (Node, u64), held: u64, wire: Wire) {
        let (to, life) = to;
        let delay = held + self.rng.range(300, 3 * MS);
        let now = self.now;
        let (link, side) = self.net.link(from, to);
        if !link.alive || !link.up[side] {
            return;
        }
        let epoch = link.epoch;
        if link.lives[&epoch][1 - side] != life {
            return;
        }
        let at = link.last[side].max(now + delay);
        link.last[side] = at;
        self.at(at, Due::Arrive(from, to, epoch, wire));
    }

    /// Takes in a message that has come over, or keeps it while the link is cut.
    pub(crate) fn arrive(&mut self, from: Node, to: Node, epoch: u32, wire: Wire) {
        let (link, _) = self.net.link(from, to);
        if link.epoch != epoch || !link.alive {
            return;
        }
        if link.cut {
            link.waiting.push((from, to, wire));
            return;
        }
        self.deliver(to, Due::Arrive(from, to, epoch, wire));
    }

    /// Cuts a link; each side takes it for down after a while, unless it is mended before.
    pub(crate) fn cut(&mut self, a: Node, b: Node) {
        let spans = [
            self.rng.range(300 * MS, 4_000 * MS),
            self.rng.range(300 * MS, 4_000 * MS),
        ];
        let (link, _) = self.net.link(a, b);
        if link.cut {
            return;
        }
        link.cut = true;
        let (epoch, alive) = (link.epoch, link.alive);
        if alive {
            self.after(spans[0], Due::Silent(a, b, epoch));
            self.after(spans[1], Due::Silent(b, a, epoch));
        }
    }

    /// Has one side of a link that is still cut give the connection up.
    pub(crate) fn silent(&mut self, a: Node, b: Node, epoch: u32) {
        let span = self.rng.range(MS, 2_000 * MS);
        let (link, _) = self.net.link(a, b);
        if link.epoch != epoch || !link.cut || !link.alive {
            return;
        }
        link.alive = false;
        link.waiting.clear();
        self.after(0, Due::Down(a, b, epoch));
        self.after(span, Due::Down(b, a, epoch));
    }

    /// Mends all cuts.
    pub(crate) fn heal(&mut self) {
        self.cut_store.fill(false);
        let links: Vec<_> = self.net.0.keys().copied().collect();
        for (a, b) in links {
            let (link, _) = self.net.link(a, b);
            if !link.cut {
                continue;
            }
            link.cut = false;
            let epoch = link.epoch;
            for (from, to, wire) in std::mem::take(&mut link.waiting) {
                self.after(MS, Due::Arrive(from, to, epoch, wire));
            }
            self.reconnect(a, b);
        }
    }
}
