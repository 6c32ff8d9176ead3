//! Periodic work of a planner: scheduling, heartbeats and the detection of lost links.

use chervilring_wire::{Micros, PlannerMessage, RunKey, Time};

use super::event::{LossCause, PlannerEvent};
use super::job::{Job, TaskState};
use super::links::LinkNo;
use super::state::{Planner, PlannerStep, Refusal};
use super::upstream::Upstream;
use crate::runs::bounds::{HEARTBEAT_INTERVAL, LINK_TIMEOUT, MAX_ORPHAN_TIME};
use crate::runs::order::WorkOrder;

/// How long the profile of an upstream without a link is kept.
const PROFILE_AGE: Micros = Micros::from_secs(600);

impl Planner {
    /// Does the work that is due.
    pub fn tick(&mut self, now: Time) {
        self.close_silent_links(now);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats();
            self.send_replica();
            self.request_replica(now);
            self.profiles
                .retain(|_, p| now.duration_since(p.last_seen) < PROFILE_AGE);
            self.resubmissions.forget_idle_routes(now);
            self.past_jobs.retain(|_, p| now < p.expires_at);
        }
        let rows = self.jobs.iter().filter(|(_, j)| j.next_check() <= now);
        let due: Vec<u64> = rows.map(|(&seq, _)| seq).collect();
        if self.capacity_changed || !due.is_empty() {
            self.capacity_changed = false;
            self.schedule(now);
        }
        for seq in due {
            self.check_job(now, seq);
        }
    }

    /// Returns when [`Planner::tick`] must be called next.
    pub fn wake_at(&self) -> Time {
        if self.capacity_changed {
            return Time::default();
        }
        let jobs = self.jobs.values().map(Job::next_check);
        jobs.min().unwrap_or(Time::NEVER).min(self.next_heartbeat)
    }

    /// Closes all links and gives up all jobs after the process was paused for a time: the runners
    /// have ended their links by then, and callers may have turned to other planners.
    pub fn paused(&mut self, now: Time, pause: Micros) {
        let event = PlannerEvent::Paused {
            duration: pause,
            jobs: self.jobs.len(),
        };
        self.steps.push(PlannerStep::Log(event));
        let links: Vec<LinkNo> = self.links.keys().copied().collect();
        for link in links {
            self.remove_link(now, link, now);
            self.steps.push(PlannerStep::Close(link));
        }
        self.give_up_all(now);
    }

    /// Gives up all jobs.
    pub fn give_up_all(&mut self, now: Time) {
        let all: Vec<u64> = self.jobs.keys().copied().collect();
        for seq in all {
            self.give_up(now, seq, Refusal::Interrupted);
        }
    }

    /// Places waiting tasks in the order of work.
    fn schedule(&mut self, now: Time) {
        let waiting = self.jobs.iter().filter(|(_, j)| j.has_waiting_task());
        let row = |(&seq, job): (&u64, &Job)| {
            let urgency = job.urgency(now, job.submission.critical_path());
            (WorkOrder::new(now, &urgency), seq)
        };
        let mut order: Vec<(WorkOrder, u64)> = waiting.map(row).collect();
        order.sort_unstable();
        for (_, seq) in order {
            self.place_job(now, seq);
        }
    }

    /// Removes a link whose runs have all ended by `runs_gone`. Their tasks may start again from then
    /// on.
    pub(super) fn remove_link(&mut self, now: Time, link: LinkNo, runs_gone: Time) {
        let Some(upstream) = self.links.remove(&link) else {
            return;
        };
        self.drop_spares(link);
        let mut lost: Vec<(RunKey, u64, usize)> = Vec::new();
        for (&seq, job) in &self.jobs {
            let here = job.active_runs().filter(|(_, l)| *l == link);
            let rows = here.filter_map(|(run, _)| Some((run, seq, self.runs.get(&run)?.1)));
            lost.extend(rows);
        }
        let event = PlannerEvent::LinkDown {
            runner: upstream.name.clone(),
            silence: now.duration_since(upstream.last_heard),
            runs: lost.len() as u32,
        };
        self.steps.push(PlannerStep::Log(event));
        for &(run, seq, index) in &lost {
            self.steps.push(PlannerStep::Log(PlannerEvent::RunLost {
                run,
                runner: Some(upstream.name.clone()),
                cause: LossCause::Link,
            }));
            if self.drop_claim(now, run) {
                continue;
            }
            self.runs.remove(&run);
            if let Some(job) = self.jobs.get_mut(&seq) {
                // A claim that was not confirmed has not started, and ends with its link.
                let is_unconfirmed = job.tasks[index].is_unconfirmed();
                let free_at = if is_unconfirmed { now } else { runs_gone };
                job.tasks[index].state = TaskState::Waiting(free_at);
                if !is_unconfirmed {
                    job.started_at.get_or_insert(now);
                }
            }
        }
        for (_, seq, _) in lost {
            self.check_job(now, seq);
        }
        self.capacity_changed = true;
    }

    /// Closes a link that its runner no longer needs, unless it has active runs.
    pub(super) fn close_unneeded_link(&mut self, link: LinkNo) {
        let runs = |j: &'_ Job| j.active_runs().chain(j.spare_runs()).collect::<Vec<_>>();
        let mut active = self.jobs.values().flat_map(runs);
        if active.any(|(_, l)| l == link) {
            return;
        }
        let Some(upstream) = self.links.remove(&link) else {
            return;
        };
        let runner = upstream.name;
        let event = PlannerEvent::LinkClosed { runner };
        self.steps.push(PlannerStep::Log(event));
        self.steps.push(PlannerStep::Close(link));
    }

    /// Closes links on which no message has arrived for longer than [`LINK_TIMEOUT`].
    fn close_silent_links(&mut self, now: Time) {
        let silent = |u: &Upstream| now.duration_since(u.last_heard) > LINK_TIMEOUT;
        let rows = self.links.iter().filter(|(_, u)| silent(u));
        let closed: Vec<(LinkNo, Time)> = rows.map(|(&l, u)| (l, u.last_heard)).collect();
        for (link, heard) in closed {
            self.remove_link(now, link, heard + LINK_TIMEOUT + MAX_ORPHAN_TIME);
            self.steps.push(PlannerStep::Close(link));
        }
    }

    fn send_heartbeats(&mut self) {
        let links: Vec<LinkNo> = self.links.keys().copied().collect();
        for link in links {
            self.send_heartbeat(link);
        }
    }

    pub(super) fn send_heartbeat(&mut self, link: LinkNo) {
        let Some(upstream) = self.links.get_mut(&link) else {
            return;
        };
        if let Some(profile) = self.profiles.get_mut(&upstream.name) {
            profile.last_seen = upstream.last_heard;
        }
        let message = PlannerMessage::Heartbeat(upstream.heartbeat_seq);
        self.steps.push(PlannerStep::Send { link, message });
    }
}
