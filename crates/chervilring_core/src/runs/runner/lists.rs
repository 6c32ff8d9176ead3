//! What the upstream's own lists of runs mean for the ledger: they are the truth.

use chervilring_wire::{Micros, RunEnd, RunKey, RunProgress, RunnerMessage, Time};

use super::call::{CallOutcome, Lists, Refused};
use super::event::RunnerEvent;
use super::state::{Run, RunState, Runner, RunnerStep};
use super::worker::Contact;
use crate::runs::planner::LinkNo;

/// How often planners are told how far runs have got.
const PROGRESS: Micros = Micros::from_millis(100);

/// Runs that are shorter are not told of.
const SHORT: Micros = Micros::from_millis(250);

impl Runner {
    /// Takes in the answer to a call for the lists.
    pub(super) fn hold_answered(&mut self, now: Time, sent: Time, outcome: CallOutcome) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        worker.held = false;
        match outcome {
            CallOutcome::Listed(lists) if lists.born >= worker.report.life.born => {
                if lists.born > worker.report.life.born {
                    self.reborn(now, lists.born);
                    return;
                }
                worker.contact = Contact::Well;
                worker.misses = 0;
                self.take_lists(now, sent, &lists);
            }
            CallOutcome::Refused {
                why: Refused::Fence,
                ..
            } => self.raise_fence(),
            _ => {
                worker.missed(now);
                if worker.contact == Contact::Well {
                    worker.contact = Contact::Missed;
                    self.log_no_answer(None, "hold");
                }
            }
        }
    }

    /// Takes in that the upstream has begun a new life under the same id.
    fn reborn(&mut self, now: Time, born: u64) {
        let Some(worker) = &self.worker else {
            return;
        };
        let mut report = worker.report.clone();
        report.life.born = born;
        report.sequence = 0;
        report.clock = None;
        self.begin_life(now, report);
        self.carry_over(now);
        // The new life may be of another kind: it takes no work before it has said of itself.
        if let Some(worker) = &mut self.worker {
            worker.described = false;
        }
    }

    fn take_lists(&mut self, now: Time, sent: Time, lists: &Lists) {
        for row in &lists.ended {
            if let Some(worker) = &mut self.worker {
                worker.acked = worker.acked.max(row.number);
            }
            self.end(now, row.run, row.end);
        }
        let mut foreign = false;
        for row in &lists.active {
            if let Some(known) = self.runs.get_mut(&row.run) {
                known.percent = row.percent;
                if matches!(known.state, RunState::Unsure(_) | RunState::Starting) {
                    self.begun(now, row.run);
                }
                continue;
            }
            foreign = true;
            self.steps
                .push(RunnerStep::Log(RunnerEvent::Foreign { run: row.run }));
            self.call_stop(row.run);
        }
        if !lists.more {
            self.end_missing(now, sent, lists);
        }
        if let Some(worker) = &mut self.worker {
            // A first list with foreign runs leaves it unknown what is free.
            worker.known = worker.known || !(foreign || lists.more);
        }
        self.tell_progress(now, lists);
    }

    /// Ends runs that the upstream neither runs nor lists as ended, though it was asked after it
    /// had answered their start or stop.
    fn end_missing(&mut self, now: Time, sent: Time, lists: &Lists) {
        let active = |run: &RunKey| lists.active.iter().any(|row| row.run == *run);
        let missing = |state: RunState| match state {
            RunState::Running(since) if since < sent => Some(RunEnd::Lapsed),
            RunState::Stopped(since) if since < sent => Some(RunEnd::Stopped),
            _ => None,
        };
        let rows = self.runs.iter().filter(|(run, _)| !active(run));
        let gone: Vec<(RunKey, RunEnd)> = rows
            .filter_map(|(run, row)| Some((*run, missing(row.state)?)))
            .collect();
        for (run, end) in gone {
            self.end(now, run, end);
        }
        self.queue_unsure(sent);
    }

    /// Has runs that the new life has not begun wait for their start: orders of before that come
    /// late carry a lower fencing token.
    fn queue_unsure(&mut self, sent: Time) {
        let unsure = |row: &Run| matches!(row.state, RunState::Unsure(since) if since < sent);
        self.runs
            .retain(|_, r| !(unsure(r) && (r.doomed && r.link.is_none())));
        for row in self.runs.values_mut().filter(|r| unsure(r)) {
            row.state = RunState::Queued;
        }
    }

    fn tell_progress(&mut self, now: Time, lists: &Lists) {
        if now < self.report {
            return;
        }
        self.report = now + PROGRESS;
        let links: Vec<LinkNo> = self.links.keys().copied().collect();
        for link in links {
            let row = |r: &super::call::ListedRun| {
                let run = self.runs.get(&r.run).filter(|run| run.link == Some(link))?;
                let RunState::Running(since) = run.state else {
                    return None;
                };
                let span = now.duration_since(since);
                (span >= SHORT).then_some(RunProgress {
                    run: r.run,
                    percent: r.percent,
                    run_time: span,
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
