//! The spans by which entries agree, and the limits of their tables.

use chervilring_wire::Micros;

/// How long the store keeps the lease of an entry that does not renew it.
pub const LEASE: Micros = Micros::from_secs(5);

/// How long one confirmation, by the store or by a majority, lets an entry start work.
pub const AUTHORITY: Micros = Micros::from_secs(2);

/// Time between heartbeats to a peer.
pub const HEARTBEAT: Micros = Micros::from_millis(250);

/// Time between renewals of the lease.
pub(crate) const RENEW: Micros = Micros::from_secs(1);

/// Time between calls to the store while a change of the ring is under way.
pub(crate) const RENEW_SOON: Micros = Micros::from_millis(200);

/// By how much a clock may gain on another one in the span of an authority.
pub(crate) const DRIFT: Micros = Micros::from_millis(100);

/// By how much the wall clocks of any two callers or entries may differ.
pub const SKEW: Micros = Micros::from_secs(5);

/// How long an id is remembered after its stamp.
pub const WINDOW: Micros = Micros::from_secs(600);

/// How long a new home waits for the agents' reports before it says "may have run".
pub(crate) const REPORT_GRACE: Micros = Micros::from_secs(2);

/// How long a new home waits for the answers of a living home after it knows the ids.
pub(crate) const HANDOVER_GRACE: Micros = Micros::from_secs(30);

/// How long an entry that joins waits for links to all members.
pub(crate) const MEET_PATIENCE: Micros = Micros::from_secs(1);

/// How long a leaving entry waits for its peers to take its ids over.
pub(crate) const LEAVE_PATIENCE: Micros = Micros::from_secs(5);

/// How long after its start a planned stop ends, even without the store.
pub(crate) const LEAVE_LIMIT: Micros = Micros::from_secs(10);

/// Ids carried by one heartbeat.
pub(crate) const BEAT_IDS: usize = 4_096;

/// Agents, and agents gone, carried by one heartbeat.
pub(crate) const BEAT_AGENTS: usize = 2_048;

/// Heartbeats to one peer that may be without an answer before the oldest is given up.
pub(crate) const OPEN_BEATS: usize = 64;

/// Older rings kept in the ring's record though they are settled.
pub(crate) const OLDER_KEPT: usize = 4;

/// Rings not settled at which no further entry is evicted.
pub(crate) const OLDER_LIMIT: usize = 16;

/// Doubts kept apart; beyond, they are merged into one that covers every id.
pub(crate) const DOUBT_LIMIT: usize = 64;

/// Ids known to be started that carry no stamp.
pub(crate) const UNSTAMPED_LIMIT: usize = 500_000;

/// Ids known to be started that carry a stamp.
pub(crate) const STAMPED_LIMIT: usize = 20_000_000;
