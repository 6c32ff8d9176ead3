//! Evacuated failure domains, where runs start.
//!
//! The runner makes the last check: it starts nothing on an upstream of an evacuated domain, whichever
//! planner asks and however long a run has waited. Runs that have started go on. Queued runs are
//! handed back at once, so that planners place them elsewhere while they can still be in time.

use chervilring_wire::{Evacuations, RunnerMessage, Time};

use super::event::RunnerEvent;
use super::state::{Runner, RunnerStep};
use super::upstream::Availability;
use crate::runs::evacuation::EvacuationSource;

impl Runner {
    /// Takes in the evacuated failure domains as the store has them.
    pub fn set_evacuations(&mut self, now: Time, evacuations: &Evacuations) {
        self.update_evacuations(evacuations, EvacuationSource::Store);
        self.tick(now);
    }

    pub(super) fn update_evacuations(
        &mut self,
        evacuations: &Evacuations,
        source: EvacuationSource,
    ) {
        if !self.evacuations.update(evacuations) {
            return;
        }
        let event = RunnerEvent::EvacuationsChanged {
            evacuations: self.evacuations.clone(),
            source,
        };
        self.steps.push(RunnerStep::Log(event));
    }

    /// Returns whether the failure domain of the upstream is evacuated.
    pub fn is_evacuated(&self) -> bool {
        let upstream = self.upstream.as_ref().map(|u| &u.report.domain);
        let mut domains = upstream.into_iter().chain([&self.domain]);
        domains.any(|d| self.evacuations.contains(d))
    }

    /// Returns the number of evacuated failure domains.
    pub fn evacuated_domains(&self) -> usize {
        self.evacuations.domains.len()
    }

    /// Returns whether a start may be sent to the upstream, also one that is sent again.
    pub(super) fn may_start(&self) -> bool {
        let is_ready = |state| state == Availability::Ready;
        let upstream = self.upstream.as_ref();
        upstream.is_some_and(|u| is_ready(u.report.state)) && !self.is_evacuated()
    }

    /// Tells the planners that may not know the evacuated domains.
    pub(super) fn share_evacuations(&mut self) {
        for (&link, row) in self.links.iter_mut().filter(|(_, l)| l.hello_sent) {
            if !self.evacuations.is_news_to(&row.evacuations) {
                continue;
            }
            row.evacuations.clone_from(&self.evacuations);
            let message = RunnerMessage::Evacuations(self.evacuations.clone());
            self.steps.push(RunnerStep::Send { link, message });
        }
    }
}
