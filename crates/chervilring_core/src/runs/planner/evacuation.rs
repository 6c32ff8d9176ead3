//! Evacuated failure domains, where runs are placed.
//!
//! An evacuation takes a failure domain's capacity away from one moment to the next, under the usual
//! load. Its upstreams are no candidates from then on, and a job that no other upstream could serve is
//! refused at once: its caller has the rest of its time to turn elsewhere.

use chervilring_wire::{Evacuations, PlannerMessage, Time};

use super::event::PlannerEvent;
use super::state::{Planner, PlannerStep};
use crate::runs::evacuation::EvacuationSource;

impl Planner {
    /// Takes in the evacuated failure domains as the store has them.
    pub fn set_evacuations(&mut self, now: Time, evacuations: &Evacuations) {
        self.update_evacuations(now, evacuations, EvacuationSource::Store);
    }

    pub(super) fn update_evacuations(
        &mut self,
        now: Time,
        evacuations: &Evacuations,
        source: EvacuationSource,
    ) {
        if !self.evacuations.update(evacuations) {
            return;
        }
        for upstream in self.links.values_mut() {
            upstream.evacuated = self.evacuations.contains(&upstream.domain);
        }
        let event = PlannerEvent::EvacuationsChanged {
            evacuations: self.evacuations.clone(),
            source,
            upstreams: self.evacuated_upstreams(),
        };
        self.steps.push(PlannerStep::Log(event));
        self.share_evacuations();
        let jobs: Vec<u64> = self.jobs.keys().copied().collect();
        for seq in jobs {
            self.check_job(now, seq);
        }
        self.capacity_changed = true;
    }

    /// Tells the runners that may not know the evacuated domains.
    pub(super) fn share_evacuations(&mut self) {
        for (&link, upstream) in &mut self.links {
            if !self.evacuations.is_news_to(&upstream.evacuations) {
                continue;
            }
            upstream.evacuations.clone_from(&self.evacuations);
            let message = PlannerMessage::Evacuations(self.evacuations.clone());
            self.steps.push(PlannerStep::Send { link, message });
        }
    }

    /// Returns whether all upstreams of a service are in evacuated domains. False as long as none is
    /// known, or others may not have opened their links.
    pub(super) fn is_service_evacuated(&self, now: Time, service: &str) -> bool {
        if self.evacuations.domains.is_empty() || now < self.links_due {
            return false;
        }
        let mut upstreams = self.links.values().filter(|u| u.offers(service)).peekable();
        upstreams.peek().is_some() && upstreams.all(|u| u.evacuated)
    }

    /// Returns the number of evacuated failure domains.
    pub fn evacuated_domains(&self) -> usize {
        self.evacuations.domains.len()
    }

    /// Returns the number of linked upstreams in evacuated failure domains.
    pub fn evacuated_upstreams(&self) -> usize {
        self.links.values().filter(|u| u.evacuated).count()
    }
}
