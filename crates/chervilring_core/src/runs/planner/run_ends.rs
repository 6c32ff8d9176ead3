//! The ends and the progress of runs, as runners report them.

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
    pub(super) fn was_sent_over(&self, run: &RunKey, link: LinkNo) -> bool {
        let place = self.runs.get(run);
        let task = place.and_then(|(seq, index)| self.jobs.get(seq)?.tasks.get(*index));
        task.is_some_and(|t| t.has_run(run.attempt, link))
    }

    pub(super) fn decrement_runs(&mut self, link: LinkNo) {
        if let Some(upstream) = self.links.get_mut(&link) {
            upstream.runs = upstream.runs.saturating_sub(1);
        }
    }

    pub(super) fn run_ended(&mut self, now: Time, link: LinkNo, run: RunKey, end: RunEnd) {
        let Some(&(seq, index)) = self.runs.get(&run) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        job.started_at.get_or_insert(now);
        let task = &mut job.tasks[index];
        let upstream = self.links.get(&link);
        let tells_crashes = upstream.is_some_and(|u| u.source.tells_crashes());
        let name = upstream.map(|u| u.name.clone());
        let profile = name.clone().and_then(|n| self.profiles.get_mut(&n));
        match end {
            RunEnd::Done => {
                if let Some(profile) = profile {
                    profile.health.record_success();
                }
                task.state = TaskState::Done;
                self.runs.remove(&run);
                self.check_job(now, seq);
            }
            RunEnd::Failed => {
                task.failures += 1;
                task.avoid_runner.clone_from(&name);
                let has_failed = task.failures >= job.submission.route.max_attempts.max(1);
                if profile.is_some_and(|p| p.health.record_failure(now)) {
                    self.log_ejection(name);
                }
                if has_failed {
                    self.log_lost(run, LossCause::Ended(end));
                    self.answer_job(now, seq, JobAnswer::Failed);
                } else {
                    self.requeue_task(now, run, LossCause::Ended(end));
                }
            }
            RunEnd::Lapsed if tells_crashes => {
                task.crashes.record(task.started_attempt == run.attempt);
                if job.has_exhausted_task() {
                    self.log_lost(run, LossCause::Ended(end));
                    self.answer_job(now, seq, JobAnswer::GaveUp);
                } else {
                    self.requeue_task(now, run, LossCause::Ended(end));
                }
            }
            RunEnd::Stopped | RunEnd::Lapsed => self.requeue_task(now, run, LossCause::Ended(end)),
        }
    }

    /// Returns the task of a lost run to the waiting ones so that it starts again.
    pub(super) fn requeue_task(&mut self, now: Time, run: RunKey, cause: LossCause) {
        self.capacity_changed = true;
        let Some((seq, index)) = self.runs.get(&run).copied() else {
            return;
        };
        if self.drop_claim(now, run, cause) {
            return;
        }
        self.log_lost(run, cause);
        self.runs.remove(&run);
        if let Some(job) = self.jobs.get_mut(&seq) {
            job.tasks[index].record_loss(cause);
            job.tasks[index].state = TaskState::Waiting(now);
        }
        self.check_job(now, seq);
    }

    /// Checks the reported progress of runs and stops those whose tasks finish sooner elsewhere.
    pub(super) fn check_progress(&mut self, now: Time, rows: &[RunProgress]) {
        for row in rows {
            let Some(&(seq, index)) = self.runs.get(&row.run) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(&seq) else {
                continue;
            };
            let TaskState::Sent { link, .. } = job.tasks[index].state else {
                continue;
            };
            let Some(upstream) = self.links.get(&link) else {
                continue;
            };
            let name = upstream.name.clone();
            let usual_speed = upstream.usual_speed.unwrap_or(1.0);
            let best_speed = best_speed(&self.links, &job.submission.route.service);
            let pace = Pace {
                percent: row.percent,
                run_time: row.run_time,
                declared_runtime: job.tasks[index].sent_runtime,
                usual_speed,
                best_speed,
            };
            let deadline = job.submission.deadline;
            let task = &mut job.tasks[index];
            let can_finish = now + pace.restart_time() < deadline;
            // Each task is stopped only once: one that exceeds its declared run time looks slow on
            // every upstream.
            if task.restarted || !can_finish || !pace.is_straggler() {
                continue;
            }
            task.restarted = true;
            task.state = TaskState::Stopping(link);
            task.avoid_runner = Some(name.clone());
            let message = PlannerMessage::Stop(vec![row.run]);
            self.steps.push(PlannerStep::Send { link, message });
            self.log_lost(row.run, LossCause::Stalled);
            let Some(profile) = self.profiles.get_mut(&name) else {
                continue;
            };
            if row.percent == 0 && profile.health.record_failure(now) {
                self.log_ejection(Some(name));
            }
        }
    }

    fn log_lost(&mut self, run: RunKey, cause: LossCause) {
        let link = self
            .runs
            .get(&run)
            .and_then(|(seq, index)| self.jobs.get(seq)?.tasks[*index].sent_link());
        let upstream = link.and_then(|l| self.links.get(&l));
        let runner = upstream.map(|u| u.name.clone());
        let event = PlannerEvent::RunLost { run, runner, cause };
        self.steps.push(PlannerStep::Log(event));
    }

    fn log_ejection(&mut self, name: Option<Name>) {
        let Some(runner) = name else {
            return;
        };
        let mut upstreams = self.links.values().filter(|u| u.name == runner);
        let speed = upstreams.next().map_or(1.0, Upstream::speed);
        let event = PlannerEvent::UpstreamEjected { runner, speed };
        self.steps.push(PlannerStep::Log(event));
    }
}

/// Returns the speed of the fastest upstream of a service, at least 1.0.
pub(super) fn best_speed(links: &BTreeMap<LinkNo, Upstream>, service: &ServiceName) -> f64 {
    let accepting = links.values().filter(|u| u.accepts(service.as_str()));
    accepting.map(Upstream::speed).fold(1.0, f64::max)
}
