//! Durations and table limits of the membership.

use chervilring_wire::Micros;

/// How long the store keeps the lease of an entry that does not renew it.
pub const LEASE_DURATION: Micros = Micros::from_secs(5);

/// How long one acknowledgement, by the store or by a majority, lets an entry start work.
pub const AUTHORITY_DURATION: Micros = Micros::from_secs(2);

/// Time between heartbeats to a peer.
pub const HEARTBEAT_INTERVAL: Micros = Micros::from_millis(250);

/// Time between renewals of the lease.
pub(crate) const RENEWAL_INTERVAL: Micros = Micros::from_secs(1);

/// Time between calls to the store while a change of the ring is in progress.
pub(crate) const FAST_RENEWAL_INTERVAL: Micros = Micros::from_millis(200);

/// The largest drift between two monotonic clocks within the duration of an authority.
pub(crate) const MAX_CLOCK_DRIFT: Micros = Micros::from_millis(100);

/// The largest difference between the wall clocks of any two callers or entries.
pub const MAX_CLOCK_SKEW: Micros = Micros::from_secs(5);

/// How long an id is remembered after its timestamp.
pub const ID_WINDOW: Micros = Micros::from_secs(600);

/// How long a new home waits for the agents' reports before it answers "may have run".
pub(crate) const REPORT_GRACE: Micros = Micros::from_secs(2);

/// How long a new home waits for the answers of a running former home after it knows the started
/// ids.
pub(crate) const HANDOVER_GRACE: Micros = Micros::from_secs(30);

/// How long an entry that joins waits for links to all members.
pub(crate) const JOIN_LINK_TIMEOUT: Micros = Micros::from_secs(1);

/// How long a leaving entry waits until its peers have its ids.
pub(crate) const LEAVE_HANDOVER_TIMEOUT: Micros = Micros::from_secs(5);

/// How long a planned stop may take, even without the store.
pub(crate) const LEAVE_TIMEOUT: Micros = Micros::from_secs(10);

/// The largest number of ids in one heartbeat.
pub(crate) const HEARTBEAT_ID_LIMIT: usize = 4_096;

/// The largest number of agents, added or removed, in one heartbeat.
pub(crate) const HEARTBEAT_AGENT_LIMIT: usize = 2_048;

/// The largest number of unacknowledged heartbeats to one peer. Beyond it, the oldest is dropped.
pub(crate) const UNACKED_HEARTBEAT_LIMIT: usize = 64;

/// The number of past rings kept in the ring's record even if they are retired.
pub(crate) const KEPT_PAST_RINGS: usize = 4;

/// The number of unretired rings at which no further entry is evicted.
pub(crate) const UNRETIRED_RING_LIMIT: usize = 16;

/// The largest number of separate sets of ids in doubt. Beyond it, they are merged into one that
/// covers every id.
pub(crate) const IN_DOUBT_LIMIT: usize = 64;

/// The largest number of started ids without a timestamp that are kept.
pub(crate) const UNTIMESTAMPED_ID_LIMIT: usize = 500_000;

/// The largest number of started ids with a timestamp that are kept.
pub(crate) const TIMESTAMPED_ID_LIMIT: usize = 20_000_000;
