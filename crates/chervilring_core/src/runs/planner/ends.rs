//! What runners tell of runs.

use std::collections::BTreeMap;

use chervilring_wire::{Name, PlannerMessage, RunEnd, RunKey, RunProgress, ServiceName, Time};

use super::event::{LossCause, PlannerEvent};
use super::job::TaskState;
use super::links::LinkNo;
use super::state::{JobAnswer, Planner, PlannerStep};
use super::straggler::Pace;
use super::upstream::Upstream;

impl Planner {
    /// Returns whether a run is known and was sent over a link.
    pub(super) fn is_at(&self, run: &RunKey, link: LinkNo) -> bool {
        let place = self.runs.get(run);
        let task = place.and_then(|(no, place)| self.jobs.get(no)?.tasks.get(*place));
        task.is_some_and(|t| match t.state {
            TaskState::Sent { link: l, .. } | TaskState::Stopping(l) => l == link,
            TaskState::Waiting(_) | TaskState::Done => false,
        })
    }

    pub(super) fn count_down(&mut self, link: LinkNo) {
        if let Some(upstream) = self.links.get_mut(&link) {
            upstream.runs = upstream.runs.saturating_sub(1);
        }
    }

    pub(super) fn ended(&mut self, now: Time, link: LinkNo, run: RunKey, end: RunEnd) {
        let Some(&(no, place)) = self.runs.get(&run) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        job.started.get_or_insert(now);
        let task = &mut job.tasks[place];
        let name = self.links.get(&link).map(|u| u.name.clone());
        let profile = name.clone().and_then(|n| self.profiles.get_mut(&n));
        match end {
            RunEnd::Done => {
                if let Some(profile) = profile {
                    profile.health.good();
                }
                task.state = TaskState::Done;
                self.runs.remove(&run);
                self.settle(now, no);
            }
            RunEnd::Failed => {
                task.failed += 1;
                task.avoid.clone_from(&name);
                let over = task.failed >= job.new.route.max_attempts.max(1);
                if profile.is_some_and(|p| p.health.bad(now)) {
                    self.log_out(name);
                }
                if over {
                    self.log_lost(run, LossCause::Ended(end));
                    self.finish(now, no, JobAnswer::Failed);
                } else {
                    self.restart(now, run, LossCause::Ended(end));
                }
            }
            RunEnd::Stopped | RunEnd::Lapsed => self.restart(now, run, LossCause::Ended(end)),
        }
    }

    /// Has a task started again after its newest run has come to nothing.
    pub(super) fn restart(&mut self, now: Time, run: RunKey, cause: LossCause) {
        self.changed = true;
        let Some((no, place)) = self.runs.get(&run).copied() else {
            return;
        };
        self.log_lost(run, cause);
        self.runs.remove(&run);
        if let Some(job) = self.jobs.get_mut(&no) {
            job.tasks[place].state = TaskState::Waiting(now);
        }
        self.settle(now, no);
    }

    /// Takes in how far runs have got, and stops those whose tasks do better elsewhere.
    pub(super) fn progress(&mut self, now: Time, rows: &[RunProgress]) {
        for row in rows {
            let Some(&(no, place)) = self.runs.get(&row.run) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(&no) else {
                continue;
            };
            let TaskState::Sent { link, .. } = job.tasks[place].state else {
                continue;
            };
            let Some(upstream) = self.links.get(&link) else {
                continue;
            };
            let name = upstream.name.clone();
            let usual = upstream.speed();
            let best = best_speed(&self.links, &job.new.route.service);
            let seen = Pace {
                percent: row.percent,
                span: row.run_time,
                size: job.step(place).size,
                usual,
                best,
            };
            let deadline = job.new.deadline;
            let task = &mut job.tasks[place];
            let useful = now + seen.again() < deadline;
            // A task that is longer than it was said to be looks slow wherever it runs.
            if task.moved || !useful || !seen.is_straggler() {
                continue;
            }
            task.moved = true;
            task.state = TaskState::Stopping(link);
            task.avoid = Some(name.clone());
            let message = PlannerMessage::Stop(vec![row.run]);
            self.steps.push(PlannerStep::Send { link, message });
            self.log_lost(row.run, LossCause::Stalled);
            let Some(profile) = self.profiles.get_mut(&name) else {
                continue;
            };
            if row.percent == 0 && profile.health.bad(now) {
                self.log_out(Some(name));
            }
        }
    }

    fn log_lost(&mut self, run: RunKey, cause: LossCause) {
        let link = self.runs.get(&run).and_then(|(no, place)| {
            match self.jobs.get(no)?.tasks[*place].state {
                TaskState::Sent { link, .. } | TaskState::Stopping(link) => Some(link),
                TaskState::Waiting(_) | TaskState::Done => None,
            }
        });
        let upstream = link.and_then(|l| self.links.get(&l));
        let runner = upstream.map(|u| u.name.clone());
        let event = PlannerEvent::RunLost { run, runner, cause };
        self.steps.push(PlannerStep::Log(event));
    }

    fn log_out(&mut self, name: Option<Name>) {
        let Some(runner) = name else {
            return;
        };
        let mut here = self.links.values().filter(|u| u.name == runner);
        let speed = here.next().map_or(1.0, Upstream::speed);
        let event = PlannerEvent::UpstreamOut { runner, speed };
        self.steps.push(PlannerStep::Log(event));
    }
}

/// Returns the speed of the fastest upstream that does a service, at least one.
pub(super) fn best_speed(links: &BTreeMap<LinkNo, Upstream>, service: &ServiceName) -> f64 {
    let open = links.values().filter(|u| u.does(service.as_str()));
    open.map(Upstream::speed).fold(1.0, f64::max)
}
