//! Group membership of the entries: ring views, heartbeats, leases, authority to start work,
//! eviction, and the ids that former homes may have started.
//!
//! One key of the store holds the ring and changes by compare-and-swap only. The home of an id is
//! the only entry that starts its tasks, and only while the store or a majority of the ring has
//! recently acknowledged that it knows no newer ring. See `docs/design/at-most-once.md` for the
//! rules and their reasons.

mod agent_usage;
mod authority;
mod change;
mod constants;
mod heartbeat;
mod home_reports;
mod id_status;
mod install;
mod leases;
mod outbox;
mod peer;
mod retirement;
mod rules;
mod settings;
mod source;
mod started_ids;
mod state;
mod status;
mod step;
mod store;

pub use constants::{
    AUTHORITY_DURATION, HEARTBEAT_INTERVAL, ID_WINDOW, LEASE_DURATION, MAX_CLOCK_SKEW,
};
#[doc(hidden)]
pub use rules::Rules;
pub use settings::{MemberSettings, MemberSettingsBuilder};
pub use state::Membership;
pub use step::{
    HomeLocation, IdStatus, MemberStatus, MemberStep, PeerStatus, StoreCall, StoreEvent,
};
