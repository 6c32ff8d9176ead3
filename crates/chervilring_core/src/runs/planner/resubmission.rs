//! Detection of resubmissions.
//!
//! After all processes were lost and have restarted, callers resubmit their jobs within a second or
//! two, on top of the usual load. Those jobs have missed their objectives. If they counted as new,
//! they would make new jobs miss theirs.

use chervilring_wire::{Micros, Name, Time};
use rustc_hash::FxHashMap;

/// The number of jobs over which a route's share of short timeouts is averaged.
const AVERAGED_JOBS: f64 = 100.0;

/// The share of short timeouts above which they are usual on a route and do not mark resubmissions.
const USUAL_SHARE: f64 = 0.5;

/// How long a route without submissions is remembered.
const ROUTE_AGE: Micros = Micros::from_secs(600);

/// The arrival of a job.
#[derive(Debug, Clone, Copy)]
pub struct JobArrival<'a> {
    /// The route.
    pub route: &'a Name,
    /// When the job arrived.
    pub arrived: Time,
    /// How long the caller is still willing to wait.
    pub caller_timeout: Micros,
    /// The default caller timeout of the route.
    pub route_timeout: Micros,
}

/// Tells resubmissions from new jobs by the timeouts that callers state.
#[derive(Debug, Clone, Default)]
pub struct ResubmissionDetector {
    routes: FxHashMap<Name, RouteTimeouts>,
}

/// The timeouts stated on a route.
#[derive(Debug, Clone, Default)]
struct RouteTimeouts {
    /// The moving average of the share of callers whose timeout is below the route's.
    short_share: f64,
    last_seen: Time,
}

impl ResubmissionDetector {
    /// Returns the shortest time that a caller has waited before, or `None` for a new job.
    ///
    /// Callers state the time left until they stop waiting. A caller with less than its route's
    /// timeout has spent the rest on earlier submissions, and has waited for at least
    /// `resubmit_delay`.
    pub fn prior_wait(&mut self, arrival: &JobArrival, resubmit_delay: Micros) -> Option<Micros> {
        let is_short = arrival.caller_timeout < arrival.route_timeout;
        let route = self.routes.entry(arrival.route.clone()).or_default();
        route.short_share += (f64::from(u8::from(is_short)) - route.short_share) / AVERAGED_JOBS;
        route.last_seen = arrival.arrived;
        if !is_short || route.short_share > USUAL_SHARE {
            return None;
        }
        let spent = Micros(arrival.route_timeout.0 - arrival.caller_timeout.0);
        Some(resubmit_delay.max(spent))
    }

    /// Forgets routes on which no job has arrived for long.
    pub(super) fn forget_idle_routes(&mut self, now: Time) {
        self.routes
            .retain(|_, r| now.duration_since(r.last_seen) < ROUTE_AGE);
    }
}
