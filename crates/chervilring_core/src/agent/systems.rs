//! Work that depends on the time or on free slots: expiry, starting queued tasks, announcements and
//! the stop.

use chervilring_wire::{
    AgentMessage, AgentState, Announce, EntryId, Micros, ServiceName, TaskKey, Time,
};
use rustc_hash::FxHashMap;

use super::state::{Agent, RunningTask, find_link};
use super::step::{AgentStep, UpstreamCall};

/// How long after a pause messages are assumed to have waited unread for the whole pause.
const DELAYED_MESSAGE_PERIOD: Micros = Micros::from_millis(200);

/// How long a stop waits for the acknowledgements of an entry whose link is down.
const RECONNECT_GRACE: Micros = Micros::from_secs(3);

impl Agent {
    /// Advances the agent to the time `now`: expires tasks, starts, links and records, and updates
    /// the state.
    ///
    /// Must run before anything else is done for an event, so that nothing starts after its
    /// deadline or after the upstream's lease.
    pub(super) fn advance(&mut self, now: Time) {
        self.detect_pause(now);
        self.update_state(now);
        self.expire_queue(now);
        self.expire_deferred(now);
        self.expire_running(now);
        self.expire_links(now);
        self.start_table.expire(now);
        if now >= self.announce_at {
            self.announce_periodically(now);
        }
    }

    /// Hands queued tasks to the upstream while slots are free.
    pub(super) fn start_queued(&mut self, now: Time) {
        while self.state == AgentState::Ready && self.running.len() < self.upstream.slots as usize {
            let (limits, running) = (&self.slot_limits, &self.running);
            let next = self
                .queue
                .pop(|task| has_free_slot(limits, running, &task.service));
            let Some(task) = next else { return };
            if self.start_table.forbids(task.key, task.idempotent) {
                self.answer_repeated(&task.from, task.key);
                continue;
            }
            let previous_attempt = self
                .start_table
                .record(now, task.key, task.origin, &task.from);
            let running = RunningTask {
                from: task.from,
                service: task.service.clone(),
                started_at: now,
                queue_time: now.duration_since(task.received_at),
                deadline: task.deadline,
                previous_attempt,
                answered: false,
            };
            self.running.insert(task.key, running);
            self.counters.started += 1;
            self.steps.push(AgentStep::CallUpstream(UpstreamCall {
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

    /// Detects a pause of the process, after which messages may have waited unread.
    fn detect_pause(&mut self, now: Time) {
        let gap = now.duration_since(self.last_event);
        if gap > self.settings.pause_threshold {
            self.counters.pauses += 1;
            self.delayed_messages = (now + DELAYED_MESSAGE_PERIOD, gap);
        }
        self.last_event = self.last_event.max(now);
    }

    /// Updates the state, announces a change, and refuses queued and deferred starts while no work
    /// is accepted.
    fn update_state(&mut self, now: Time) {
        let state = match self.stop_deadline {
            Some(_) => AgentState::Leaving,
            None => self.upstream.state(now),
        };
        if state != self.state {
            self.state = state;
            self.announce_now = true;
        }
        if state != AgentState::Ready {
            self.refuse_all_waiting();
        }
    }

    /// Makes the regular announcement; skips every second one while all linked entries get the load
    /// with answers.
    fn announce_periodically(&mut self, now: Time) {
        self.announce_at = now + self.settings.announce_interval;
        let mut links = self
            .links
            .values()
            .flat_map(|incarnations| incarnations.values())
            .filter(|l| l.up);
        let all_sent = links.next().is_some_and(|l| l.load_sent) && links.all(|l| l.load_sent);
        for link in self
            .links
            .values_mut()
            .flat_map(|incarnations| incarnations.values_mut())
        {
            link.load_sent = false;
        }
        self.announce_skipped = all_sent && !self.announce_skipped;
        if !self.announce_skipped {
            self.announce_now = true;
        }
    }

    /// Completes the stop once nothing is left to do, or its deadline has passed.
    pub(super) fn check_stop(&mut self, now: Time) {
        let Some(at) = self.stop_deadline else { return };
        let done =
            self.running.is_empty() && self.deferred.is_empty() && !self.has_unacked_answers(now);
        if done || now >= at {
            self.stopped = true;
        }
    }

    /// Returns whether there is an unacknowledged answer for an entry that is linked, or whose link
    /// went down recently.
    fn has_unacked_answers(&self, now: Time) -> bool {
        self.links.iter().any(|(name, incarnations)| {
            incarnations.iter().any(|(&incarnation, link)| {
                let entry = EntryId {
                    name: name.clone(),
                    incarnation,
                };
                (link.up || now < link.down_since + RECONNECT_GRACE)
                    && self.outbox.has_answers(&entry)
            })
        })
    }

    /// Sends the scheduled answers to the linked entries.
    pub(super) fn send_answers(&mut self) {
        let links = &self.links;
        let up = |e: &EntryId| find_link(links, e).is_some_and(|l| l.up);
        for (to, answers) in self.outbox.take_unsent(self.load(), up) {
            self.counters.answers += answers.len() as u64;
            if let Some(link) = self.link_mut(&to) {
                link.load_sent = true;
            }
            self.steps.push(AgentStep::SendToEntry {
                to,
                message: AgentMessage::Answers(answers),
            });
        }
    }

    /// Adds an announcement of the agent's current state to the steps.
    pub(super) fn push_announce(&mut self) {
        self.counters.announcements += 1;
        let configured = self.settings.labels.iter();
        let labels = configured.chain(&self.upstream.labels).cloned().collect();
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

/// Returns whether the slot limit of a service allows a further task.
fn has_free_slot(
    limits: &FxHashMap<ServiceName, u32>,
    running: &FxHashMap<TaskKey, RunningTask>,
    service: &ServiceName,
) -> bool {
    let Some(&limit) = limits.get(service) else {
        return true;
    };
    running.values().filter(|r| r.service == *service).count() < limit as usize
}
