//! Which entries are dialled, and when.

use chervilring_wire::{EntryId, Member, Micros, Name, Ring, Time};
use rustc_hash::FxHashMap;

/// When an entry that cannot be reached is dialled again.
const REDIAL: Micros = Micros::from_millis(250);

/// The entries that were dialled lately.
#[derive(Debug, Default)]
pub(super) struct Dialer {
    next: FxHashMap<Name, Time>,
}

impl Dialer {
    /// Returns the members to dial now.
    ///
    /// Of two members the one with the lower name dials, so that they share one link. One that is
    /// not a member yet dials all.
    pub(super) fn due(
        &mut self,
        now: Time,
        own: &EntryId,
        ring: &Ring,
        is_up: impl Fn(&str) -> bool,
    ) -> Vec<Member> {
        let joined = ring.contains(own);
        let mut due = Vec::new();
        for member in &ring.members {
            let name = &member.entry.name;
            let ours = *name != own.name && (!joined || own.name < *name);
            if !ours || is_up(name) || self.next.get(name).is_some_and(|next| *next > now) {
                continue;
            }
            self.next.insert(name.clone(), now + REDIAL);
            due.push(member.clone());
        }
        due
    }
}
