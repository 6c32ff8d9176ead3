//! Looks up the home of an id and whether the id may have been started.

use chervilring_wire::{EntryId, Handover, Now, Reply, SubmissionId, Time, Timestamp, Verdict};

use super::constants::HEARTBEAT_INTERVAL;
use super::source::{Source, SourceState};
use super::state::{Membership, Phase};
use super::step::{HomeLocation, IdStatus};

impl Membership {
    /// Returns the home of an id.
    pub fn locate_home(&self, id: SubmissionId) -> HomeLocation {
        match self.ring.home(id) {
            None => HomeLocation::Unknown,
            Some(home) if home.entry == self.own => HomeLocation::Local,
            Some(home) => HomeLocation::Remote(home.clone()),
        }
    }

    /// Returns whether an id that is not in the entry's own table may have been started by a former
    /// home. The home of the id must be this entry.
    pub fn id_status(&self, now: Now, id: SubmissionId) -> IdStatus {
        if self.started.contains(id) {
            return self.started_id_status(now, id);
        }
        let mut in_doubt = false;
        for source in self.sources.iter().filter(|s| s.covers(id, &self.own.name)) {
            let ready = source.ready_at.filter(|ready| *ready <= now.mono);
            let created_later = ready.is_some_and(|ready| {
                let start = if self.settings.rules.ready_timestamp {
                    ready
                } else {
                    source.installed_at
                };
                self.created_after(id, self.wall_time(start))
            });
            match source.state {
                SourceState::Resolved | SourceState::AnswersPending => {}
                _ if created_later && !source.home_remains => {}
                SourceState::Partial if source.reported_here(id, &self.own.name) => {}
                SourceState::InDoubt | SourceState::Partial => in_doubt = true,
                SourceState::Pending => return IdStatus::Wait(self.recheck_time(now.mono, source)),
            }
        }
        let mut all_in_doubt = self.in_doubt.iter();
        if all_in_doubt.any(|d| d.covers(id) && !self.created_after(id, d.until)) {
            in_doubt = true;
        }
        if in_doubt {
            return IdStatus::MayHaveRun;
        }
        IdStatus::NotStarted
    }

    /// Returns the status of a started id, whose answer may still be handed over by a former home.
    fn started_id_status(&self, now: Now, id: SubmissionId) -> IdStatus {
        let mut sources = self.sources.iter();
        let answers_pending =
            |s: &Source| s.state == SourceState::AnswersPending && s.covers(id, &self.own.name);
        if sources.any(answers_pending) {
            return IdStatus::Wait(now.mono + HEARTBEAT_INTERVAL);
        }
        IdStatus::MayHaveRun
    }

    /// Returns the entry to which an id has moved, or will move when this entry leaves.
    pub fn new_home(&self, id: SubmissionId) -> Option<EntryId> {
        let leaving = matches!(self.phase, Phase::Leaving(_));
        let new_home = match self.ring.home(id) {
            Some(home) if home.entry != self.own => Some(home),
            _ if leaving => self.ring.next_home(id, &self.own),
            _ => None,
        };
        new_home.map(|m| m.entry.clone())
    }

    /// Removes an id that was accepted but did not run, so that it may be accepted again by this
    /// entry.
    pub fn forget_started(&mut self, id: SubmissionId) {
        self.started.remove(id);
    }

    /// Records that this entry has accepted an id. From now on it counts as started.
    pub fn record_started(&mut self, id: SubmissionId) {
        self.add_started(None, id);
    }

    /// Processes ids handed over by a former home that is still running.
    pub fn receive_handover(&mut self, now: Now, from: &EntryId, handover: &Handover) {
        self.record_time(now);
        for (id, _, reply) in &handover.ended {
            let not_run = matches!(reply, Reply::Failed(f) if f.verdict == Verdict::NotRun);
            if !not_run {
                self.add_started(Some(from), *id);
            }
        }
        if !handover.more {
            self.home_reports.record_handover(from, handover.ring);
        }
        self.evaluate_sources(now.mono);
    }

    /// Adds an id to those known to be started and queues it for the entry that has to know: its
    /// home, or its next home if this entry is the home. An entry that reported the id is not
    /// notified.
    pub(crate) fn add_started(&mut self, from: Option<&EntryId>, id: SubmissionId) {
        if !self.started.insert(id) {
            return;
        }
        let Some(home) = self.ring.home(id) else {
            return;
        };
        let recipient = if home.entry == self.own {
            self.ring.next_home(id, &self.own)
        } else {
            Some(home)
        };
        let recipient = recipient.filter(|member| from != Some(&member.entry));
        if let Some(peer) = recipient.and_then(|member| self.peers.get_mut(&member.entry)) {
            peer.ids.push(id);
        }
    }

    /// Returns whether an id was created after a wall-clock time, even at the largest permitted
    /// clock skew.
    pub(crate) fn created_after(&self, id: SubmissionId, until: Timestamp) -> bool {
        let skew = self.settings.skew.as_millis();
        id.timestamp()
            .is_some_and(|created| created.0 > until.0 + skew)
    }

    pub(crate) fn recheck_time(&self, now: Time, source: &Source) -> Time {
        let home = source
            .former_home
            .as_ref()
            .and_then(|home| self.home_reports.get(home));
        let next = now + HEARTBEAT_INTERVAL;
        source.wake_at(now, home).min(next)
    }
}
