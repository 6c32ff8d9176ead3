//! Events in, steps out: what the daemons do for the cores.

use chervilring_core::agent::{Agent, AgentStep, CallEnd};
use chervilring_core::entry::{Change, Entry, EntryStep};
use chervilring_wire::{EntryId, Incarnation, Now, Time};

use crate::net::{Node, Wire};
use crate::world::{Due, World, agent_id};

const MS: u64 = 1_000;

/// Looks at the clock in a row after which a process may ask to be run at once.
const HASTY: u32 = 100;

impl World {
    /// Hands an event to the core of a running process.
    pub(crate) fn handle(&mut self, node: Node, due: Due) {
        match node {
            Node::Entry(n) => self.handle_entry(n, due),
            Node::Agent(n) => self.handle_agent(n, due),
        }
    }

    fn handle_entry(&mut self, n: usize, due: Due) {
        let life = self.procs[&Node::Entry(n)].life;
        match due {
            Due::Wake(_, l) if l == life => {
                self.with_entry(n, |_, _| {});
                self.check_wake(n);
            }
            Due::StoreEvent(_, l, event) if l == life => {
                self.with_entry(n, |entry, now| entry.store(now, event));
            }
            Due::Announce(_, l, announce) => {
                let Node::Agent(agent) = agent_node(&announce.agent.name) else {
                    return;
                };
                let mut ack = None;
                self.with_entry(n, |entry, now| ack = Some(entry.announce(now, &announce)));
                let back = self.procs[&Node::Agent(agent)].life == l;
                let cut = self.net.is_cut(Node::Entry(n), Node::Agent(agent));
                if let (Some(ack), true) = (ack, back && !cut) {
                    self.with_agent(agent, |agent, now| agent.announce_acked(now, &ack));
                }
            }
            Due::Up(_, peer, epoch) => self.entry_link(n, peer, epoch, true),
            Due::Down(_, peer, epoch) => self.entry_link(n, peer, epoch, false),
            Due::Arrive(from, _, epoch, wire) => self.entry_message(n, from, epoch, wire),
            _ => {}
        }
    }

    fn entry_link(&mut self, n: usize, peer: Node, epoch: u32, up: bool) {
        let life = self.life_at(Node::Entry(n), peer, epoch);
        match peer {
            Node::Entry(other) => {
                let id = entry_id(other, life);
                self.with_entry(n, |entry, now| {
                    if up {
                        entry.peer_up(now, &id);
                    } else {
                        entry.peer_down(now, &id);
                    }
                });
            }
            Node::Agent(other) => {
                let id = agent_id(other, life);
                self.with_entry(n, |entry, now| {
                    if up {
                        entry.agent_up(now, &id);
                    } else {
                        entry.agent_down(now, &id);
                    }
                });
            }
        }
    }

    fn entry_message(&mut self, n: usize, from: Node, epoch: u32, wire: Wire) {
        let life = self.life_at(Node::Entry(n), from, epoch);
        match (from, wire) {
            (Node::Entry(other), Wire::Peer(message)) => {
                let id = entry_id(other, life);
                self.with_entry(n, |entry, now| entry.peer_message(now, &id, message));
            }
            (Node::Agent(other), Wire::ToEntry(message)) => {
                let id = agent_id(other, life);
                self.with_entry(n, |entry, now| entry.agent_message(now, &id, message));
            }
            _ => {}
        }
    }

    fn handle_agent(&mut self, n: usize, due: Due) {
        let life = self.procs[&Node::Agent(n)].life;
        match due {
            Due::Wake(_, l) if l == life => self.with_agent(n, Agent::tick),
            Due::CallEnd(_, l, key, end) if l == life => {
                self.with_agent(n, |agent, now| agent.call_ended(now, key, end));
            }
            Due::Up(_, Node::Entry(peer), epoch) => {
                let id = entry_id(peer, self.life_at(Node::Agent(n), Node::Entry(peer), epoch));
                self.with_agent(n, |agent, now| agent.entry_up(now, &id));
            }
            Due::Down(_, Node::Entry(peer), epoch) => {
                let id = entry_id(peer, self.life_at(Node::Agent(n), Node::Entry(peer), epoch));
                self.with_agent(n, |agent, now| agent.entry_down(now, &id));
            }
            Due::Arrive(Node::Entry(peer), _, epoch, Wire::ToAgent(message)) => {
                let id = entry_id(peer, self.life_at(Node::Agent(n), Node::Entry(peer), epoch));
                self.with_agent(n, |agent, now| agent.entry_message(now, &id, message));
            }
            _ => {}
        }
    }

    /// Runs an entry on an event and carries its steps out.
    pub(crate) fn with_entry(&mut self, n: usize, event: impl FnOnce(&mut Entry, Now)) {
        let node = Node::Entry(n);
        let now = self.clock(node);
        let Some(entry) = self.entries[n].as_mut() else {
            return;
        };
        event(entry, now);
        entry.run(now);
        let steps = entry.drain();
        let wake = entry.wake_at();
        let starts = steps.iter().any(|s| {
            let message = |s: &EntryStep| match s {
                EntryStep::Agent { message, .. } => {
                    matches!(message, chervilring_wire::EntryMessage::Start(_))
                }
                _ => false,
            };
            message(s)
        });
        // A pause between check and send: what was decided leaves the process after it.
        let held = if starts {
            std::mem::take(&mut self.brake[n])
        } else {
            0
        };
        if held > 0 {
            self.pause(node, held);
        }
        for step in steps {
            self.entry_step(n, step, held);
        }
        self.wake(node, wake);
    }

