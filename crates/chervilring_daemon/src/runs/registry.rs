//! What planners and runners keep in the store: the planners' addresses, and what each upstream
//! has last said of itself. The operators' configuration and evacuations are read there.
//!
//! The store may lose a key without telling, or turn single hosts away: what is in force is what a
//! read of the key itself brings, and what was read last stays in force while nothing is read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use chervilring_core::runs::runner::UpstreamRecord;
use chervilring_store::{Pair, StoreError};
use chervilring_wire::{ConfigReplica, Evacuations, Micros, Name};

/// Time between a runner's looks at the evacuations: they are to be in force within half a second
/// where no planner reaches the store.
const EVACUATION_POLL: Duration = Duration::from_millis(450);

/// Time between looks at the planners' addresses.
const MEMBER_POLL: Duration = Duration::from_secs(1);

/// Time between the first looks at them, while planners that start at the same time list
/// themselves.
const EARLY_POLL: Duration = Duration::from_millis(200);

/// How many looks count as the first ones.
const EARLY_ROUNDS: u32 = 4;

/// How long an address stays listed after its planner was lost.
const MEMBER_TTL: Micros = Micros::from_secs(10);

/// Looks at the addresses between two renewals of the lease on the own one.
const RENEW_EVERY: u32 = 3;

/// The prefix of the keys under which planners list their addresses.
const MEMBERS: &str = "planners/";

/// What operators have written, as one read shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorReading {
    /// The revision of the store that every part shows or is newer than: what was written after it may
    /// be missing from one part although another, read by a later call, shows a later revision.
    pub revision: u64,
    /// The newest configuration with its version, if there is one.
    pub config: Result<Option<(u64, Pair)>, StoreError>,
    /// The evacuated failure domains. They may take a call of their own.
    pub evacuations: Result<EvacuationReading, StoreError>,
}

impl OperatorReading {
    /// Returns the revision of the store after which changes may be missing, or why a part of the
    /// reading is.
    pub(super) fn revision(&self) -> Result<u64, &StoreError> {
        self.config.as_ref()?;
        self.evacuations.as_ref()?;
        Ok(self.revision)
    }
}

/// What has become of the operators' keys since a revision of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorChange {
    /// Nothing is known to have changed.
    Nothing,
    /// Keys have changed.
    Changed {
        /// The revision of the store that shows the changes.
        revision: u64,
        /// The newest configuration with its version, if it has changed.
        config: Option<(u64, Pair)>,
        /// Whether there are other changes: evacuations, or more versions of the configuration.
        other: bool,
    },
    /// The store does not know any more.
    Unknown,
}

/// The evacuated failure domains, as one read shows them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EvacuationReading {
    /// The domains.
    pub evacuations: Evacuations,
    /// What is wrong with keys and values, a text for each.
    pub faults: Vec<Name>,
}

type GetOperator = dyn Fn() -> Result<OperatorReading, StoreError> + Send + Sync;
type AwaitChanges = dyn Fn(u64, Duration) -> Result<OperatorChange, StoreError> + Send + Sync;
type GetEvacuations = dyn Fn() -> Result<EvacuationReading, StoreError> + Send + Sync;
type Get = dyn Fn(&str) -> Result<Option<Pair>, StoreError> + Send + Sync;
type List = dyn Fn(&str) -> Result<Vec<Pair>, StoreError> + Send + Sync;
type Replace = dyn Fn(&str, &[u8], u64) -> Result<Option<u64>, StoreError> + Send + Sync;
type Put = dyn Fn(&str, &[u8], u64) -> Result<(), StoreError> + Send + Sync;
type Grant = dyn Fn(Micros) -> Result<u64, StoreError> + Send + Sync;
type Renew = dyn Fn(u64) -> Result<bool, StoreError> + Send + Sync;

/// The store's calls, each on a client that several threads share.
#[derive(Clone)]
pub struct Registry {
    /// Reads what operators have written, past any cache.
    pub operator: Arc<GetOperator>,
    /// Waits, for a time at most, for changes of what operators have written since a revision.
    pub changes: Arc<AwaitChanges>,
    /// Reads the evacuated failure domains, past any cache.
    pub evacuations: Arc<GetEvacuations>,
    /// Reads the evacuated failure domains, which may be some seconds old.
    pub evacuation_hint: Arc<GetEvacuations>,
    /// Reads a key, past any cache.
    pub get: Arc<Get>,
    /// Reads the keys with a prefix, which may be some seconds old.
    pub list: Arc<List>,
    /// Writes a key for good if its revision, zero for none, is the one given; returns the new one, or
    /// none where it was another.
    pub replace: Arc<Replace>,
    /// Writes a key under a lease.
    pub put: Arc<Put>,
    /// Makes a lease.
    pub grant: Arc<Grant>,
    /// Renews a lease; returns whether it still exists.
    pub renew: Arc<Renew>,
}

/// How a read of what operators have written has gone.
#[derive(Debug)]
pub struct ReadReport {
    /// The revision of the store that it showed, or why it failed.
    pub outcome: Result<u64, String>,
}

