//! Ids that move with a planned stop or join.

use chervilring_wire::{
    EntryId, Handover, Now, PeerMessage, Reason, Reply, RingVersion, SubmissionId, Verdict,
};

use super::ids::Known;
use super::{Entry, EntryStep, failure};

/// The most ids in one frame.
const CHUNK_IDS: usize = 1024;

/// The most bytes of answers in one frame; a longer answer has a frame of its own.
const CHUNK_BYTES: usize = 4 << 20;

/// The members that ids are to be handed to.
#[derive(Debug, Default)]
pub(super) struct HandoverTable {
    due: Vec<(EntryId, RingVersion)>,
}

impl HandoverTable {
    /// Adds a member that ids are to be handed to, and the ring under which they move.
    pub(super) fn begin(&mut self, to: EntryId, ring: RingVersion) {
        self.due.retain(|(entry, _)| *entry != to);
        self.due.push((to, ring));
    }
}

impl Entry {
    /// Hands over ids to those members for which nothing that moves to them runs any more.
    pub(super) fn hand_over(&mut self, now: Now) {
        for (to, ring) in std::mem::take(&mut self.handovers.due) {
            if self.moves_running(&to) {
                self.handovers.due.push((to, ring));
                continue;
            }
            self.send_ids(&to, ring);
            self.membership.handover_sent(now, &to);
        }
    }

    /// Returns whether a submission that moves to an entry is still running here.
    fn moves_running(&self, to: &EntryId) -> bool {
        self.ids.running_keyed().any(|id| self.moves(id, to))
    }

    fn moves(&self, id: SubmissionId, to: &EntryId) -> bool {
        self.membership.new_home(id).is_some_and(|heir| heir == *to)
    }

    /// Sends all ended ids that move to an entry, in frames of bounded size.
    fn send_ids(&mut self, to: &EntryId, ring: RingVersion) {
        let mut ended = Vec::new();
        let mut bytes = 0;
        let mut frames = Vec::new();
        for (id, fingerprint, known) in self.ids.keyed() {
            if !self.moves(id, to) {
                continue;
            }
            let reply = match known {
                Known::Ended(reply) => reply.clone(),
                Known::Running | Known::Gone => gone(),
            };
            bytes += body_bytes(&reply);
            ended.push((id, fingerprint, reply));
            if ended.len() >= CHUNK_IDS || bytes >= CHUNK_BYTES {
                frames.push(std::mem::take(&mut ended));
                bytes = 0;
            }
        }
        frames.push(ended);
        let last = frames.len() - 1;
        for (n, ended) in frames.into_iter().enumerate() {
            let more = n < last;
            let message = PeerMessage::Handover(Handover { ring, ended, more });
            self.steps.push(EntryStep::Peer {
                to: to.clone(),
                message,
            });
        }
    }

    /// Takes in ids that another entry hands over.
    pub(super) fn take_over(&mut self, now: Now, from: &EntryId, handover: Handover) {
        self.membership.receive_handover(now, from, &handover);
        for (id, fingerprint, reply) in handover.ended {
            let reply = (reply != gone()).then_some(reply);
            self.ids.insert_ended(now, id, fingerprint, reply);
        }
    }
}

/// Stands for an answer that is no longer kept.
fn gone() -> Reply {
    Reply::Failed(failure(Verdict::MayHaveRun, Reason::AnswerGone, None))
}

fn body_bytes(reply: &Reply) -> usize {
    match reply {
        Reply::Complete(outputs) => outputs.iter().map(|output| output.body.len()).sum(),
        Reply::Failed(_) | Reply::Pending(_) => 0,
    }
}
