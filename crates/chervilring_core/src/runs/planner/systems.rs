//! What a planner does over its tables: placing, giving up, heartbeats.

use chervilring_wire::{Micros, PlannerMessage, RunKey, Time};

use super::event::{LossCause, PlannerEvent};
use super::job::{Job, TaskState};
use super::links::LinkNo;
use super::order::urgency;
use super::state::{Planner, PlannerStep, Refusal};
use super::upstream::Upstream;
use crate::runs::bounds::{HEARTBEAT_INTERVAL, LINK_TIMEOUT, MAX_ORPHAN_TIME};

/// How long an upstream that is gone is remembered.
const PROFILE_AGE: Micros = Micros::from_secs(600);

impl Planner {
    /// Runs what is due.
    pub fn tick(&mut self, now: Time) {
        self.drop_silent(now);
        if now >= self.beat {
            self.beat = now + HEARTBEAT_INTERVAL;
            self.send_beats();
            self.spread_copies();
            self.ask_copy(now);
            self.profiles
                .retain(|_, p| now.duration_since(p.seen) < PROFILE_AGE);
            self.resends.forget(now);
            self.past.retain(|_, (_, until)| now < *until);
        }
        let rows = self.jobs.iter().filter(|(_, j)| j.due() <= now);
        let due: Vec<u64> = rows.map(|(&no, _)| no).collect();
        if self.changed || !due.is_empty() {
            self.changed = false;
            self.schedule(now);
        }
        for no in due {
            self.settle(now, no);
        }
    }

    /// Returns when something is due.
    pub fn wake_at(&self) -> Time {
        if self.changed {
            return Time::default();
        }
        let jobs = self.jobs.values().map(Job::due);
        jobs.min().unwrap_or(Time::NEVER).min(self.beat)
    }

    /// Takes in that the process had stood still for some time: its links have ended at the other
    /// side, and callers may have gone elsewhere.
    pub fn paused(&mut self, now: Time, span: Micros) {
        let event = PlannerEvent::Paused {
            span,
            jobs: self.jobs.len(),
        };
        self.steps.push(PlannerStep::Log(event));
        let links: Vec<LinkNo> = self.links.keys().copied().collect();
        for link in links {
            self.lose(now, link, now);
            self.steps.push(PlannerStep::Close(link));
        }
        self.give_up_all(now);
    }

    /// Gives up all jobs.
    pub fn give_up_all(&mut self, now: Time) {
        let all: Vec<u64> = self.jobs.keys().copied().collect();
        for no in all {
            self.give_up(now, no, Refusal::Interrupted);
        }
    }

    /// Places the tasks that wait, those of started jobs first, then by urgency.
    fn schedule(&mut self, now: Time) {
        let row = |(&no, job): (&u64, &Job)| {
            let waits = job
                .tasks
                .iter()
                .any(|t| matches!(t.state, TaskState::Waiting(_)));
            let key = urgency(job.objective, job.new.chain());
            // What is late anyway takes what is left over.
            let rank = match (job.is_sent(), now < key) {
                (true, true) => 0,
                (false, true) => 1,
                (true, false) => 2,
                (false, false) => 3,
            };
            waits.then_some((rank, key, no))
        };
        let mut order: Vec<(u8, Time, u64)> = self.jobs.iter().filter_map(row).collect();
        order.sort_unstable();
        for (_, _, no) in order {
            self.place(now, no);
        }
    }

    /// Forgets a link; its runs count as gone at a point in time.
    pub(super) fn lose(&mut self, now: Time, link: LinkNo, gone: Time) {
        let Some(upstream) = self.links.remove(&link) else {
            return;
        };
        let mut lost: Vec<(RunKey, u64, usize)> = Vec::new();
        for (&no, job) in &self.jobs {
            let here = job.live().filter(|(_, l)| *l == link);
            let rows = here.filter_map(|(run, _)| Some((run, no, self.runs.get(&run)?.1)));
            lost.extend(rows);
        }
        let event = PlannerEvent::LinkDown {
            runner: upstream.name.clone(),
            silence: now.duration_since(upstream.heard),
            runs: lost.len() as u32,
        };
        self.steps.push(PlannerStep::Log(event));
        for &(run, no, place) in &lost {
            self.steps.push(PlannerStep::Log(PlannerEvent::RunLost {
                run,
                runner: Some(upstream.name.clone()),
                cause: LossCause::Link,
            }));
            self.runs.remove(&run);
            if let Some(job) = self.jobs.get_mut(&no) {
                job.started.get_or_insert(now);
                job.tasks[place].state = TaskState::Waiting(gone);
            }
        }
        for (_, no, _) in lost {
            self.settle(now, no);
        }
        self.changed = true;
    }

    /// Closes a link that its runner does not need. Starts that are under way to it keep it open.
    pub(super) fn part(&mut self, link: LinkNo) {
        let mut live = self.jobs.values().flat_map(Job::live);
        if live.any(|(_, l)| l == link) {
            return;
        }
        let Some(upstream) = self.links.remove(&link) else {
            return;
        };
        let runner = upstream.name;
        let event = PlannerEvent::LinkParted { runner };
        self.steps.push(PlannerStep::Log(event));
        self.steps.push(PlannerStep::Close(link));
    }

    /// Closes links on which nothing is heard.
    fn drop_silent(&mut self, now: Time) {
        let silent = |u: &Upstream| now.duration_since(u.heard) > LINK_TIMEOUT;
        let rows = self.links.iter().filter(|(_, u)| silent(u));
        let closed: Vec<(LinkNo, Time)> = rows.map(|(&l, u)| (l, u.heard)).collect();
        for (link, heard) in closed {
            self.lose(now, link, heard + LINK_TIMEOUT + MAX_ORPHAN_TIME);
            self.steps.push(PlannerStep::Close(link));
        }
    }

    fn send_beats(&mut self) {
        let links: Vec<LinkNo> = self.links.keys().copied().collect();
        for link in links {
            self.send_beat(link);
        }
    }

    pub(super) fn send_beat(&mut self, link: LinkNo) {
        let Some(upstream) = self.links.get_mut(&link) else {
            return;
        };
        if let Some(profile) = self.profiles.get_mut(&upstream.name) {
            profile.seen = upstream.heard;
        }
        let message = PlannerMessage::Heartbeat(upstream.echo);
        self.steps.push(PlannerStep::Send { link, message });
    }
}
