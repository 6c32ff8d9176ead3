//! What runners tell a planner.

use chervilring_wire::{RunnerMessage, Time, UpstreamState};

use super::event::{LossCause, PlannerEvent};
use super::links::LinkNo;
use super::state::{Planner, PlannerStep};
use super::upstream::{LinkSource, Upstream};
use crate::runs::bounds::MAX_ORPHAN_TIME;

impl Planner {
    /// Takes in that a link has ended.
    pub fn link_down(&mut self, now: Time, link: LinkNo) {
        self.lose(now, link, now + MAX_ORPHAN_TIME);
    }

    /// Takes in a message of a runner.
    pub fn message(&mut self, now: Time, link: LinkNo, message: RunnerMessage) {
        if let Some(upstream) = self.links.get_mut(&link) {
            upstream.heard = now;
        }
        match message {
            RunnerMessage::Hello {
                name,
                domain,
                incarnation: life,
                link_seq: number,
                replica_version: kept,
            } => {
                let mut upstream = Upstream::new(name, domain, now);
                upstream.source = LinkSource { life, number };
                upstream.kept = kept;
                self.greet(now, link, upstream);
                self.ask_copy(now);
            }
            RunnerMessage::ReplicaVersion(version) => {
                if let Some(upstream) = self.links.get_mut(&link) {
                    upstream.kept = upstream.kept.max(version);
                }
                self.ask_copy(now);
            }
            RunnerMessage::Replica(config) => {
                self.copy = self.copy.max(config.version);
                self.steps.push(PlannerStep::Config(config));
            }
            RunnerMessage::HeartbeatAck(number) => {
                if let Some(upstream) = self.links.get_mut(&link) {
                    upstream.echo = number;
                }
            }
            RunnerMessage::CloseLink => self.part(link),
            RunnerMessage::State(state) => self.set_state(now, link, state),
            RunnerMessage::Started(run) => {
                if let Some(&(no, _)) = self.runs.get(&run).filter(|_| self.is_at(&run, link)) {
                    let job = self.jobs.get_mut(&no);
                    job.map(|j| j.started.get_or_insert(now));
                    self.settle(now, no);
                }
            }
            RunnerMessage::Refused { run, reason } => {
                self.count_down(link);
                if self.is_at(&run, link) {
                    self.restart(now, run, LossCause::Refused(reason));
                }
            }
            RunnerMessage::Ended { run, end } => {
                self.count_down(link);
                self.changed = true;
                if self.is_at(&run, link) {
                    self.ended(now, link, run, end);
                }
            }
            RunnerMessage::Progress(rows) => self.progress(now, &rows),
        }
    }

    fn greet(&mut self, now: Time, link: LinkNo, upstream: Upstream) {
        let same = |(_, u): &(&LinkNo, &Upstream)| u.name == upstream.name;
        let rows = self.links.iter().filter(same);
        let others: Vec<(LinkNo, LinkSource)> = rows.map(|(&l, u)| (l, u.source)).collect();
        // Packets that are lost and sent again bring the hello of a link after that of the next one;
        // the runner has closed the earlier one long ago.
        if others.iter().any(|(_, s)| upstream.source.is_before(s)) {
            let runner = upstream.name;
            let event = PlannerEvent::LinkStale { runner };
            self.steps.push(PlannerStep::Log(event));
            self.steps.push(PlannerStep::Close(link));
            return;
        }
        let event = PlannerEvent::LinkUp {
            runner: upstream.name.clone(),
            domain: upstream.domain.clone(),
        };
        self.steps.push(PlannerStep::Log(event));
        for (old, source) in others {
            // Within one life the runner has ended all runs of its earlier links before it says hello
            // on a new one. Of two lives it is not known which came first.
            let gone = if source.is_before(&upstream.source) {
                now
            } else {
                now + MAX_ORPHAN_TIME
            };
            self.lose(now, old, gone);
            self.steps.push(PlannerStep::Close(old));
        }
        let profile = self.profiles.entry(upstream.name.clone()).or_default();
        profile.seen = now;
        self.links.insert(link, upstream);
        self.send_beat(link);
    }

    fn set_state(&mut self, now: Time, link: LinkNo, state: UpstreamState) {
        let Some(upstream) = self.links.get_mut(&link) else {
            return;
        };
        let shape = |s: &UpstreamState| (s.accepting, s.capacity);
        let before = upstream.state.as_ref().map(|(s, _)| shape(s));
        if before != Some(shape(&state)) {
            let event = PlannerEvent::UpstreamChanged {
                runner: upstream.name.clone(),
                open: state.accepting,
                capacity: state.capacity,
            };
            self.steps.push(PlannerStep::Log(event));
        }
        upstream.set_state(state, now);
        self.changed = true;
    }
}