    /// Checks that an entry does not ask again and again to be run at once.
    fn check_wake(&mut self, n: usize) {
        let node = Node::Entry(n);
        let now = self.clock(node).mono;
        let wake = self.entries[n].as_ref().map(Entry::wake_at);
        let hasty = wake.is_some_and(|wake| wake <= now);
        let Some(proc) = self.procs.get_mut(&node) else {
            return;
        };
        proc.hasty = if hasty { proc.hasty + 1 } else { 0 };
        if proc.hasty > HASTY {
            let text = format!("{node:?} never sleeps: at {now:?}, wakes {wake:?}");
            self.callers.faults.push(text);
        }
    }

    fn entry_step(&mut self, n: usize, step: EntryStep, held: u64) {
        let node = Node::Entry(n);
        let life = self.procs[&node].life;
        match step {
            EntryStep::Reply { ticket, reply } => {
                let at = format!("{} ms at entry{n}", self.now / MS);
                self.note(|| format!("entry{n} answers {ticket}: {reply:?}"));
                self.callers.reply(ticket, reply, &at);
            }
            EntryStep::Peer { to, message } => {
                let to = (entry_node(&to.name), to.incarnation.0);
                self.send(node, to, held, Wire::Peer(message));
            }
            EntryStep::Agent { to, message } => {
                let to = (agent_node(&to.name), to.incarnation.0);
                self.send(node, to, held, Wire::ToAgent(message));
            }
            EntryStep::Store(call) => {
                let sent = self.clock(node).mono;
                let slow = if self.now < self.store.slow {
                    2_500 * MS
                } else {
                    4 * MS
                };
                let span = held + self.rng.range(MS, slow);
                self.after(span, Due::StoreCall(n, life, sent, call));
            }
            EntryStep::Change(Change::Ring(version)) => {
                self.note(|| format!("entry{n} adopts ring {version}"));
                self.spring_trap(n);
            }
            EntryStep::Change(_) => {}
            EntryStep::Left => self.kill(node),
            EntryStep::Evicted => {
                self.note(|| format!("entry{n} is evicted"));
                self.kill(node);
                let span = self.rng.range(100 * MS, 2_000 * MS);
                self.after(span, Due::Boot(node));
            }
        }
    }

    /// Runs an agent on an event and carries its steps out.
    pub(crate) fn with_agent(&mut self, n: usize, event: impl FnOnce(&mut Agent, Time)) {
        let node = Node::Agent(n);
        let now = self.clock(node).mono;
        let Some(agent) = self.agents[n].as_mut() else {
            return;
        };
        event(agent, now);
        let steps = agent.drain();
        let wake = agent.wake_at();
        for step in steps {
            self.agent_step(n, step);
        }
        self.wake(node, wake);
    }

    fn agent_step(&mut self, n: usize, step: AgentStep) {
        let node = Node::Agent(n);
        let life = self.procs[&node].life;
        match step {
            AgentStep::SendToEntry { to, message } => {
                let to = (entry_node(&to.name), to.incarnation.0);
                self.send(node, to, 0, Wire::ToEntry(message));
            }
            AgentStep::Announce(announce) => {
                for entry in 0..self.entries.len() {
                    let to = Node::Entry(entry);
                    if self.net.is_cut(node, to) || self.rng.chance(3) {
                        continue;
                    }
                    let span = self.rng.range(MS / 2, 3 * MS);
                    let due = Due::Announce(entry, life, Box::new(announce.clone()));
                    self.after(span, due);
                }
            }
            AgentStep::CallUpstream(call) => self.call_upstream(n, life, call),
            AgentStep::AbortCall(key) => {
                let span = self.rng.range(MS, 5 * MS);
                self.after(span, Due::CallEnd(n, life, key, CallEnd::Aborted));
            }
            AgentStep::Connect(_) => {}
            AgentStep::Exit => self.kill(node),
        }
    }

    fn call_upstream(&mut self, n: usize, life: u64, call: chervilring_core::agent::UpstreamCall) {
        let key = call.key;
        let kind = self.rng.range(0, 99);
        let span = self.rng.range(30 * MS, 900 * MS);
        if kind < 3 {
            return self.after(MS, Due::CallEnd(n, life, key, CallEnd::NotSent));
        }
        let at = format!("{} ms at agent{n}", self.now / MS);
        self.note(|| format!("agent{n} starts {key}"));
        self.callers.started(key, &at);
        let end = match kind {
            3..6 => CallEnd::Incomplete,
            6..9 => CallEnd::TimedOut,
            _ => CallEnd::Answer {
                status: if kind < 12 { 500 } else { 200 },
                media: call.media,
                body: call.body,
            },
        };
        self.after(span, Due::CallEnd(n, life, key, end));
    }

    /// Returns which life of the peer a connection leads to.
    fn life_at(&mut self, node: Node, peer: Node, epoch: u32) -> u64 {
        let (link, _) = self.net.link(node, peer);
        let side = usize::from(peer > node);
        let lives = link.lives.get(&epoch).copied().unwrap_or_default();
        lives[side]
    }
}

fn entry_node(name: &str) -> Node {
    Node::Entry(number(name))
}

fn agent_node(name: &str) -> Node {
    Node::Agent(number(name))
}

fn number(name: &str) -> usize {
    let digits = name.trim_start_matches(|c: char| c.is_ascii_alphabetic());
    digits.parse().expect("names end in a number")
}

fn entry_id(n: usize, life: u64) -> EntryId {
    EntryId {
        name: format!("entry{n}").into(),
        incarnation: Incarnation(life),
    }
}
