//! Replicas of the configuration, which runners store for planners that start without the store.
//!
//! Only a few runners store a replica. With a large configuration and many runners, replicas for
//! all of them could fill the planner's network link for longer than links last without a
//! heartbeat, and all links would be lost.

use chervilring_wire::{Micros, Name, PlannerMessage, Time};
use xxhash_rust::xxh3::xxh3_64;

use super::event::PlannerEvent;
use super::links::LinkNo;
use super::state::{Planner, PlannerStep};

/// The number of runners that store a replica. Some may be gone when it is needed.
const REPLICA_COUNT: usize = 5;

/// How long a runner has to send its replica before another one is asked.
const REQUEST_INTERVAL: Micros = Micros::from_millis(200);

impl Planner {
    /// Sends the configuration to the chosen runners that do not have this version yet.
    pub(super) fn send_replicas(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        let names = self.links.iter().map(|(&link, u)| (link, &u.name));
        for link in replica_holders(names) {
            let Some(upstream) = self.links.get_mut(&link) else {
                continue;
            };
            if upstream.replica_version >= config.version {
                continue;
            }
            upstream.replica_version = config.version;
            let message = PlannerMessage::StoreReplica(config.clone());
            self.steps.push(PlannerStep::Send { link, message });
        }
    }

    /// Asks a runner for its replica if that is newer than all versions known here.
    pub(super) fn request_replica(&mut self, now: Time) {
        let own = self.config.as_ref().map_or(0, |c| c.version);
        let known = own.max(self.newest_replica);
        if now < self.next_request {
            return;
        }
        let newer = self.links.iter().filter(|(_, u)| u.replica_version > known);
        let Some((&link, upstream)) = newer.max_by_key(|(link, u)| (u.replica_version, **link))
        else {
            return;
        };
        let event = PlannerEvent::ReplicaRequested {
            runner: upstream.name.clone(),
            version: upstream.replica_version,
            known,
        };
        self.steps.push(PlannerStep::Log(event));
        self.next_request = now + REQUEST_INTERVAL;
        let message = PlannerMessage::RequestReplica;
        self.steps.push(PlannerStep::Send { link, message });
    }
}

/// Returns the links to the runners that store replicas. All planners choose the same runners.
fn replica_holders<'a>(names: impl Iterator<Item = (LinkNo, &'a Name)>) -> Vec<LinkNo> {
    let rank = |(link, name): (LinkNo, &'a Name)| (xxh3_64(name.as_bytes()), link);
    let mut rows: Vec<(u64, LinkNo)> = names.map(rank).collect();
    rows.sort_unstable();
    rows.into_iter()
        .take(REPLICA_COUNT)
        .map(|(_, link)| link)
        .collect()
}
