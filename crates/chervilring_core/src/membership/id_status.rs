//! Where ids are at home, and which of them may have been started.

use chervilring_wire::{EntryId, Handover, Now, Reply, SubmissionId, Time, Timestamp, Verdict};

use super::constants::HEARTBEAT;
use super::source::{Source, State};
use super::state::{Membership, Phase};
use super::step::{Place, Standing};

impl Membership {
    /// Returns where an id is at home.
    pub fn place(&self, id: SubmissionId) -> Place {
        match self.ring.home(id) {
            None => Place::Nowhere,
            Some(home) if home.entry == self.own => Place::Here,
            Some(home) => Place::At(home.clone()),
        }
    }

    /// Returns what is known of an id that is at home here and not in the entry's own table.
    pub fn standing(&self, now: Now, id: SubmissionId) -> Standing {
        if self.known.contains(id) {
            return self.standing_known(now, id);
        }
        let mut doubtful = false;
        for source in self.sources.iter().filter(|s| s.covers(id, &self.own.name)) {
            let ready = source.ready.filter(|ready| *ready <= now.mono);
            let stamped = ready.is_some_and(|ready| {
                let start = if self.settings.rules.stamp {
                    ready
                } else {
                    source.since
                };
                self.stamped_after(id, self.stamp(start))
            });
            match source.state {
                State::Clear | State::Told => {}
                _ if stamped && !source.living => {}
                State::Partial if source.told_here(id, &self.own.name) => {}
                State::Doubtful | State::Partial => doubtful = true,
                State::Pending => return Standing::Wait(self.look_again(now.mono, source)),
            }
        }
        let mut doubts = self.doubts.iter();
        if doubts.any(|d| d.covers(id) && !self.stamped_after(id, d.until)) {
            doubtful = true;
        }
        if doubtful {
            return Standing::MayHaveRun;
        }
        Standing::Fresh
    }

    /// Returns whether the answer of an id that was started is still on its way from a living home.
    fn standing_known(&self, now: Now, id: SubmissionId) -> Standing {
        let mut sources = self.sources.iter();
        let coming = |s: &Source| s.state == State::Told && s.covers(id, &self.own.name);
        if sources.any(coming) {
            return Standing::Wait(now.mono + HEARTBEAT);
        }
        Standing::MayHaveRun
    }

    /// Returns the entry that an id has moved to, or will move to when this entry leaves.
    pub fn heir(&self, id: SubmissionId) -> Option<EntryId> {
        let leaving = matches!(self.phase, Phase::Leaving(_));
        let heir = match self.ring.home(id) {
            Some(home) if home.entry != self.own => Some(home),
            _ if leaving => self.ring.next_home(id, &self.own),
            _ => None,
        };
        heir.map(|m| m.entry.clone())
    }

    /// Notes that an id taken on did not run after all, so that it may be taken on again here.
    pub fn forget_started(&mut self, id: SubmissionId) {
        self.known.remove(id);
    }

    /// Notes that the entry has taken an id on: from now on it may be started.
    pub fn record_started(&mut self, id: SubmissionId) {
        self.learn(None, id);
    }

    /// Takes in ids that a living home hands over.
    pub fn handed_over(&mut self, now: Now, from: &EntryId, handover: &Handover) {
        self.observe(now);
        for (id, _, reply) in &handover.ended {
            let not_run = matches!(reply, Reply::Failed(f) if f.verdict == Verdict::NotRun);
            if !not_run {
                self.learn(Some(from), *id);
            }
        }
        if !handover.more {
            self.homes.handed(from, handover.ring);
        }
        self.judge(now.mono);
    }

    /// Adds an id to those known to be started and tells the entry that has to know it: its home,
    /// or its next home if it is at home here. The entry that it was learnt from knows already.
    pub(crate) fn learn(&mut self, from: Option<&EntryId>, id: SubmissionId) {
        if !self.known.insert(id) {
            return;
        }
        let Some(home) = self.ring.home(id) else {
            return;
        };
        let told = if home.entry == self.own {
            self.ring.next_home(id, &self.own)
        } else {
            Some(home)
        };
        let told = told.filter(|member| from != Some(&member.entry));
        if let Some(peer) = told.and_then(|member| self.peers.get_mut(&member.entry)) {
            peer.ids.push(id);
        }
    }

    /// Returns whether an id was made after a point of wall-clock time, however wrong the clocks.
    pub(crate) fn stamped_after(&self, id: SubmissionId, until: Timestamp) -> bool {
        let skew = self.settings.skew.as_millis();
        id.timestamp().is_some_and(|stamp| stamp.0 > until.0 + skew)
    }

    pub(crate) fn look_again(&self, now: Time, source: &Source) -> Time {
        let home = source.home.as_ref().and_then(|home| self.homes.get(home));
        let next = now + HEARTBEAT;
        source.wake_at(now, home).min(next)
    }
}
