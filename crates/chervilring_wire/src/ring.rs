//! The ring: assigns each submission id to an entry, its home, by rendezvous hashing.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{DomainName, EntryId, Name, RingVersion, SubmissionId};
use crate::time::Timestamp;

/// One entry of the ring.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The incarnation of the entry that joined the ring.
    pub entry: EntryId,
    /// The failure domain of the entry.
    pub domain: DomainName,
    /// The address at which peers and agents reach the entry, over TCP and UDP.
    pub addr: SocketAddr,
    /// Whether the entry finishes the submissions that it accepted before it leaves. It is then the
    /// home of no id, unless all members are draining.
    #[serde(default)]
    pub draining: bool,
}

/// The agreed list of entries, stored as JSON in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Ring {
    /// Increases by one with each change.
    pub version: RingVersion,
    /// All rings before this version are retired: known to be out of force at every entry.
    #[serde(rename = "settled")]
    pub retired: RingVersion,
    /// The entries, ordered by name.
    pub members: Vec<Member>,
    /// Earlier rings, oldest first: all that are not retired, and some that are.
    #[serde(default)]
    #[serde(rename = "older")]
    pub past: Vec<PastRing>,
}

/// A ring that was replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastRing {
    /// The version of the ring.
    pub version: RingVersion,
    /// The members, ordered by name.
    pub members: Vec<EntryId>,
    /// The members that were homes of ids.
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
    /// Returns the home of a submission in this ring.
    pub fn home(&self, id: SubmissionId) -> Option<&EntryId> {
        self.homes.iter().max_by_key(|m| score(&m.name, id))
    }
}

/// A set of ids of which a lost home may have started some without any remaining record of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InDoubt {
    /// The names of the homes in the ring before the loss. When empty, every id is in doubt.
    #[serde(rename = "old")]
    pub old_homes: Vec<Name>,
    /// The name of the lost home. When empty, every home but the successor counts as lost.
    #[serde(rename = "home")]
    pub lost_home: Name,
    /// The names of the homes in the ring after the loss.
    #[serde(rename = "new")]
    pub new_homes: Vec<Name>,
    /// The name of the home that took over the ids in doubt.
    #[serde(rename = "taker")]
    pub successor: Name,
    /// Ids with a timestamp later than this by more than the clock skew are not in doubt.
    pub until: Timestamp,
}

impl InDoubt {
    /// Returns whether the id moved from the lost home to the successor.
    ///
    /// The timestamp of the id is not checked here.
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

/// Returns the name with the highest rendezvous score for a submission id.
pub fn home_name(names: &[Name], id: SubmissionId) -> Option<&Name> {
    names.iter().max_by_key(|name| score(name, id))
}

impl Ring {
    /// Returns the members that can be the home of an id: those that are not draining, or all
    /// members when all are draining.
    pub fn homes(&self) -> impl Iterator<Item = &Member> {
        let all = self.members.iter().all(|m| m.draining);
        self.members.iter().filter(move |m| all || !m.draining)
    }

    /// Returns the home of a submission: the member with the highest rendezvous score.
    ///
    /// The score depends on the name of the entry, not on its incarnation, so that an entry keeps
    /// its ids across restarts.
    pub fn home(&self, id: SubmissionId) -> Option<&Member> {
        self.homes().max_by_key(|m| score(&m.entry.name, id))
    }

    /// Returns the member that becomes the home of a submission after `leaver` has left.
    pub fn next_home(&self, id: SubmissionId, leaver: &EntryId) -> Option<&Member> {
        let rest = self.homes().filter(|m| m.entry != *leaver);
        rest.max_by_key(|m| score(&m.entry.name, id))
    }

    /// Returns the member of this name, whatever its incarnation.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|m| &*m.entry.name == name)
    }

    /// Returns whether this incarnation of an entry is a member.
    pub fn contains(&self, entry: &EntryId) -> bool {
        self.members.iter().any(|m| m.entry == *entry)
    }

    /// Returns whether an entry may have accepted the submission of an id: it is a member, and the
    /// home of the id in this ring or in a past one.
    ///
    /// A home continues the submissions that it accepted before another entry joined, and reports
    /// them to the new home before the new home starts work. An evicted home is not a member.
    pub fn may_have_accepted(&self, entry: &EntryId, id: SubmissionId) -> bool {
        let home = self.home(id).map(|m| &m.entry);
        let former = self.past.iter().map(|old| old.home(id));
        self.contains(entry) && former.chain([home]).any(|home| home == Some(entry))
    }

    /// Returns the version of the first known ring, at or after `from`, without this entry.
    ///
    /// Returns the first known version at or after `from` when `entry` is `None`, and the version
    /// of this ring when no past ring qualifies.
    pub fn first_version_without(&self, entry: Option<&EntryId>, from: RingVersion) -> RingVersion {
        let lacks = |old: &&PastRing| entry.is_none_or(|entry| !old.members.contains(entry));
        let older = self.past.iter().filter(|old| old.version >= from);
        let first = older.filter(lacks).map(|old| old.version).min();
        first.unwrap_or(self.version)
    }

    /// Returns the number of members that form a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// Returns the rendezvous score of a member for a submission id.
fn score(name: &str, id: SubmissionId) -> u64 {
    let seed = (id.0 >> 64) as u64 ^ id.0 as u64;
    xxh3_64_with_seed(name.as_bytes(), seed)
}
