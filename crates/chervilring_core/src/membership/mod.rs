//! The ring of entries, the authority to start work, and what may have started before.
//!
//! The store agrees on who decides: one key holds the ring, changed by compare-and-swap only. The
//! home of an id is the only entry that starts its tasks, and only while the store or a majority
//! of the ring has lately confirmed that it knows no newer ring. See
//! `docs/design/at-most-once.md` for the rules and their reasons.

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

pub use constants::{AUTHORITY, HEARTBEAT, LEASE, SKEW, WINDOW};
#[doc(hidden)]
pub use rules::Rules;
pub use settings::{MemberSettings, MemberSettingsBuilder};
pub use state::Membership;
pub use step::{MemberStatus, MemberStep, PeerStatus, Place, Standing, StoreCall, StoreEvent};
