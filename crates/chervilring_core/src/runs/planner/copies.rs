//! Copies of the configuration, which runners keep for planners that start while the store is away.
//!
//! The load that this answers: a configuration of many routes, many runners, and a planner whose host
//! has a slow link. A copy for each of them fills that link for longer than links last without a
//! heartbeat, and all of them end.

use chervilring_wire::{Micros, Name, PlannerMessage, Time};
use xxhash_rust::xxh3::xxh3_64;

use super::links::LinkNo;
use super::state::{Planner, PlannerStep};

/// How many runners keep a copy: some may be gone when it is needed.
const KEEPERS: usize = 5;

/// How long a runner has to send its copy before another is asked.
const ASK_AGAIN: Micros = Micros::from_millis(200);

impl Planner {
    /// Sends the configuration to the runners that are to keep it and do not.
    pub(super) fn spread_copies(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        let names = self.links.iter().map(|(&link, u)| (link, &u.name));
        for link in keepers(names) {
            let Some(upstream) = self.links.get_mut(&link) else {
                continue;
            };
            if upstream.kept >= config.version {
                continue;
            }
            upstream.kept = config.version;
            let message = PlannerMessage::StoreReplica(config.clone());
            self.steps.push(PlannerStep::Send { link, message });
        }
    }

    /// Asks a runner for its copy if that is newer than all that is known here.
    pub(super) fn ask_copy(&mut self, now: Time) {
        let own = self.config.as_ref().map_or(0, |c| c.version);
        let known = own.max(self.copy);
        if now < self.ask {
            return;
        }
        let newer = self.links.iter().filter(|(_, u)| u.kept > known);
        let Some((&link, _)) = newer.max_by_key(|(link, u)| (u.kept, **link)) else {
            return;
        };
        self.ask = now + ASK_AGAIN;
        let message = PlannerMessage::RequestReplica;
        self.steps.push(PlannerStep::Send { link, message });
    }
}

/// Returns the links to the runners that keep copies: the same ones for all planners.
fn keepers<'a>(names: impl Iterator<Item = (LinkNo, &'a Name)>) -> Vec<LinkNo> {
    let rank = |(link, name): (LinkNo, &'a Name)| (xxh3_64(name.as_bytes()), link);
    let mut rows: Vec<(u64, LinkNo)> = names.map(rank).collect();
    rows.sort_unstable();
    rows.into_iter()
        .take(KEEPERS)
        .map(|(_, link)| link)
        .collect()
}
