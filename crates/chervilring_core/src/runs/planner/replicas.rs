//! Replicas of the configuration, which runners store for planners that start without the store.
//!
//! Only a few runners store a replica, and a planner sends one at a time. With a large configuration
//! several at once could fill the network link of a small host for longer than links last without a
//! heartbeat, and all links would be lost.

use chervilring_wire::{Micros, Name, PlannerMessage, Time};
use xxhash_rust::xxh3::xxh3_64;

use super::event::PlannerEvent;
use super::links::LinkNo;
use super::state::{Planner, PlannerStep};
use super::upstream::Upstream;

/// The number of runners that store a replica. Some may be gone when it is needed.
const REPLICA_COUNT: usize = 5;

/// How long a runner has to send its replica before another one is asked.
const REQUEST_INTERVAL: Micros = Micros::from_millis(200);

impl Planner {
    /// Sends the configuration to the next chosen runner that does not have this version yet, unless
    /// one is on its way to another.
    pub(super) fn send_replica(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        let version = config.version;
        let is_behind = |u: &Upstream| u.replica_version < version;
        let is_sent = |u: &Upstream| u.replica_sent == version && is_behind(u);
        if self.links.values().any(is_sent) {
            return;
        }
        let names = self.links.iter().map(|(&link, u)| (link, &u.name));
        let mut holders = replica_holders(names);
        if holders.is_empty() {
            return;
        }
        // Planners begin at different runners, so that these get their replicas from several.
        let first = self.settings.seed as usize % holders.len();
        holders.rotate_left(first);
        let links = &mut self.links;
        let Some(link) = holders.into_iter().find(|l| is_behind(&links[l])) else {
            return;
        };
        if let Some(upstream) = links.get_mut(&link) {
            upstream.replica_sent = version;
        }
        let message = PlannerMessage::StoreReplica(config.clone());
        self.steps.push(PlannerStep::Send { link, message });
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
pub(super) fn replica_holders<'a>(names: impl Iterator<Item = (LinkNo, &'a Name)>) -> Vec<LinkNo> {
    let rank = |(link, name): (LinkNo, &'a Name)| (xxh3_64(name.as_bytes()), link);
    let mut rows: Vec<(u64, LinkNo)> = names.map(rank).collect();
    rows.sort_unstable();
    rows.into_iter()
        .take(REPLICA_COUNT)
        .map(|(_, link)| link)
        .collect()
}
