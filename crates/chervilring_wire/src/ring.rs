//! The ring: which entries share the submission ids between them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{DomainName, EntryId, Name, RingVersion, SubmissionId};
use crate::time::Timestamp;

/// One entry of the ring.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The entry, in the life that joined the ring.
    pub entry: EntryId,
    /// The failure domain that the entry stands in.
    pub domain: DomainName,
    /// The address at which peers and agents reach the entry, over TCP and UDP.
    pub addr: SocketAddr,
    /// Whether it finishes what it took on before it leaves, and is the home of no id any more.
    #[serde(default)]
    pub draining: bool,
}

/// The agreed list of entries, as the platform's store holds it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Ring {
    /// Grows by one with each change.
    pub version: RingVersion,
    /// All rings before this version are known to be out of force.
    #[serde(rename = "settled")]
    pub retired: RingVersion,
    /// The entries, ordered by name.
    pub members: Vec<Member>,
    /// Rings before this one, oldest first: all that are not settled and a few more.
    #[serde(default)]
    #[serde(rename = "older")]
    pub past: Vec<PastRing>,
}

/// A ring that was replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastRing {
    /// Its version.
    pub version: RingVersion,
    /// Its members, ordered by name.
    pub members: Vec<EntryId>,
    /// Those of them that ids were at home with.
    pub homes: Vec<EntryId>,
}

impl From<&Ring> for PastRing {
    fn from(ring: &Ring) -> Self {
        Self {
            version: ring.version,
            members: ring.members.iter().map(|m| m.entry.clone()).collect(),
            homes: ring.homes().map(|m| m.entry.clone()).collect(),
        }
    }
}

impl PastRing {
    /// Returns the home that a submission had in this ring.
    pub fn home(&self, id: SubmissionId) -> Option<&EntryId> {
        self.homes.iter().max_by_key(|m| score(&m.name, id))
    }
}

/// Ids of which a lost home may have started some that nobody has a record of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InDoubt {
    /// The names of the homes of the ring that the home was lost from; empty for any ring.
    #[serde(rename = "old")]
    pub old_homes: Vec<Name>,
    /// The lost home; empty for any home but the taker.
    #[serde(rename = "home")]
    pub lost_home: Name,
    /// The names of the homes of the ring that followed.
    #[serde(rename = "new")]
    pub new_homes: Vec<Name>,
    /// The home that took over the ids in doubt.
    #[serde(rename = "taker")]
    pub successor: Name,
    /// Ids stamped well after this are not in doubt.
    pub until: Timestamp,
}

impl InDoubt {
    /// Returns whether the id moved from the lost home to the taker.
    pub fn covers(&self, id: SubmissionId) -> bool {
        if self.old_homes.is_empty() {
            return true;
        }
        let Some(home) = home_name(&self.old_homes, id) else {
            return true;
        };
        let lost = if self.lost_home.is_empty() {
            *home != self.successor
        } else {
            *home == self.lost_home
        };
        lost && home_name(&self.new_homes, id) == Some(&self.successor)
    }
}

/// Returns the name with the highest rendezvous score for a submission.
pub fn home_name(names: &[Name], id: SubmissionId) -> Option<&Name> {
    names.iter().max_by_key(|name| score(name, id))
}

impl Ring {
    /// Returns the members that ids are at home with: those that are not draining, or all when
    /// there is no other.
    pub fn homes(&self) -> impl Iterator<Item = &Member> {
        let all = self.members.iter().all(|m| m.draining);
        self.members.iter().filter(move |m| all || !m.draining)
    }

    /// Returns the home of a submission: the member with the highest rendezvous score.
    ///
    /// The score depends on the entry's name alone, so that an entry that restarts keeps its ids.
    pub fn home(&self, id: SubmissionId) -> Option<&Member> {
        self.homes().max_by_key(|m| score(&m.entry.name, id))
    }

    /// Returns the member that becomes the home once `leaver` is gone.
    pub fn next_home(&self, id: SubmissionId, leaver: &EntryId) -> Option<&Member> {
        let rest = self.homes().filter(|m| m.entry != *leaver);
        rest.max_by_key(|m| score(&m.entry.name, id))
    }

    /// Returns the member of this name, in whichever life it joined.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|m| &*m.entry.name == name)
    }

    /// Returns whether this very life of an entry is a member.
    pub fn contains(&self, entry: &EntryId) -> bool {
        self.members.iter().any(|m| m.entry == *entry)
    }

    /// Returns whether an entry may have taken an id on: it is a member, and the id's home in this
    /// ring or in one of those before.
    ///
    /// A home goes on with what it took on before another entry joined; it tells the new home of
    /// that before the new home begins. A home that was evicted is no member any more.
    pub fn may_have_accepted(&self, entry: &EntryId, id: SubmissionId) -> bool {
        let home = self.home(id).map(|m| &m.entry);
        let former = self.past.iter().map(|old| old.home(id));
        self.contains(entry) && former.chain([home]).any(|home| home == Some(entry))
    }

    /// Returns the first known ring, from a version on, that an entry is no member of.
    pub fn first_version_without(&self, entry: Option<&EntryId>, from: RingVersion) -> RingVersion {
        let lacks = |old: &&PastRing| entry.is_none_or(|entry| !old.members.contains(entry));
        let older = self.past.iter().filter(|old| old.version >= from);
        let first = older.filter(lacks).map(|old| old.version).min();
        first.unwrap_or(self.version)
    }

    /// Returns how many members make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

fn score(name: &str, id: SubmissionId) -> u64 {
    let seed = (id.0 >> 64) as u64 ^ id.0 as u64;
    xxh3_64_with_seed(name.as_bytes(), seed)
}
