//! The times that planners and runners rely on towards each other.

use chervilring_wire::Micros;

/// Time between heartbeats on a link, in each direction.
pub const BEAT: Micros = Micros::from_millis(100);

/// How long a link lasts without an answered heartbeat; four are missed by then.
pub const LINK_SILENCE: Micros = Micros::from_millis(400);

/// How far ahead a runner extends its upstream's lease.
pub const LEASE: Micros = Micros::from_millis(450);

/// How long after its link has closed a run may still go on: the lease, the 2% by which the
/// upstream's clock may be slow, and the time that a stop takes.
pub const RUN_GONE: Micros = Micros::from_millis(540);

/// How late a planner's own tick may be before its beliefs count as outdated: its links have
/// ended by then.
pub const PAUSE_LIMIT: Micros = LINK_SILENCE;

/// The steps in which planners are told how long runs can wait: finer ones would change, and be
/// told, all the time.
const PATIENCE: [Micros; 6] = [
    Micros::from_millis(15),
    Micros::from_millis(30),
    Micros::from_millis(60),
    Micros::from_millis(120),
    Micros::from_millis(250),
    Micros::from_millis(500),
];

/// Returns the upper end of the step in which a span lies for which a run can wait.
pub(crate) fn patience_step(span: Micros) -> Micros {
    let edge = PATIENCE.into_iter().find(|&edge| span <= edge);
    edge.unwrap_or(Micros(u64::MAX))
}
