//! Spans that planners and runners have in common.

use std::time::Duration;

use chervilring_wire::Micros;

/// The longest span between two looks at the clock: a pause must show before beliefs are outdated.
pub(super) const TICK: Duration = Duration::from_millis(50);

/// Time between looks at stale connections.
pub(super) const SWEEP: Micros = Micros::from_secs(1);

/// What of the grace period is left for answers to leave and the process to end.
pub(super) const EXIT_TIME: Micros = Micros::from_millis(900);
