//! Hosts of workers in virtual time: what their agents ask for, and how upstreams answer.

use bytes::Bytes;
use chervilring_core::agent::{AgentStep, CallEnd};
use chervilring_wire::{AgentMessage, Kind, Micros, TaskKey};

use super::upstream::Mood;
use super::world::{Event, World};

/// Marks the end of a call that was given up.
const ABORTED: u64 = 1;

/// How long an upstream that fails everything takes to do so.
const FAILURE_RUN: Micros = Micros::from_millis(2);

impl World<'_> {
    /// Carries out the steps of a host's agent.
    pub(crate) fn run_host(&mut self, host: usize) {
        let now = self.now;
        let life = self.hosts[host].life;
        let Some(agent) = &mut self.hosts[host].agent else {
            return;
        };
        for step in agent.drain() {
            match step {
                AgentStep::SendToEntry { to, message } => {
                    let home = self.homes.iter().position(|h| h.id == to);
                    let home = home.unwrap_or_default();
                    match &message {
                        AgentMessage::Answers(_) => self.tally.answers += 1,
                        _ => self.tally.loads += 1,
                    }
                    let at = now + self.hop(home, host);
                    self.at(at, Event::ToHome(home, host, life, Box::new(message)));
                }
                AgentStep::CallUpstream(call) => self.call(host, life, call.key),
                AgentStep::AbortCall(key) => {
                    if let Some(call) = self.calls.get(&(host, key)).copied() {
                        self.at(now, Event::CallEnd(host, life, key, call | ABORTED));
                    }
                }
                AgentStep::Announce(announce) => {
                    for home in 0..self.homes.len() {
                        self.tally.announces += 1;
                        let at = now + self.hop(home, host);
                        self.at(at, Event::Announce(home, Box::new(announce.clone())));
                    }
                }
                AgentStep::Connect(_) => {}
                AgentStep::Exit => {
                    self.left(host);
                    return;
                }
            }
        }
        let Some(agent) = &self.hosts[host].agent else {
            return;
        };
        let wake = agent.wake_at().max(now + Micros(1));
        if wake < self.hosts[host].wake {
            self.hosts[host].wake = wake;
            self.at(wake, Event::WakeHost(host));
        }
    }

    /// A host has stopped as planned.
    fn left(&mut self, host: usize) {
        let (now, life) = (self.now, self.hosts[host].life);
        self.hosts[host].agent = None;
        for home in 0..self.homes.len() {
            let at = now + self.hop(home, host);
            self.at(at, Event::LinkDown(home, host, life));
        }
        if let Some(away) = self.hosts[host].away.take() {
            self.at(now + away, Event::Boot(host));
        }
    }

    /// An upstream is given a task.
    fn call(&mut self, host: usize, life: u64, key: TaskKey) {
        let Some(&index) = self.ids.get(&key.submission) else {
            return;
        };
        let arrival = &self.trace.arrivals[index];
        let starts = self.starts.entry((index, key.index.0)).or_default();
        *starts += 1;
        self.fates[index].started = true;
        if *starts > 1 && !(arrival.idempotent && arrival.kind == Kind::Request) {
            self.tally
                .violations
                .push(format!("{key} started {starts} times"));
        }
        let row = &self.hosts[host];
        if row
            .left
            .is_some_and(|at| self.now.duration_since(at) > Micros::from_secs(3))
        {
            let name = &row.worker.name;
            self.tally
                .violations
                .push(format!("{key} started on {name} as it was leaving"));
        }
        let run = match row.mood {
            Mood::Well => row.run(arrival.runs[key.index.0 as usize]),
            Mood::Failing => FAILURE_RUN,
            Mood::Mute => Micros::from_secs(3_600),
        };
        self.order += 1;
        let call = self.order << 1;
        self.calls.insert((host, key), call);
        self.at(self.now + run, Event::CallEnd(host, life, key, call));
    }

    pub(crate) fn call_end(&mut self, host: usize, life: u64, key: TaskKey, call: u64) {
        if self.calls.get(&(host, key)) != Some(&(call & !ABORTED)) {
            return;
        }
        self.calls.remove(&(host, key));
        let row = &mut self.hosts[host];
        if row.life != life {
            return;
        }
        let Some(agent) = &mut row.agent else { return };
        let end = if call & ABORTED != 0 {
            CallEnd::Aborted
        } else if row.mood == Mood::Failing {
            CallEnd::Answer {
                status: 500,
                media: "text/plain".into(),
                body: Bytes::new(),
            }
        } else {
            CallEnd::Answer {
                status: 200,
                media: "text/plain".into(),
                body: Bytes::from(format!("{}/{}", key.submission, key.index)),
            }
        };
        agent.call_ended(self.now, key, end);
        self.run_host(host);
    }
}
