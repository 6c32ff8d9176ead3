//! Reconciliation of the runner's table with the upstream's own lists of runs, which are
//! authoritative.

use chervilring_wire::{Micros, RefuseReason, RunEnd, RunKey, RunProgress, RunnerMessage, Time};

use super::call::{CallOutcome, CallRefusal, RunLists};
use super::event::RunnerEvent;
use super::pace::Progress;
use super::state::{Run, RunState, Runner, RunnerStep};
use super::upstream::{Reachability, Silence};
use crate::runs::planner::LinkNo;

/// The interval at which progress is reported to planners.
const PROGRESS_INTERVAL: Micros = Micros::from_millis(100);

/// The progress of runs shorter than this is not reported.
const MIN_RUN_TIME: Micros = Micros::from_millis(250);

impl Runner {
    /// Processes the outcome of a poll.
    pub(super) fn handle_poll_outcome(&mut self, now: Time, sent: Time, outcome: CallOutcome) {
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        upstream.poll_pending = false;
        match outcome {
            CallOutcome::Listed(lists)
                if lists.started_ms != upstream.report.incarnation.started_ms =>
            {
                self.handle_restart(now, &lists);
            }
            CallOutcome::Listed(lists) => {
                upstream.reachability = Reachability::Answering;
                upstream.missed_polls = 0;
                self.apply_lists(now, sent, &lists);
            }
            CallOutcome::Refused {
                reason: CallRefusal::Fence,
                ..
            } => self.raise_fencing_token(),
            _ => {
                upstream.record_missed_poll(now);
                upstream.silence = match outcome {
                    CallOutcome::NotListening => Silence::Crashed,
                    CallOutcome::Refused {
                        reason: CallRefusal::OtherLife,
                        ..
                    } => Silence::Replaced,
                    _ => Silence::Unexplained,
                };
                if upstream.reachability == Reachability::Answering {
                    upstream.reachability = Reachability::Missed;
                    self.log_no_answer(None, "hold");
                }
                self.replace_if_gone(now);
            }
        }
    }

    fn apply_lists(&mut self, now: Time, sent: Time, lists: &RunLists) {
        for row in &lists.ended {
            if let Some(upstream) = &mut self.upstream {
                upstream.acked = upstream.acked.max(row.seq);
            }
            if !self.is_at_upstream(&row.run) {
                continue;
            }
            // An upstream that lists the end of a run has not crashed under it: its lease ran out.
            let end = match row.end {
                RunEnd::Lapsed => RunEnd::Stopped,
                end => end,
            };
            self.finish_run(now, row.run, end);
        }
        let mut has_unknown = false;
        for row in &lists.active {
            let is_here = self.is_at_upstream(&row.run);
            if let Some(known) = self.runs.get_mut(&row.run) {
                if !is_here {
                    continue;
                }
                known.percent = row.percent;
                let listed = Progress {
                    percent: row.percent,
                    listed: now,
                };
                known.pace.record(known.declared_runtime, listed);
                match known.state {
                    RunState::Unconfirmed(_) | RunState::Starting => {
                        self.mark_running(now, row.run);
                    }
                    // Its upstream has its place back.
                    RunState::Detached(_) => known.state = RunState::Running(now),
                    // It was to have ended with its lease, and has not.
                    RunState::Running(_) if known.stop_requested => self.stop_run(now, row.run),
                    _ => {}
                }
                continue;
            }
            has_unknown = true;
            self.steps
                .push(RunnerStep::Log(RunnerEvent::UnknownRun { run: row.run }));
            self.call_stop(row.run);
        }
        if !lists.has_more {
            self.finish_missing_runs(now, sent, lists);
        }
        self.end_succeeded_runs(now);
        if let Some(upstream) = &mut self.upstream {
            // While unknown runs are active, the free resources are not known.
            upstream.runs_known = upstream.runs_known || !(has_unknown || lists.has_more);
        }
        self.send_progress(now, lists);
    }

    /// Returns whether a run may be at the current upstream, so that its lists tell of that run. What
    /// they say of one that has not been sent there, or was left behind at another one, belongs to an
    /// earlier sending with the same attempt number.
    fn is_at_upstream(&self, run: &RunKey) -> bool {
        let incarnation = self.upstream.as_ref().map(|u| &u.report.incarnation);
        self.runs.get(run).is_some_and(|row| match &row.state {
            RunState::Queued | RunState::Claimed(_) => false,
            RunState::Detached(predecessor) => incarnation.is_some_and(|i| predecessor.is(i)),
            _ => true,
        })
    }

    /// Ends runs that the upstream lists neither as active nor as ended, if the poll was sent after
    /// the upstream answered their start or stop.
    fn finish_missing_runs(&mut self, now: Time, sent: Time, lists: &RunLists) {
        let active = |run: &RunKey| lists.active.iter().any(|row| row.run == *run);
        let prior_end = self
            .upstream
            .as_ref()
            .map_or(RunEnd::Lapsed, |u| u.prior_end);
        let missing = |state: RunState| match state {
            RunState::Running(since) if since < sent => Some(prior_end),
            RunState::Stopped(since) if since < sent => Some(RunEnd::Stopped),
            _ => None,
        };
        let rows = self.runs.iter().filter(|(run, _)| !active(run));
        let gone: Vec<(RunKey, RunEnd)> = rows
            .filter_map(|(run, row)| Some((*run, missing(row.state)?)))
            .collect();
        for (run, end) in gone {
            self.finish_run(now, run, end);
        }
        self.abandon_unconfirmed(now, sent);
    }

    /// Ends the runs that the new incarnation has not started. They were placed by what the upstream was
    /// before: it may be of another kind now, which only planners can tell.
    fn abandon_unconfirmed(&mut self, now: Time, sent: Time) {
        let is_unconfirmed =
            |row: &Run| matches!(row.state, RunState::Unconfirmed(since) if since < sent);
        let rows = self.runs.iter().filter(|(_, r)| is_unconfirmed(r));
        let runs: Vec<RunKey> = rows.map(|(run, _)| *run).collect();
        for run in runs {
            self.abandon_queued(now, run, RefuseReason::Closed);
        }
    }

    fn send_progress(&mut self, now: Time, lists: &RunLists) {
        if now < self.next_progress {
            return;
        }
        self.next_progress = now + PROGRESS_INTERVAL;
        let links: Vec<LinkNo> = self.links.keys().copied().collect();
        for link in links {
            let row = |r: &super::call::ListedRun| {
                let run = self.runs.get(&r.run).filter(|run| run.link == Some(link))?;
                let RunState::Running(since) = run.state else {
                    return None;
                };
                let run_time = now.duration_since(since);
                (run_time >= MIN_RUN_TIME).then_some(RunProgress {
                    run: r.run,
                    percent: r.percent,
                    run_time,
                })
            };
            let rows: Vec<RunProgress> = lists.active.iter().filter_map(row).collect();
            if rows.is_empty() {
                continue;
            }
            let message = RunnerMessage::Progress(rows);
            self.steps.push(RunnerStep::Send { link, message });
        }
    }
}
