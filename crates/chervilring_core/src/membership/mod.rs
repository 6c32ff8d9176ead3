//! The ring of entries, the authority to start work, and what may have started before.
//!
//! The store agrees on who decides: one key holds the ring, changed by compare-and-swap only. The
//! home of an id is the only entry that starts its tasks, and only while the store or a majority
//! of the ring has lately confirmed that it knows no newer ring. See
//! `docs/design/at-most-once.md` for the rules and their reasons.

mod adopt;
mod authority;
mod beat;
mod change;
mod homes;
mod known;
mod outbox;
mod peer;
mod presence;
mod rules;
mod settings;
mod settle;
mod source;
mod standing;
mod state;
mod status;
mod step;
mod store;
mod times;
mod usage;

#[doc(hidden)]
pub use rules::Rules;
pub use settings::{MemberSettings, MemberSettingsBuilder};
pub use state::Membership;
pub use step::{MemberStatus, MemberStep, PeerStatus, Place, Standing, StoreCall, StoreEvent};
pub use times::{AUTHORITY, HEARTBEAT, LEASE, SKEW, WINDOW};
