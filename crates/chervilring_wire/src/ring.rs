//! The ring: which entries share the submission ids between them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{DomainName, EntryId, RingVersion, SubmissionId};

/// One entry of the ring.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The entry, in the life that joined the ring.
    pub entry: EntryId,
    /// The failure domain that the entry stands in.
    pub domain: DomainName,
    /// The address at which peers and agents reach the entry, over TCP and UDP.
    pub addr: SocketAddr,
}

/// The agreed list of entries, as the platform's store holds it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Ring {
    /// Grows by one with each change.
    pub version: RingVersion,
    /// All rings before this version are known to be out of force.
    pub settled: RingVersion,
    /// The entries, ordered by name.
    pub members: Vec<Member>,
}

impl Ring {
    /// Returns the home of a submission: the member with the highest rendezvous score.
    ///
    /// The score depends on the entry's name alone, so that an entry that restarts keeps its ids.
    pub fn home(&self, id: SubmissionId) -> Option<&Member> {
        self.members.iter().max_by_key(|m| score(&m.entry, id))
    }

    /// Returns the member that becomes the home once `leaver` is gone.
    pub fn next_home(&self, id: SubmissionId, leaver: &EntryId) -> Option<&Member> {
        let rest = self.members.iter().filter(|m| m.entry != *leaver);
        rest.max_by_key(|m| score(&m.entry, id))
    }

    /// Returns the member of this name, in whichever life it joined.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|m| &*m.entry.name == name)
    }

    /// Returns whether this very life of an entry is a member.
    pub fn contains(&self, entry: &EntryId) -> bool {
        self.members.iter().any(|m| m.entry == *entry)
    }

    /// Returns how many members make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

fn score(entry: &EntryId, id: SubmissionId) -> u64 {
    let seed = (id.0 >> 64) as u64 ^ id.0 as u64;
    xxh3_64_with_seed(entry.name.as_bytes(), seed)
}
