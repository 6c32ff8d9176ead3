//! Incarnations of the upstream, and what happens to runs when one ends.

use chervilring_wire::{RunKey, Time};

use super::call::RunLists;
use super::event::RunnerEvent;
use super::record::UpstreamRecord;
use super::replacement::run_end;
use super::state::{RunState, Runner, RunnerStep};
use super::upstream::{Availability, Report, Upstream};
use crate::runs::speed::Speed;

impl Runner {
    /// Processes a report of the upstream and returns whether it counts from now on.
    ///
    /// Reports may arrive late, and the time of day by which incarnations date their start may fall. So
    /// a report that seems to be of an earlier incarnation is kept until the upstream's own answers show
    /// which incarnation is there.
    pub fn handle_report(&mut self, now: Time, report: Report) -> bool {
        let Some(upstream) = &mut self.upstream else {
            self.begin_incarnation(now, report);
            self.store_record(now);
            return true;
        };
        if report.incarnation != upstream.report.incarnation {
            if upstream.is_replaceable() {
                self.replace_incarnation(now, report);
                return true;
            }
            // The next poll shows whether the current one is still there.
            upstream.next_poll = now;
            self.keep_report(report);
            self.tick(now);
            return false;
        }
        if report.sequence <= upstream.report.sequence {
            return true;
        }
        if let Some(clock) = report.clock {
            upstream.lease.record_clock(now, clock);
        }
        // The runner's next incarnation must not use an upstream that is leaving.
        let is_news = !upstream.report_current || report.state != upstream.report.state;
        upstream.report_current = true;
        upstream.report = report;
        if is_news {
            self.store_record(now);
        }
        self.tick(now);
        true
    }

    /// Handles lists of another incarnation under the same id: it is the one that is there.
    pub(super) fn handle_restart(&mut self, now: Time, lists: &RunLists) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        let mut incarnation = upstream.report.incarnation.clone();
        incarnation.started_ms = lists.started_ms;
        let is_there = |report: &Report| report.incarnation == incarnation;
        let reported = self.unconfirmed.take().filter(is_there);
        let has_reported = reported.is_some();
        if let Some(report) = reported {
            self.replace_incarnation(now, report);
        } else {
            let report = Report {
                incarnation,
                sequence: 0,
                clock: Some(lists.clock),
                ..upstream.report.clone()
            };
            self.begin_incarnation(now, report);
            self.reconcile_runs(now);
        }
        if let Some(upstream) = &mut self.upstream {
            upstream.last_answer = now;
            // The new incarnation may offer another service or capacity, so it gets no runs before its
            // first report.
            upstream.report_current = has_reported;
        }
    }

    /// Restores the stored record of the upstream. `answers` says whether that upstream still
    /// answers; its lists show whether it is still the same incarnation.
    pub fn restore(&mut self, now: Time, record: UpstreamRecord, answers: bool) {
        // The speed depends on the host, which is the same for every incarnation.
        if self.speed == Speed::default() {
            self.speed = record.speed.decayed();
            self.stored_speed.0 = self.speed.permille();
        }
        if self.upstream.is_some() || !answers {
            return;
        }
        let report = Report {
            sequence: 0,
            clock: None,
            ..record.report
        };
        self.begin_incarnation(now, report);
    }

    /// Records that the upstream is exiting; `id` is the id that it announced.
    pub fn upstream_left(&mut self, now: Time, id: &str) {
        if let Some(upstream) = self
            .upstream
            .as_mut()
            .filter(|u| &*u.report.incarnation.id == id)
        {
            upstream.report.state = Availability::Left;
            self.store_record(now);
            self.replace_if_gone(now);
        }
        self.tick(now);
    }

    pub(super) fn begin_incarnation(&mut self, now: Time, report: Report) {
        let event = RunnerEvent::UpstreamUp {
            id: report.incarnation.id.clone(),
            started_ms: report.incarnation.started_ms,
            capacity: report.capacity,
        };
        self.steps.push(RunnerStep::Log(event));
        // Calls to an earlier incarnation that arrive late are refused by this one.
        self.fencing_token += 1;
        let clock = report.clock;
        let is_exit = |before: &Upstream| {
            let before_id = &before.report.incarnation.id;
            before.has_announced_exit() && *before_id == report.incarnation.id
        };
        let prior_end = run_end(self.upstream.as_ref().is_some_and(is_exit));
        let mut upstream = Upstream::new(report);
        upstream.prior_end = prior_end;
        if let Some(clock) = clock {
            upstream.lease.record_clock(now, clock);
        }
        self.upstream = Some(upstream);
        self.unconfirmed = None;
        self.tick(now);
    }

    /// Marks the runs of the previous incarnation so that the lists of the new one decide about
    /// them.
    pub(super) fn reconcile_runs(&mut self, now: Time) {
        let longest = self.max_lease;
        if let Some(upstream) = &mut self.upstream {
            upstream.lease.defer_expiry(now, longest);
        }
        let runs: Vec<RunKey> = self.runs.keys().copied().collect();
        for run in runs {
            let Some(row) = self.runs.get_mut(&run) else {
                continue;
            };
            match row.state {
                RunState::Queued | RunState::Claimed(_) | RunState::Detached(_) => {}
                RunState::Starting if !row.stop_requested => {
                    row.maybe_started = true;
                    row.state = RunState::Unconfirmed(now);
                }
                RunState::Unconfirmed(_) => row.state = RunState::Unconfirmed(now),
                RunState::Running(_) => row.state = RunState::Running(now),
                RunState::Starting | RunState::Stopping | RunState::Stopped(_) => {
                    row.state = RunState::Stopping;
                    self.call_stop(run);
                }
            }
        }
    }
}
