//! Planned stops, evictions, and an operator's word on other entries.

use chervilring_wire::{Name, Now, Reason, Verdict};

use super::intake::TAKEOVER;
use super::{Change, Entry, EntryStep, failure};

impl Entry {
    /// Takes an operator's word that another entry is dead and will not come back. Returns whether
    /// there is such an entry whose link is down; one whose link is up is not dead.
    pub fn declare_dead(&mut self, now: Now, name: &Name) -> bool {
        let declared = self.membership.declare_dead(now, name);
        if declared {
            let change = Change::DeclaredDead(name.clone());
            self.steps.push(EntryStep::Change(change));
        }
        declared
    }

    /// Takes an operator's word that no id of before will be submitted again.
    pub fn clear_doubts(&mut self, now: Now) {
        self.membership.clear_in_doubt(now);
        self.steps.push(EntryStep::Change(Change::DoubtsCleared));
    }

    /// Begins a planned stop: nothing new is taken, what runs is finished, ids are handed over.
    pub fn leave(&mut self, now: Now) {
        if !self.stopping {
            self.stopping = true;
            self.steps.push(EntryStep::Change(Change::Stopping));
            self.membership.start_draining(now);
        }
    }

    /// Leaves the ring once everything taken in is answered.
    pub(super) fn leave_ring(&mut self, now: Now) {
        if self.stopping && !self.leaving && self.is_idle() {
            self.leaving = true;
            self.membership.leave(now);
        }
    }

    /// Answers everybody: the ids that were at home here have moved on, and this life is over.
    pub(super) fn evicted(&mut self) {
        let mut callers = self.waits.take_all();
        callers.extend(self.held.take_all().into_iter().map(|held| held.caller));
        callers.extend(self.forwards.take_all().into_iter().map(|f| f.caller));
        for caller in callers {
            let lost = failure(Verdict::MayHaveRun, Reason::HomeLost, Some(TAKEOVER));
            self.refuse(caller, lost);
        }
        self.stopping = true;
        self.steps.push(EntryStep::Change(Change::Evicted));
        self.steps.push(EntryStep::Evicted);
    }
}
