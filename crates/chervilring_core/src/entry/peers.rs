//! Links to the other entries.

use chervilring_wire::{EntryId, Micros, Now, PeerMessage, Revision, Ring, Time};
use rustc_hash::FxHashMap;

use super::{Change, Entry, EntryStep};

/// How long submissions are held for an entry whose link has just gone down or is not up yet: a
/// ring without it, or the link, is likely to come.
const PATIENCE: Micros = Micros::from_millis(500);

/// The other entries whose link is up.
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    table: FxHashMap<EntryId, Peer>,
    /// Until when submissions are held for entries whose link is not up.
    awaited: FxHashMap<EntryId, Time>,
}

#[derive(Debug, Default)]
struct Peer {
    /// The configuration that the peer has in force.
    revision: Revision,
    /// The newest configuration that was sent to it.
    sent: Revision,
}

impl PeerTable {
    pub(super) fn is_up(&self, peer: &EntryId) -> bool {
        self.table.contains_key(peer)
    }

    /// Has submissions held for a while for the members whose link is not up yet.
    pub(super) fn await_new(&mut self, now: Time, ring: &Ring) {
        self.awaited.retain(|_, until| *until > now);
        for member in &ring.members {
            if !self.table.contains_key(&member.entry) {
                let until = now + PATIENCE;
                self.awaited.entry(member.entry.clone()).or_insert(until);
            }
        }
    }

    /// Returns whether submissions are held for an entry whose link is not up.
    pub(super) fn is_awaited(&self, now: Time, peer: &EntryId) -> bool {
        self.awaited.get(peer).is_some_and(|until| *until > now)
    }

    /// Returns each peer with the configuration it has in force.
    pub(super) fn revisions(&self) -> impl Iterator<Item = (&EntryId, Revision)> {
        self.table.iter().map(|(id, peer)| (id, peer.revision))
    }
}

impl Entry {
    /// Takes in that the link to another entry is up.
    pub fn peer_up(&mut self, now: Now, peer: &EntryId) {
        self.peers.table.insert(peer.clone(), Peer::default());
        self.membership.peer_up(now, peer);
        let change = Change::PeerUp(peer.clone());
        self.steps.push(EntryStep::Change(change));
    }

    /// Takes in that the link to another entry is down: what was passed to it is answered at once.
    pub fn peer_down(&mut self, now: Now, peer: &EntryId) {
        if self.peers.table.remove(peer).is_none() {
            return;
        }
        let until = now.mono + PATIENCE;
        self.peers.awaited.insert(peer.clone(), until);
        self.membership.peer_down(now, peer);
        let change = Change::PeerDown(peer.clone());
        self.steps.push(EntryStep::Change(change));
        for forward in self.forwards.lost(peer) {
            self.lose_forward(now, forward);
        }
    }

    /// Takes in a message of another entry.
    pub fn peer_message(&mut self, now: Now, from: &EntryId, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat(beat) => {
                self.dispatcher
                    .update_peer_demand(now.mono, from, &beat.demand);
                self.membership.heartbeat(now, from, &beat);
                self.compare_revision(from, beat.revision);
            }
            PeerMessage::HeartbeatAck {
                correlation: ticket,
                ring,
                revision,
            } => {
                self.membership.heartbeat_ack(now, from, ticket, &ring);
                self.compare_revision(from, revision);
            }
            PeerMessage::Submit {
                correlation: ticket,
                submission,
            } => {
                self.submit_from_peer(now, from, ticket, *submission);
            }
            PeerMessage::Query {
                correlation: ticket,
                id,
                query,
            } => {
                self.query_from_peer(now, from, ticket, id, query);
            }
            PeerMessage::Reply {
                correlation: ticket,
                reply,
            } => self.forward_answered(now, from, ticket, reply),
            PeerMessage::Handover(handover) => self.take_over(now, from, handover),
            PeerMessage::Config(None) => self.send_config(from),
            PeerMessage::Config(Some(blob)) => self.configure(now, blob),
        }
    }

    /// Returns how many other entries' links are up.
    pub fn peers_up(&self) -> usize {
        self.peers.table.len()
    }

    /// Sends the configuration to a peer that has an older one.
    fn compare_revision(&mut self, from: &EntryId, revision: Revision) {
        let Some(peer) = self.peers.table.get_mut(from) else {
            return;
        };
        peer.revision = revision;
        if revision.max(peer.sent) < self.config.revision {
            self.send_config(from);
        }
    }

    fn send_config(&mut self, to: &EntryId) {
        let Some(blob) = self.revisions.blob() else {
            return;
        };
        if let Some(peer) = self.peers.table.get_mut(to) {
            peer.sent = blob.revision;
        }
        self.steps.push(EntryStep::Peer {
            to: to.clone(),
            message: PeerMessage::Config(Some(blob)),
        });
    }
}
