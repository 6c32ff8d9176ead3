//! The links to entries, and the ring and configuration that entries send.

use chervilring_wire::{
    AgentConfig, AgentMessage, EntryId, EntryMessage, Origin, Reason, Ring, Time,
};

use super::queue::QueuedTask;
use super::state::{Agent, Link};
use super::step::AgentStep;

impl Agent {
    /// Handles that the link to an entry is up.
    ///
    /// Answers that this incarnation of the entry has not acknowledged are sent again.
    pub fn entry_up(&mut self, now: Time, entry: &EntryId) {
        self.advance(now);
        let latest = self
            .latest_incarnations
            .entry(entry.name.clone())
            .or_default();
        *latest = entry.incarnation.max(*latest);
        self.drop_old_incarnations(entry);
        let incarnations = self.links.entry(entry.name.clone()).or_default();
        let link = Link {
            up: true,
            ..Link::default()
        };
        incarnations.insert(entry.incarnation, link);
        self.report_installed(entry);
        self.outbox.resend_all(entry);
        self.announce_now = true;
    }

    /// Handles that the link to an entry is down.
    ///
    /// Refuses the entry's queued tasks. Its running tasks continue, and their answers are kept
    /// until the link is up again.
    pub fn entry_down(&mut self, now: Time, entry: &EntryId) {
        self.advance(now);
        let Some(link) = self.link_mut(entry) else {
            return;
        };
        link.up = false;
        link.down_since = now;
        for task in self.queue.extract(|t| t.from == *entry) {
            self.refuse(entry, task.key, Reason::Unavailable, None);
        }
        let (affected, rest) = self.deferred.drain(..).partition(|d| d.from == *entry);
        self.deferred = rest;
        for deferred in affected {
            self.refuse_deferred(&deferred, Reason::Unavailable);
        }
        self.start_queued(now);
    }

    /// Handles a message from an entry.
    pub fn entry_message(&mut self, now: Time, from: &EntryId, message: EntryMessage) {
        self.advance(now);
        match message {
            EntryMessage::Start(batch) => self.handle_start(now, from, batch),
            EntryMessage::Cancel(keys) => self.cancel(now, from, &keys),
            EntryMessage::Ring(ring) => self.install_ring(now, ring),
            EntryMessage::Config(config) => self.install_config(config),
            EntryMessage::AckAnswers(keys) => {
                for key in keys {
                    self.outbox.acknowledge(from, key);
                }
            }
        }
        self.start_queued(now);
    }

    /// Returns the entries whose link is up.
    pub(super) fn linked_entries(&self) -> Vec<EntryId> {
        let mut out = Vec::new();
        for (name, incarnations) in &self.links {
            let up = incarnations.iter().filter(|(_, link)| link.up);
            out.extend(up.map(|(&incarnation, _)| EntryId {
                name: name.clone(),
                incarnation,
            }));
        }
        out
    }

    /// Returns the link to this incarnation of an entry.
    pub(super) fn link_mut(&mut self, entry: &EntryId) -> Option<&mut Link> {
        self.links.get_mut(&entry.name)?.get_mut(&entry.incarnation)
    }

    /// Removes links that have been down for the answer retention period, with the answers for
    /// their entries.
    pub(super) fn expire_links(&mut self, now: Time) {
        let retention = self.settings.answer_retention;
        let mut removed = Vec::new();
        for (name, incarnations) in &mut self.links {
            incarnations.retain(|&incarnation, link| {
                let keep = link.up || now < link.down_since + retention;
                if !keep {
                    removed.push(EntryId {
                        name: name.clone(),
                        incarnation,
                    });
                }
                keep
            });
        }
        for entry in removed {
            self.outbox.remove_entry(&entry);
        }
    }

    /// Drops the queued tasks, deferred starts, links and answers of earlier incarnations of an
    /// entry, since no process is left to receive answers.
    fn drop_old_incarnations(&mut self, entry: &EntryId) {
        let is_older = |e: &EntryId| e.name == entry.name && e.incarnation < entry.incarnation;
        self.queue.extract(|t| is_older(&t.from));
        self.deferred.retain(|d| !is_older(&d.from));
        let Some(incarnations) = self.links.get_mut(&entry.name) else {
            return;
        };
        let mut removed = Vec::new();
        incarnations.retain(|&incarnation, _| {
            let keep = incarnation >= entry.incarnation;
            if !keep {
                removed.push(EntryId {
                    name: entry.name.clone(),
                    incarnation,
                });
            }
            keep
        });
        for entry in removed {
            self.outbox.remove_entry(&entry);
        }
    }

    /// Installs a ring if it is newer than the one in force.
    fn install_ring(&mut self, now: Time, ring: Ring) {
        if ring.version <= self.ring.version {
            return;
        }
        self.counters.rings += 1;
        self.ring = ring;
        self.announce_now = true;
        self.refuse_moved_ids();
        self.steps
            .push(AgentStep::Connect(self.ring.members.clone()));
        for entry in self.linked_entries() {
            self.report_installed(&entry);
        }
        self.resume_deferred(now);
    }

    /// Refuses queued tasks whose sender may no longer start them under the ring in force.
    fn refuse_moved_ids(&mut self) {
        let ring = &self.ring;
        let moved = |t: &QueuedTask| {
            t.origin == Origin::ClientKey && !ring.may_have_accepted(&t.from, t.key.submission)
        };
        for task in self.queue.extract(moved) {
            self.refuse(&task.from, task.key, Reason::NotHome, None);
        }
    }

    /// Checks the deferred starts against the ring in force.
    fn resume_deferred(&mut self, now: Time) {
        for deferred in std::mem::take(&mut self.deferred) {
            self.process_starts(now, deferred.received_at, &deferred.from, deferred.batch);
        }
    }

    /// Reports the installed ring to an entry, with the started ids that moved to that entry.
    fn report_installed(&mut self, to: &EntryId) {
        let ring = self.ring.version;
        let Some(link) = self.link_mut(to) else {
            return;
        };
        if link.reported_ring == ring {
            return;
        }
        link.reported_ring = ring;
        let started = self.start_table.ids_moved_to(to, &self.ring);
        let message = AgentMessage::Installed {
            ring,
            started,
            complete: true,
        };
        self.steps.push(AgentStep::SendToEntry {
            to: to.clone(),
            message,
        });
    }

    /// Installs a configuration unless it is older than the one in force.
    ///
    /// The agent uses only the slot limits of services: they apply to the tasks of all entries
    /// together, which no single entry can count.
    fn install_config(&mut self, config: AgentConfig) {
        if config.revision < self.revision {
            return;
        }
        self.slot_limits = config.limits.into_iter().collect();
        if config.revision > self.revision {
            self.revision = config.revision;
            self.announce_now = true;
        }
    }
}
