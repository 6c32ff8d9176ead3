//! A fake of the platform's store: the ring's key and the leases.

use std::collections::BTreeMap;

use chervilring_core::membership::{LEASE_DURATION, StoreCall, StoreEvent};
use chervilring_wire::{EntryId, Name, Ring, Time};

/// The store.
#[derive(Default)]
pub(crate) struct Store {
    ring: Option<(u64, Ring)>,
    leases: BTreeMap<Name, (EntryId, u64)>,
    /// Until when it does not answer, in microseconds.
    pub(crate) out: u64,
    /// Until when its answers are lost.
    pub(crate) losing: u64,
    /// Until when it is slow.
    pub(crate) slow: u64,
}

impl Store {
    /// Carries out a call of an entry.
    pub(crate) fn call(
        &mut self,
        now: u64,
        from: &EntryId,
        sent: Time,
        call: StoreCall,
    ) -> StoreEvent {
        self.leases.retain(|_, (_, until)| *until > now);
        match call {
            StoreCall::Renew => self.renew(now, from, sent),
            StoreCall::Cas {
                base_revision,
                ring,
            } => self.cas(base_revision, ring),
            StoreCall::Release => {
                self.leases.remove(&from.name);
                StoreEvent::Released
            }
        }
    }

    fn renew(&mut self, now: u64, from: &EntryId, sent: Time) -> StoreEvent {
        let held = self.leases.get(&from.name);
        let kept = held.is_none_or(|(entry, _)| entry.incarnation <= from.incarnation);
        if kept {
            let until = now + LEASE_DURATION.0;
            self.leases.insert(from.name.clone(), (from.clone(), until));
        }
        StoreEvent::Renewed {
            sent_at: sent,
            lease_held: kept,
            ring: self.ring.clone(),
            live_entries: self.leases.values().map(|(e, _)| e.clone()).collect(),
        }
    }

    fn cas(&mut self, base: u64, ring: Ring) -> StoreEvent {
        let stands = self.ring.as_ref().map_or(0, |(rev, _)| *rev);
        let done = stands == base;
        if done {
            self.ring = Some((stands + 1, ring));
        }
        StoreEvent::Cas {
            replaced: done,
            ring: self.ring.clone(),
        }
    }
}