/// What the threads that call the store tell.
#[derive(Debug)]
pub enum StoreEvent {
    /// The configuration was read and is another than before.
    Config(ConfigReplica),
    /// The evacuated failure domains were read.
    Evacuations(EvacuationReading),
    /// A read of what operators have written has succeeded or failed.
    Read(ReadReport),
    /// The planners' addresses were read.
    Members(Vec<SocketAddr>),
    /// What an earlier life of the runner knew of its upstream, and whether that still answers.
    Recalled(UpstreamRecord, bool),
    /// The store answers again, or no more, and why.
    Reached(Option<StoreError>),
}

/// Follows the evacuations on a thread of its own.
///
/// Most reads may be old: they cost little, also with thousands of runners. When one shows another
/// set than the last fresh read, the store is read past any cache: an old read does not tell whether
/// a domain has been taken back or was not evacuated yet.
pub(super) fn follow_evacuations(registry: Registry, tell: impl Fn(StoreEvent) + Send + 'static) {
    let mut well = true;
    let mut last: Option<EvacuationReading> = None;
    spawn("store-evacuations", move || {
        loop {
            if let Some(hint) = checked((registry.evacuation_hint)(), &mut well, &tell) {
                let domains = &hint.evacuations.domains;
                let is_known = last
                    .as_ref()
                    .is_some_and(|l| l.evacuations.domains == *domains);
                if !is_known
                    && let Some(fresh) = checked((registry.evacuations)(), &mut well, &tell)
                {
                    last = Some(fresh.clone());
                    tell(StoreEvent::Evacuations(fresh));
                }
            }
            thread::sleep(EVACUATION_POLL);
        }
    });
}

/// Returns the outcome of a call, or tells that the store is lost.
fn checked<T>(
    outcome: Result<T, StoreError>,
    well: &mut bool,
    tell: &impl Fn(StoreEvent),
) -> Option<T> {
    match outcome {
        Ok(found) => {
            report(well, None, tell);
            Some(found)
        }
        Err(error) => {
            report(well, Some(error), tell);
            None
        }
    }
}

/// Keeps the address of a planner listed, on a thread of its own.
pub(super) fn keep_listed(
    registry: Registry,
    addr: SocketAddr,
    tell: impl Fn(StoreEvent) + Send + 'static,
) {
    let mut lease = None;
    let mut round = 0_u32;
    let mut well = true;
    spawn("store-member", move || {
        loop {
            let done = list_once(&registry, addr, &mut lease, round);
            report(&mut well, done.err(), &tell);
            round = round.wrapping_add(1);
            thread::sleep(MEMBER_POLL);
        }
    });
}

/// Follows the planners' addresses on a thread of its own.
pub(super) fn follow_members(registry: Registry, tell: impl Fn(StoreEvent) + Send + 'static) {
    let mut well = true;
    spawn("store-member", move || {
        for round in 0_u32.. {
            if let Some(pairs) = checked((registry.list)(MEMBERS), &mut well, &tell) {
                let addrs = pairs.iter().filter_map(|p| addr_of(&p.key));
                tell(StoreEvent::Members(addrs.collect()));
            }
            let is_early = round < EARLY_ROUNDS;
            thread::sleep(if is_early { EARLY_POLL } else { MEMBER_POLL });
        }
    });
}

/// Renews the lease when that is due, and writes the key where it is missing: a lease that is
/// renewed does not prove that its key is still there.
fn list_once(
    registry: &Registry,
    addr: SocketAddr,
    lease: &mut Option<u64>,
    round: u32,
) -> Result<(), StoreError> {
    let key = format!("{MEMBERS}{addr}");
    if let Some(id) = lease.filter(|_| round.is_multiple_of(RENEW_EVERY))
        && !(registry.renew)(id)?
    {
        *lease = None;
    }
    let listed = round != 0 && (registry.list)(MEMBERS)?.iter().any(|p| p.key == key);
    if listed && lease.is_some() {
        return Ok(());
    }
    let id = match *lease {
        Some(id) => id,
        None => (registry.grant)(MEMBER_TTL)?,
    };
    *lease = Some(id);
    if let Err(error) = (registry.put)(&key, &[], id) {
        *lease = None;
        return Err(error);
    }
    Ok(())
}

fn addr_of(key: &str) -> Option<SocketAddr> {
    key.strip_prefix(MEMBERS)?.parse().ok()
}

/// Tells when the store is lost or found again.
pub(super) fn report(well: &mut bool, error: Option<StoreError>, tell: &impl Fn(StoreEvent)) {
    if *well == error.is_none() {
        return;
    }
    *well = error.is_none();
    tell(StoreEvent::Reached(error));
}

pub(super) fn spawn(name: &str, work: impl FnOnce() + Send + 'static) {
    let spawned = thread::Builder::new().name(name.to_owned()).spawn(work);
    if let Err(error) = spawned {
        // Without the thread the process knows nothing: it is better started anew.
        panic!("no thread for the store: {error}");
    }
}
