//! The systems that run over the agent's tables.

use chervilring_wire::{
    AgentMessage, AgentState, Announce, EntryId, Micros, ServiceName, TaskKey, Time,
};
use rustc_hash::FxHashMap;

use super::state::{Agent, Running, link};
use super::step::{AgentStep, UpstreamCall};

/// How long after a pause messages may be as old as the pause was long.
const STALE_SPAN: Micros = Micros::from_millis(200);

/// How long a stop waits for entries that are not linked.
const LINGER: Micros = Micros::from_secs(3);

impl Agent {
    /// Ends all that is over at this point; comes before any other system.
    pub(super) fn expire(&mut self, now: Time) {
        self.notice_pause(now);
        self.settle_state(now);
        self.expire_queue(now);
        self.expire_held(now);
        self.expire_running(now);
        self.expire_links(now);
        self.started.forget(now);
        if now >= self.announce_at {
            self.announce_in_turn(now);
        }
    }

    /// Hands queued tasks to the upstream while slots are free.
    pub(super) fn fill(&mut self, now: Time) {
        while self.state == AgentState::Ready && self.running.len() < self.upstream.slots as usize {
            let (caps, running) = (&self.caps, &self.running);
            let next = self
                .queue
                .pop(|task| has_room(caps, running, &task.service));
            let Some(task) = next else { return };
            if self.started.bars(task.key, task.idempotent) {
                self.answer_repeated(&task.from, task.key);
                continue;
            }
            let before = self.started.record(now, task.key, task.origin, &task.from);
            let running = Running {
                from: task.from,
                service: task.service.clone(),
                since: now,
                waited: now.duration_since(task.since),
                deadline: task.deadline,
                before,
                answered: false,
            };
            self.running.insert(task.key, running);
            self.counters.started += 1;
            self.steps.push(AgentStep::Call(UpstreamCall {
                key: task.key,
                service: task.service,
                deadline: task.deadline,
                idempotent: task.idempotent,
                media: task.media,
                body: task.body,
                url: self.upstream.url.clone(),
            }));
        }
    }

    /// Counts a pause of the process, after which messages may have waited unread.
    fn notice_pause(&mut self, now: Time) {
        let gap = now.duration_since(self.seen);
        if gap > self.settings.pause {
            self.counters.pauses += 1;
            self.stale = (now + STALE_SPAN, gap);
        }
        self.seen = self.seen.max(now);
    }

    /// Takes note of a change of state, and refuses what waits when no work is taken any more.
    fn settle_state(&mut self, now: Time) {
        let state = match self.leaving {
            Some(_) => AgentState::Leaving,
            None => self.upstream.state(now),
        };
        if state != self.state {
            self.state = state;
            self.announce_now = true;
        }
        if state != AgentState::Ready {
            self.refuse_waiting();
        }
    }

    /// Announces when the span is over, every second time only while answers tell the load.
    fn announce_in_turn(&mut self, now: Time) {
        self.announce_at = now + self.settings.announce;
        let mut links = self
            .links
            .values()
            .flat_map(|lives| lives.values())
            .filter(|l| l.up);
        let carried = links.next().is_some_and(|l| l.carried) && links.all(|l| l.carried);
        for link in self.links.values_mut().flat_map(|lives| lives.values_mut()) {
            link.carried = false;
        }
        self.quiet = carried && !self.quiet;
        if !self.quiet {
            self.announce_now = true;
        }
    }

    /// Ends the stop once nothing is left to do, or its time is over.
    pub(super) fn look_after_stop(&mut self, now: Time) {
        let Some(until) = self.leaving else { return };
        let done = self.running.is_empty() && self.held.is_empty() && !self.owes_answers(now);
        if done || now >= until {
            self.left = true;
        }
    }

    /// Returns whether an entry that is linked, or was until lately, has not confirmed an answer.
    fn owes_answers(&self, now: Time) -> bool {
        self.links.iter().any(|(name, lives)| {
            lives.iter().any(|(&incarnation, link)| {
                let entry = EntryId {
                    name: name.clone(),
                    incarnation,
                };
                (link.up || now < link.down + LINGER) && self.outbox.holds_any(&entry)
            })
        })
    }

    /// Sends the answers that entries do not have yet.
    pub(super) fn flush_answers(&mut self) {
        let links = &self.links;
        let up = |e: &EntryId| link(links, e).is_some_and(|l| l.up);
        for (to, answers) in self.outbox.take_unsent(self.load(), up) {
            self.counters.answers += answers.len() as u64;
            if let Some(link) = self.link_mut(&to) {
                link.carried = true;
            }
            self.steps.push(AgentStep::Entry {
                to,
                message: AgentMessage::Answers(answers),
            });
        }
    }

    /// Announces the agent as it stands now.
    pub(super) fn push_announce(&mut self) {
        self.counters.announces += 1;
        let own = self.settings.labels.iter();
        let labels = own.chain(&self.upstream.labels).cloned().collect();
        self.steps.push(AgentStep::Announce(Announce {
            agent: self.settings.agent.clone(),
            domain: self.settings.domain.clone(),
            state: self.state,
            services: self.upstream.services.clone(),
            labels,
            load: self.load(),
            ring: self.ring.version,
            revision: self.revision,
        }));
    }
}

/// Returns whether the limits of a service leave it a further slot.
fn has_room(
    caps: &FxHashMap<ServiceName, u32>,
    running: &FxHashMap<TaskKey, Running>,
    service: &ServiceName,
) -> bool {
    let Some(&cap) = caps.get(service) else {
        return true;
    };
    running.values().filter(|r| r.service == *service).count() < cap as usize
}
