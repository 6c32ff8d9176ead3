//! What planners and runners keep in the store: the planners' addresses, and what each upstream
//! has last said of itself. The operators' configuration and evacuations are read there.
//!
//! The store may lose a key without telling, or turn single hosts away: what is in force is what a
//! read of the key itself brings, and what was read last stays in force while nothing is read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use chervilring_core::runs::runner::UpstreamRecord;
use chervilring_store::{Pair, StoreError};
use chervilring_wire::{ConfigReplica, Evacuations, Micros, Name};

/// How long a call for changes of what operators have written waits for one, and the time between
/// reads that fail: changes are to be in force within two seconds.
const OPERATOR_POLL: Duration = Duration::from_millis(500);

/// Time between reads that are begun while there is no configuration, whether the ones before have
/// been answered or not.
const FIRST_POLL: Duration = Duration::from_millis(100);

/// Reads of the first configuration that are under way at once at most.
const FIRST_READS: usize = 8;

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
    /// The newest configuration with its version, if there is one.
    pub config: Result<Option<(u64, Pair)>, StoreError>,
    /// The evacuated failure domains. They may take a call of their own.
    pub evacuations: Result<EvacuationReading, StoreError>,
}

impl OperatorReading {
    /// Returns the revision of the store that the reading shows, or why a part of it is missing.
    fn revision(&self) -> Result<u64, &StoreError> {
        self.config.as_ref()?;
        let reading = self.evacuations.as_ref()?;
        Ok(reading.evacuations.revision)
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

/// Follows the configuration and the evacuations on a thread of its own.
///
/// A document that has not changed is not read again: one of thousands of routes, read twice a
/// second, takes the link and the processor of a small host. The store tells what has changed since the
/// last reading; whatever it does not tell for sure is read past any cache.
pub(super) fn follow_operator(registry: Registry, tell: impl Fn(StoreEvent) + Send + 'static) {
    let mut well = true;
    spawn("store-config", move || {
        let mut follower = Follower::new(first_config(&registry, &mut well, &tell), &tell);
        loop {
            let begin = Instant::now();
            let outcome = follower.follow(&registry, &mut well, &tell);
            if outcome != Followed::Changed {
                // The call may have ended before its time.
                thread::sleep(OPERATOR_POLL.saturating_sub(begin.elapsed()));
            }
            if outcome == Followed::Unknown {
                follower.read(&registry, &mut well, &tell);
            }
        }
    });
}

/// What a wait for changes has brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Followed {
    Nothing,
    Changed,
    /// The operators' keys have to be read.
    Unknown,
}

/// What is known of the operators' keys.
struct Follower {
    /// The value of the configuration.
    config: Vec<u8>,
    /// The revision of the store up to which all changes are known.
    ///
    /// It stays while a wait for changes brings none: a store that holds changes back has them told
    /// when it is asked for them later, or says that it does not know any more.
    revision: u64,
}

impl Follower {
    /// Creates a follower that begins with a reading, and tells its configuration.
    fn new((revision, found): (u64, (u64, Pair)), tell: &impl Fn(StoreEvent)) -> Self {
        let mut this = Self {
            config: Vec::new(),
            revision,
        };
        this.take_config(found, tell);
        this
    }

    /// Waits for changes and takes them in.
    fn follow(
        &mut self,
        registry: &Registry,
        well: &mut bool,
        tell: &impl Fn(StoreEvent),
    ) -> Followed {
        match (registry.changes)(self.revision, OPERATOR_POLL) {
            Ok(OperatorChange::Nothing) => {
                report_read(Ok(self.revision), tell);
                report(well, None, tell);
                Followed::Nothing
            }
            Ok(OperatorChange::Changed {
                revision,
                config,
                other,
            }) => {
                if let Some(found) = config {
                    self.take_config(found, tell);
                }
                if other {
                    return Followed::Unknown;
                }
                self.revision = revision;
                report_read(Ok(revision), tell);
                report(well, None, tell);
                Followed::Changed
            }
            // The read that follows shows whether the store answers.
            Ok(OperatorChange::Unknown) | Err(_) => Followed::Unknown,
        }
    }

    /// Reads all that operators have written. What can be read is taken in, whatever else cannot.
    fn read(&mut self, registry: &Registry, well: &mut bool, tell: &impl Fn(StoreEvent)) {
        let Some(reading) = reported((registry.operator)(), well, tell) else {
            return;
        };
        if let Ok(revision) = reading.revision() {
            self.revision = revision;
        }
        if let Ok(evacuations) = reading.evacuations {
            tell(StoreEvent::Evacuations(evacuations));
        }
        if let Ok(Some(found)) = reading.config {
            self.take_config(found, tell);
        }
    }

    fn take_config(&mut self, (version, pair): (u64, Pair), tell: &impl Fn(StoreEvent)) {
        if self.config == pair.value {
            return;
        }
        let document = pair.value.clone().into();
        tell(StoreEvent::Config(ConfigReplica { version, document }));
        self.config = pair.value;
    }
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

/// Tells how a read has gone, and returns what it brought.
fn reported(
    outcome: Result<OperatorReading, StoreError>,
    well: &mut bool,
    tell: &impl Fn(StoreEvent),
) -> Option<OperatorReading> {
    let revision = match &outcome {
        Ok(reading) => reading.revision(),
        Err(error) => Err(error),
    };
    report_read(revision.map_err(ToString::to_string), tell);
    report(well, revision.err().cloned(), tell);
    // An error was told above.
    outcome.ok()
}

fn report_read(outcome: Result<u64, String>, tell: &impl Fn(StoreEvent)) {
    tell(StoreEvent::Read(ReadReport { outcome }));
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

/// Reads the configuration until there is one; returns it with the revision of the store.
///
/// The load that this answers: all processes start while the store takes calls and answers none. A
/// read that hangs must not hold up the one that the store would answer.
fn first_config(
    registry: &Registry,
    well: &mut bool,
    tell: &impl Fn(StoreEvent),
) -> (u64, (u64, Pair)) {
    let (ends, outcomes) = mpsc::channel();
    let mut reads = 0;
    loop {
        if reads < FIRST_READS {
            reads += 1;
            let (operator, ends) = (Arc::clone(&registry.operator), ends.clone());
            // Nobody listens any more once another read has brought it.
            spawn("store-first", move || drop(ends.send(operator())));
        }
        let next = Instant::now() + FIRST_POLL;
        while let Ok(outcome) =
            outcomes.recv_timeout(next.saturating_duration_since(Instant::now()))
        {
            reads -= 1;
            let Some(reading) = reported(outcome, well, tell) else {
                continue;
            };
            // No job is served by a configuration without the evacuations that were read with it.
            let Ok(evacuations) = reading.evacuations else {
                continue;
            };
            let revision = evacuations.evacuations.revision;
            tell(StoreEvent::Evacuations(evacuations));
            if let Ok(Some(found)) = reading.config {
                return (revision, found);
            }
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
fn report(well: &mut bool, error: Option<StoreError>, tell: &impl Fn(StoreEvent)) {
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
