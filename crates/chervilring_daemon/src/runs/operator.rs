//! Follows what operators write: the configuration and the evacuations.

use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use chervilring_store::{Pair, StoreError};
use chervilring_wire::ConfigReplica;

use super::registry::{
    OperatorChange, OperatorReading, ReadReport, Registry, StoreEvent, report, spawn,
};

/// How long a call for changes of what operators have written waits for one, and the time between
/// reads that fail: changes are to be in force within two seconds.
const OPERATOR_POLL: Duration = Duration::from_millis(500);

/// Time between reads that are begun while there is no configuration, whether the ones before have
/// been answered or not.
const FIRST_POLL: Duration = Duration::from_millis(100);

/// Reads of the first configuration that are under way at once at most.
const FIRST_READS: usize = 8;

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
            let revision = reading.revision;
            // No job is served by a configuration without the evacuations that were read with it.
            let Ok(evacuations) = reading.evacuations else {
                continue;
            };
            tell(StoreEvent::Evacuations(evacuations));
            if let Ok(Some(found)) = reading.config {
                return (revision, found);
            }
        }
    }
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
