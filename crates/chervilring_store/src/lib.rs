//! The platform's key-value service, and what the dispatcher keeps in it.
//!
//! [`Store`] speaks the protocol of one kind of service: the published JSON gateway of etcd v3. A
//! second kind needs a `Store` with the same methods, in a module beside `etcd`, and nothing else.
//! [`RingStore`] keeps the ring and the entries' leases; [`ConfigStore`] keeps the configuration
//! and its audit trail. All calls block; they belong on threads of their own.

mod catch_up;
mod config;
mod error;
mod etcd;
mod keys;
mod ring;
mod settings;
mod store;
mod submit;
mod watch;

pub use catch_up::CatchUp;
pub use config::{ConfigStore, Snapshot};
pub use error::StoreError;
pub use etcd::{Store, Watch};
pub use ring::{CasResult, RenewResult, RingStore};
pub use settings::{DEFAULT_PREFIX, StoreSettings, StoreSettingsBuilder};
pub use store::{Change, Changes, Op, Page, Pair, Txn, TxnAnswer};
pub use submit::{Accepted, Competing, SubmitError};
pub use watch::{AuditWatch, ConfigWatch};
