//! Messages from runners, and the opening and closing of their links.

use chervilring_wire::{PlannerMessage, RunnerMessage, Time, UpstreamState};

use super::claims::Claim;
use super::event::{LossCause, PlannerEvent};
use super::links::LinkNo;
use super::state::{Planner, PlannerStep};
use super::upstream::{LinkSource, Upstream};
use crate::runs::bounds::MAX_ORPHAN_TIME;
use crate::runs::evacuation::EvacuationSource;

impl Planner {
    /// Removes a link that has ended. Its runs may go on for [`MAX_ORPHAN_TIME`].
    pub fn link_down(&mut self, now: Time, link: LinkNo) {
        self.remove_link(now, link, now + MAX_ORPHAN_TIME);
    }

    /// Handles a message from a runner.
    pub fn message(&mut self, now: Time, link: LinkNo, message: RunnerMessage) {
        if let Some(upstream) = self.links.get_mut(&link) {
            upstream.last_heard = now;
        }
        match message {
            RunnerMessage::Hello {
                name,
                domain,
                incarnation,
                link_seq,
                replica_version,
            } => {
                let mut upstream = Upstream::new(name, domain, now);
                upstream.source = LinkSource {
                    incarnation,
                    link_seq,
                };
                upstream.replica_version = replica_version;
                self.register_link(now, link, upstream);
                self.request_replica(now);
            }
            RunnerMessage::ReplicaVersion(version) => {
                if let Some(upstream) = self.links.get_mut(&link) {
                    upstream.replica_version = upstream.replica_version.max(version);
                }
                self.request_replica(now);
            }
            RunnerMessage::Replica(config) => {
                self.newest_replica = self.newest_replica.max(config.version);
                self.steps.push(PlannerStep::Replica(config));
            }
            RunnerMessage::Evacuations(evacuations) => {
                if let Some(upstream) = self.links.get_mut(&link) {
                    upstream.evacuations.update(&evacuations);
                }
                self.update_evacuations(now, &evacuations, EvacuationSource::Peer);
                self.share_evacuations();
            }
            RunnerMessage::HeartbeatAck(seq) => {
                if let Some(upstream) = self.links.get_mut(&link) {
                    upstream.heartbeat_seq = seq;
                }
            }
            RunnerMessage::CloseLink => self.close_unneeded_link(link),
            RunnerMessage::State(state) => self.update_state(now, link, state),
            RunnerMessage::Started(run) => {
                if let Some(&(seq, index)) = self
                    .runs
                    .get(&run)
                    .filter(|_| self.was_sent_over(&run, link))
                {
                    if let Some(job) = self.jobs.get_mut(&seq) {
                        job.started_at.get_or_insert(now);
                        job.tasks[index].started_attempt = run.attempt;
                        job.tasks[index].claim = Claim::None;
                    }
                    self.check_job(now, seq);
                }
            }
            RunnerMessage::Refused { run, reason } => {
                self.decrement_runs(link);
                if self.was_sent_over(&run, link) {
                    self.requeue_task(now, run, LossCause::Refused(reason));
                }
            }
            RunnerMessage::Ended { run, end } => {
                self.decrement_runs(link);
                self.capacity_changed = true;
                if self.was_sent_over(&run, link) {
                    self.run_ended(now, link, run, end);
                }
            }
            RunnerMessage::Progress(rows) => self.check_progress(now, &rows),
            RunnerMessage::Claimed(runs) => self.record_claims(now, link, &runs),
            RunnerMessage::Load(_) | RunnerMessage::RunTimes(_) | RunnerMessage::Doubts(_) => {}
        }
    }

    fn register_link(&mut self, now: Time, link: LinkNo, mut upstream: Upstream) {
        let same = |(_, u): &(&LinkNo, &Upstream)| u.name == upstream.name;
        let rows = self.links.iter().filter(same);
        let siblings: Vec<(LinkNo, LinkSource)> = rows.map(|(&l, u)| (l, u.source)).collect();
        // A retransmitted packet can deliver the hello of a link after that of the next link. The
        // runner has closed the earlier link by then.
        if siblings.iter().any(|(_, s)| upstream.source.is_before(s)) {
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
        for (old, source) in siblings {
            // Within one incarnation a runner ends all runs of its earlier links before it sends a
            // hello on a new one. The order of links of two incarnations is unknown.
            let runs_gone = if source.is_before(&upstream.source) {
                now
            } else {
                now + MAX_ORPHAN_TIME
            };
            self.remove_link(now, old, runs_gone);
            self.steps.push(PlannerStep::Close(old));
        }
        let profile = self.profiles.entry(upstream.name.clone()).or_default();
        profile.last_seen = now;
        upstream.evacuated = self.evacuations.contains(&upstream.domain);
        if upstream.source.knows_room() {
            let message = PlannerMessage::KnowsRoom;
            self.steps.push(PlannerStep::Send { link, message });
        }
        self.links.insert(link, upstream);
        self.send_heartbeat(link);
        self.share_evacuations();
    }

    fn update_state(&mut self, now: Time, link: LinkNo, state: UpstreamState) {
        let Some(upstream) = self.links.get_mut(&link) else {
            return;
        };
        let offered = |s: &UpstreamState| (s.accepting, s.capacity);
        let before = upstream.state.as_ref().map(|(s, _)| offered(s));
        if before != Some(offered(&state)) {
            let event = PlannerEvent::UpstreamChanged {
                runner: upstream.name.clone(),
                accepting: state.accepting,
                capacity: state.capacity,
            };
            self.steps.push(PlannerStep::Log(event));
        }
        upstream.update_state(state, now);
        self.capacity_changed = true;
    }
}
