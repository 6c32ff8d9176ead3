//! Lives of the upstream, and what becomes of runs when one ends.

use chervilring_wire::{RunEnd, RunKey, Time};

use super::event::RunnerEvent;
use super::record::Record;
use super::state::{RunState, Runner, RunnerStep};
use super::worker::{Report, Worker, WorkerState};
use crate::runs::speed::Speed;

impl Runner {
    /// Takes in a report of the upstream; returns whether it is in force. Late ones of an earlier
    /// life are not.
    pub fn reported(&mut self, now: Time, report: Report) -> bool {
        let Some(worker) = &mut self.worker else {
            self.begin_life(now, report);
            self.keep_record(now);
            return true;
        };
        let life = &worker.report.life;
        if report.life.born < life.born {
            return false;
        }
        if report.life != *life {
            // Under the id that is meant in calls the new life may have begun what was asked of
            // the old one.
            let same = report.life.id == life.id;
            if !same {
                self.end_life(now);
            }
            self.begin_life(now, report);
            self.keep_record(now);
            if same {
                self.carry_over(now);
            }
            return true;
        }
        if report.sequence <= worker.report.sequence {
            return true;
        }
        if let Some(clock) = report.clock {
            worker.lease.read(now, clock);
        }
        // A next life of the runner must not use an upstream that is leaving.
        let is_news = !worker.described || report.state != worker.report.state;
        worker.described = true;
        worker.report = report;
        if is_news {
            self.keep_record(now);
        }
        self.tick(now);
        true
    }

    /// Takes in what an earlier life of this runner knew of its upstream, and whether that upstream
    /// still answers; its lists tell whether it is still the same life of it.
    pub fn recall(&mut self, now: Time, record: Record, answers: bool) {
        // The host is the same, whatever life has begun on it since.
        if self.speed == Speed::default() {
            self.speed = record.speed.faded();
            self.kept_speed.0 = self.speed.permille();
        }
        if self.worker.is_some() || !answers {
            return;
        }
        let report = Report {
            sequence: 0,
            clock: None,
            ..record.report
        };
        self.begin_life(now, report);
    }

    /// Takes in that the upstream ends; `id` is the one that it has announced.
    pub fn left(&mut self, now: Time, id: &str) {
        if let Some(worker) = self.worker.as_mut().filter(|w| &*w.report.life.id == id) {
            worker.report.state = WorkerState::Left;
            self.keep_record(now);
        }
        self.tick(now);
    }

    pub(super) fn begin_life(&mut self, now: Time, report: Report) {
        let event = RunnerEvent::WorkerUp {
            id: report.life.id.clone(),
            born: report.life.born,
            capacity: report.capacity,
        };
        self.steps.push(RunnerStep::Log(event));
        // Orders to an earlier life that come late are refused by this one.
        self.fence += 1;
        let clock = report.clock;
        let mut worker = Worker::new(report);
        if let Some(clock) = clock {
            worker.lease.read(now, clock);
        }
        self.worker = Some(worker);
        self.tick(now);
    }

    /// Ends all runs of a life of the upstream that is over.
    fn end_life(&mut self, now: Time) {
        let runs: Vec<RunKey> = self.runs.keys().copied().collect();
        for run in runs {
            self.end(now, run, RunEnd::Lapsed);
        }
        self.worker = None;
    }

    /// Has runs of the life before looked for in the lists of the new one.
    pub(super) fn carry_over(&mut self, now: Time) {
        let longest = self.lease;
        if let Some(worker) = &mut self.worker {
            worker.lease.doubt(now, longest);
        }
        let runs: Vec<RunKey> = self.runs.keys().copied().collect();
        for run in runs {
            let Some(row) = self.runs.get_mut(&run) else {
                continue;
            };
            match row.state {
                RunState::Queued => {}
                RunState::Starting if !row.doomed => {
                    row.unanswered = true;
                    row.state = RunState::Unsure(now);
                }
                RunState::Unsure(_) => row.state = RunState::Unsure(now),
                RunState::Running(_) => row.state = RunState::Running(now),
                RunState::Starting | RunState::Stopping | RunState::Stopped(_) => {
                    row.state = RunState::Stopping;
                    self.call_stop(run);
                }
            }
        }
    }
}
