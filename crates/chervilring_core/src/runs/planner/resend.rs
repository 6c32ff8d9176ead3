//! Whether a job is sent again by a caller who has waited for it before.
//!
//! The load that this answers: all processes were lost and come back, and within a second or two the
//! callers of that time send their jobs again, on top of the usual load. They have missed their
//! objectives; taken for new ones they would make the new ones miss theirs.

use chervilring_wire::{Micros, Name, Time};
use rustc_hash::FxHashMap;

/// The number of jobs over which a route's share of callers with little patience is taken.
const WINDOW: f64 = 100.0;

/// Above this share a route's callers have little patience from the start.
const USUAL: f64 = 0.5;

/// How long a route is remembered on which nothing comes in.
const ROUTE_AGE: Micros = Micros::from_secs(600);

/// A sending of a job, as it comes in.
#[derive(Debug, Clone, Copy)]
pub struct Sending<'a> {
    /// The route.
    pub route: &'a Name,
    /// When it comes in.
    pub at: Time,
    /// How long the caller goes on waiting.
    pub patience: Micros,
    /// How long the route lets callers wait.
    pub timeout: Micros,
}

/// What is known of the patience of callers.
#[derive(Debug, Clone, Default)]
pub struct Resends {
    routes: FxHashMap<Name, Route>,
}

/// The callers of a route.
#[derive(Debug, Clone, Default)]
struct Route {
    /// The share of those who waited less than the route lets them.
    short: f64,
    seen: Time,
}

impl Resends {
    /// Returns how long a caller has waited before, at the least; nothing for a new one.
    ///
    /// Callers name what is left of their time. One who has less than its route gives has spent
    /// the rest, and came back after `resend` at the soonest.
    pub fn waited(&mut self, sending: &Sending, resend: Micros) -> Option<Micros> {
        let is_short = sending.patience < sending.timeout;
        let route = self.routes.entry(sending.route.clone()).or_default();
        route.short += (f64::from(u8::from(is_short)) - route.short) / WINDOW;
        route.seen = sending.at;
        if !is_short || route.short > USUAL {
            return None;
        }
        let spent = Micros(sending.timeout.0 - sending.patience.0);
        Some(resend.max(spent))
    }

    /// Forgets routes on which nothing has come in for long.
    pub(super) fn forget(&mut self, now: Time) {
        self.routes
            .retain(|_, r| now.duration_since(r.seen) < ROUTE_AGE);
    }
}
