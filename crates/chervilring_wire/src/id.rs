//! Newtypes for names, ids and versions.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_128;

use crate::time::Timestamp;

/// A shared immutable string.
pub type Name = Arc<str>;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub Name);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(name.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// The name of a service: a kind of work that one or more upstreams can do.
    ServiceName;
    /// The name of a team. Quotas are set per team.
    TeamName;
    /// The name of a failure domain.
    DomainName;
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    )*};
}

numbers! {
    /// Identifies one start-to-exit of a process that keeps its name across restarts.
    Incarnation(u64);
    /// The version of the ring. It only increases.
    RingVersion(u64);
    /// The revision of the configuration. It only increases.
    Revision(u64);
    /// The position of a task in its submission, from zero.
    TaskIndex(u32);
    /// The number of an attempt at a task, from zero.
    Attempt(u32);
    /// Matches a reply to its request. Unique within the process that sent the request.
    CorrelationId(u64);
}

macro_rules! process_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name {
            /// The configured name, which stays the same across restarts.
            pub name: Name,
            /// The incarnation of the process under this name.
            pub incarnation: Incarnation,
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}#{}", self.name, self.incarnation)
            }
        }
    )*};
}

process_ids! {
    /// One incarnation of an entry.
    EntryId;
    /// One incarnation of an agent.
    AgentId;
}

/// The id of a submission. A caller resubmits under the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SubmissionId(pub u128);

impl SubmissionId {
    /// Derives the id from a caller's idempotency key.
    ///
    /// A UUID is used as it is; any other text is hashed into a `UUIDv8`.
    pub fn from_key(key: &str) -> Self {
        Uuid::try_parse(key).map_or_else(
            |_| {
                let bytes = xxh3_128(key.as_bytes()).to_be_bytes();
                Self(Uuid::new_v8(bytes).as_u128())
            },
            |uuid| Self(uuid.as_u128()),
        )
    }

    /// Creates a new `UUIDv7`, which contains the current wall-clock time.
    pub fn generate() -> Self {
        Self(Uuid::now_v7().as_u128())
    }

    /// Returns when the id was created, or `None` when it is not a `UUIDv7`.
    pub fn timestamp(self) -> Option<Timestamp> {
        let uuid = Uuid::from_u128(self.0);
        (uuid.get_version_num() == 7).then_some(Timestamp((self.0 >> 80) as u64))
    }
}

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&Uuid::from_u128(self.0).hyphenated(), f)
    }
}

/// One attempt at one task of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The submission that the task belongs to.
    pub submission: SubmissionId,
    /// The position of the task in the submission.
    pub index: TaskIndex,
    /// The attempt. Each hedge and each retry has its own number.
    pub attempt: Attempt,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}.{}", self.submission, self.index, self.attempt)
    }
}
