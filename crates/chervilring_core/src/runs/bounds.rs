//! Time bounds that planners and runners agree on.

use chervilring_wire::Micros;

/// Time between heartbeats on a link, in each direction.
pub const HEARTBEAT_INTERVAL: Micros = Micros::from_millis(100);

/// How long a link lasts without an acknowledged heartbeat; four are missed by then.
pub const LINK_TIMEOUT: Micros = Micros::from_millis(400);

/// How far ahead a runner extends its upstream's lease.
pub const LEASE_DURATION: Micros = Micros::from_millis(450);

/// How long a run may continue after its link has closed: the lease, the 2% by which the upstream's
/// clock may be slow, and the time that a stop takes.
pub const MAX_ORPHAN_TIME: Micros = Micros::from_millis(540);

/// How late an upstream may be with ending what runs when its lease has expired.
pub(crate) const MAX_END_DELAY: Micros = Micros::from_millis(40);

/// How long a lease may last after the sending of the last heartbeat that its planner acknowledged, or
/// after a stop was requested.
pub(crate) const MAX_UNHEARD_TIME: Micros = Micros(MAX_ORPHAN_TIME.0 - MAX_END_DELAY.0);

/// The longest delay of a planner's or runner's own tick before its state counts as outdated: its
/// links have ended by then.
pub const PAUSE_LIMIT: Micros = LINK_TIMEOUT;

/// The buckets in which queue timeouts are reported to planners. Exact values would change
/// constantly, and each change would cost a message.
const QUEUE_TIMEOUT_BUCKETS: [Micros; 6] = [
    Micros::from_millis(15),
    Micros::from_millis(30),
    Micros::from_millis(60),
    Micros::from_millis(120),
    Micros::from_millis(250),
    Micros::from_millis(500),
];

/// Returns the upper bound of the bucket that a queue timeout falls into.
pub(crate) fn queue_timeout_bucket(queue_timeout: Micros) -> Micros {
    let bound = QUEUE_TIMEOUT_BUCKETS
        .into_iter()
        .find(|&bound| queue_timeout <= bound);
    bound.unwrap_or(Micros(u64::MAX))
}
