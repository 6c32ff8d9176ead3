//! What a runner does over its links to planners: greeting, parting, losing, telling states.

use chervilring_wire::{Micros, RunKey, RunnerMessage, Time, UpstreamState};
use rustc_hash::FxHashSet;

use super::event::RunnerEvent;
use super::state::{Runner, RunnerStep};
use super::telling::{differs, grain};
use crate::runs::planner::LinkNo;

impl Runner {
    /// Takes in that the process had stood still: planners have dropped its links, and the lease
    /// has ended.
    pub fn paused(&mut self, now: Time, span: Micros) {
        self.steps
            .push(RunnerStep::Log(RunnerEvent::Paused { span }));
        let links: Vec<LinkNo> = self.links.keys().copied().collect();
        for link in links {
            self.lose(now, link, "paused");
            self.steps.push(RunnerStep::Close(link));
        }
        self.tick(now);
    }

    /// Ends the belief in a link and stops its runs.
    pub(super) fn lose(&mut self, now: Time, link: LinkNo, why: &'static str) {
        let Some(lost) = self.links.remove(&link) else {
            return;
        };
        let rows = self.runs.iter_mut().filter(|(_, r)| r.link == Some(link));
        let mut runs: Vec<RunKey> = Vec::new();
        for (run, row) in rows {
            row.link = None;
            runs.push(*run);
        }
        // One that was never heard is a planner that could not be reached as yet.
        if lost.heard {
            let is_parted = lost.parting.is_some() && runs.is_empty();
            let event = RunnerEvent::LinkLost {
                link: link.0,
                why: if is_parted { "not needed" } else { why },
                runs: runs.len() as u32,
            };
            self.steps.push(RunnerStep::Log(event));
        }
        for run in runs {
            self.stop(now, run);
        }
    }

    /// Returns whether planners may be greeted: nothing runs for one that was lost.
    pub fn may_greet(&self, now: Time) -> bool {
        if self.runs.values().any(|r| r.link.is_none()) {
            return false;
        }
        // What an earlier life of this runner has started is known from the upstream's lists, or
        // over with its lease.
        now >= self.past || self.worker.as_ref().is_some_and(|w| w.known)
    }

    /// Says hello on new links.
    pub(super) fn greet_links(&mut self, now: Time) {
        if !self.may_greet(now) {
            return;
        }
        let kept = self.kept();
        for (&link, row) in &mut self.links {
            if row.greeted {
                continue;
            }
            row.greet(now);
            let message = RunnerMessage::Hello {
                name: self.name.clone(),
                domain: self.domain.clone(),
                incarnation: self.life,
                link_seq: link.0,
                replica_version: kept,
            };
            self.steps.push(RunnerStep::Send { link, message });
        }
    }

    /// Asks planners to close links that are not needed and over which nothing runs.
    pub(super) fn part_links(&mut self, now: Time) {
        let busy: FxHashSet<LinkNo> = self.runs.values().filter_map(|r| r.link).collect();
        for (&link, row) in &mut self.links {
            let is_due = row.parting.is_some_and(|at| now >= at);
            if !is_due || busy.contains(&link) {
                continue;
            }
            row.await_quiet(now);
            let message = RunnerMessage::CloseLink;
            self.steps.push(RunnerStep::Send { link, message });
        }
    }

    /// Closes links on which no heartbeat is answered.
    pub(super) fn drop_silent(&mut self, now: Time) {
        let rows = self
            .links
            .iter()
            .filter(|(_, l)| now > l.alive && l.greeted);
        let silent: Vec<LinkNo> = rows.map(|(&l, _)| l).collect();
        for link in silent {
            self.lose(now, link, "silent");
            self.steps.push(RunnerStep::Close(link));
        }
    }

    /// Tells planners the state of the upstream where it has changed.
    pub(super) fn tell_states(&mut self, now: Time) {
        let Some(worker) = &self.worker else {
            return;
        };
        let is_open = self.is_open();
        let mut state = UpstreamState {
            start_seq: 0,
            accepting: is_open,
            service: worker.report.service.clone(),
            capacity: worker.report.capacity,
            free: self.free(),
            queued: self.queue(now),
            run_time: Micros::from_millis(self.span as u64 / 1_000),
            speed: self.speed.permille(),
            labels: worker.report.labels.clone(),
        };
        let busy: FxHashSet<LinkNo> = self.steps.iter().filter_map(goes_to).collect();
        let grain = grain(self.links.len());
        for (&link, row) in self.links.iter_mut().filter(|(_, l)| l.greeted) {
            state.start_seq = row.number;
            state.accepting = is_open && row.parting.is_none();
            let is_due = row.told.as_ref().is_none_or(|told| {
                *told != state && (busy.contains(&link) || differs(told, &state, grain))
            });
            if !is_due {
                continue;
            }
            row.told = Some(state.clone());
            let message = RunnerMessage::State(state.clone());
            self.steps.push(RunnerStep::Send { link, message });
        }
    }
}

/// Returns the link over which a step sends something.
fn goes_to(step: &RunnerStep) -> Option<LinkNo> {
    match step {
        RunnerStep::Send { link, .. } => Some(*link),
        _ => None,
    }
}
