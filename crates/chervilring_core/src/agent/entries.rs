//! The links to entries, and the ring that says which of them is whose home.

use chervilring_wire::{
    AgentConfig, AgentMessage, EntryId, EntryMessage, Origin, Reason, Ring, Time,
};

use super::queue::Waiting;
use super::state::{Agent, Link};
use super::step::AgentStep;

impl Agent {
    /// Takes in that the link to an entry is up.
    ///
    /// Answers that this life of the entry has not confirmed are sent again.
    pub fn entry_up(&mut self, now: Time, entry: &EntryId) {
        self.expire(now);
        let latest = self.latest.entry(entry.name.clone()).or_default();
        *latest = entry.incarnation.max(*latest);
        self.drop_older_lives(entry);
        let lives = self.links.entry(entry.name.clone()).or_default();
        let link = Link {
            up: true,
            ..Link::default()
        };
        lives.insert(entry.incarnation, link);
        self.report(entry);
        self.outbox.resend_all(entry);
        self.announce_now = true;
    }

    /// Takes in that the link to an entry is down.
    ///
    /// Its tasks that wait for a slot are refused; those that run go on, and their answers are
    /// kept until the link is up again.
    pub fn entry_down(&mut self, now: Time, entry: &EntryId) {
        self.expire(now);
        let Some(link) = self.link_mut(entry) else {
            return;
        };
        link.up = false;
        link.down = now;
        for task in self.queue.extract(|w| w.from == *entry) {
            self.refuse(entry, task.key, Reason::Unavailable, None);
        }
        let (theirs, rest) = self.held.drain(..).partition(|h| h.from == *entry);
        self.held = rest;
        for held in theirs {
            self.refuse_held(&held, Reason::Unavailable);
        }
        self.fill(now);
    }

    /// Takes in a message from an entry.
    pub fn entry_message(&mut self, now: Time, from: &EntryId, message: EntryMessage) {
        self.expire(now);
        match message {
            EntryMessage::Start(batch) => self.start(now, from, batch),
            EntryMessage::Cancel(keys) => self.cancel(now, from, &keys),
            EntryMessage::Ring(ring) => self.adopt(now, ring),
            EntryMessage::Config(config) => self.configure(config),
            EntryMessage::AckAnswers(keys) => {
                for key in keys {
                    self.outbox.confirm(from, key);
                }
            }
        }
        self.fill(now);
    }

    /// Returns the entries that are linked.
    pub(super) fn linked(&self) -> Vec<EntryId> {
        let mut out = Vec::new();
        for (name, lives) in &self.links {
            let up = lives.iter().filter(|(_, link)| link.up);
            out.extend(up.map(|(&incarnation, _)| EntryId {
                name: name.clone(),
                incarnation,
            }));
        }
        out
    }

    /// Returns the link to this life of an entry.
    pub(super) fn link_mut(&mut self, entry: &EntryId) -> Option<&mut Link> {
        self.links.get_mut(&entry.name)?.get_mut(&entry.incarnation)
    }

    /// Forgets entries that have been away for long, with what is kept for them.
    pub(super) fn expire_links(&mut self, now: Time) {
        let absence = self.settings.absence;
        let mut gone = Vec::new();
        for (name, lives) in &mut self.links {
            lives.retain(|&incarnation, link| {
                let keep = link.up || now < link.down + absence;
                if !keep {
                    gone.push(EntryId {
                        name: name.clone(),
                        incarnation,
                    });
                }
                keep
            });
        }
        for entry in gone {
            self.outbox.drop_entry(&entry);
        }
    }

    /// Ends what belongs to earlier lives of an entry: nobody is left to hear of it.
    fn drop_older_lives(&mut self, entry: &EntryId) {
        let older = |e: &EntryId| e.name == entry.name && e.incarnation < entry.incarnation;
        self.queue.extract(|w| older(&w.from));
        self.held.retain(|h| !older(&h.from));
        let Some(lives) = self.links.get_mut(&entry.name) else {
            return;
        };
        let mut gone = Vec::new();
        lives.retain(|&incarnation, _| {
            let keep = incarnation >= entry.incarnation;
            if !keep {
                gone.push(EntryId {
                    name: entry.name.clone(),
                    incarnation,
                });
            }
            keep
        });
        for entry in gone {
            self.outbox.drop_entry(&entry);
        }
    }

    /// Adopts a ring that is newer than the agent's.
    fn adopt(&mut self, now: Time, ring: Ring) {
        if ring.version <= self.ring.version {
            return;
        }
        self.counters.rings += 1;
        self.ring = ring;
        self.announce_now = true;
        self.refuse_moved();
        self.steps.push(AgentStep::Dial(self.ring.members.clone()));
        for entry in self.linked() {
            self.report(&entry);
        }
        self.release_held(now);
    }

    /// Refuses queued tasks whose sender may not hold them any more.
    fn refuse_moved(&mut self) {
        let ring = &self.ring;
        let moved = |w: &Waiting| {
            w.origin == Origin::ClientKey && !ring.may_have_accepted(&w.from, w.key.submission)
        };
        for task in self.queue.extract(moved) {
            self.refuse(&task.from, task.key, Reason::NotHome, None);
        }
    }

    /// Decides on the starts that waited for this ring.
    fn release_held(&mut self, now: Time) {
        for held in std::mem::take(&mut self.held) {
            self.take(now, held.since, &held.from, held.batch);
        }
    }

    /// Reports the ring in force to an entry, with the started ids that it brings to that entry.
    fn report(&mut self, to: &EntryId) {
        let ring = self.ring.version;
        let Some(link) = self.link_mut(to) else {
            return;
        };
        if link.reported == ring {
            return;
        }
        link.reported = ring;
        let started = self.started.moved_to(to, &self.ring);
        let message = AgentMessage::Installed {
            ring,
            started,
            complete: true,
        };
        self.steps.push(AgentStep::Entry {
            to: to.clone(),
            message,
        });
    }

    /// Puts a configuration in force, unless it is older than the one in force. Of it, an agent
    /// keeps the slots that a service may take, which no entry alone can count.
    fn configure(&mut self, config: AgentConfig) {
        if config.revision < self.revision {
            return;
        }
        self.caps = config.limits.into_iter().collect();
        if config.revision > self.revision {
            self.revision = config.revision;
            self.announce_now = true;
        }
    }
}
