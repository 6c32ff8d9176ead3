//! Incarnations of the upstream, and what happens to runs when one ends.

use chervilring_wire::{RefuseReason, RunEnd, RunKey, Time};

use super::event::RunnerEvent;
use super::record::UpstreamRecord;
use super::state::{Run, RunState, Runner, RunnerStep};
use super::upstream::{Availability, Report, Upstream};
use crate::runs::speed::Speed;

impl Runner {
    /// Processes a report of the upstream and returns whether it was accepted. A late report of an
    /// earlier incarnation is not.
    pub fn handle_report(&mut self, now: Time, report: Report) -> bool {
        let Some(upstream) = &mut self.upstream else {
            self.begin_incarnation(now, report);
            self.store_record(now);
            return true;
        };
        let incarnation = &upstream.report.incarnation;
        if report.incarnation.started_ms < incarnation.started_ms {
            return false;
        }
        if report.incarnation != *incarnation {
            // Calls address an upstream by its id, so the new incarnation may have started runs
            // that were requested from the old one.
            let is_same_id = report.incarnation.id == incarnation.id;
            if !is_same_id {
                self.end_incarnation(now);
            }
            self.begin_incarnation(now, report);
            self.store_record(now);
            if is_same_id {
                self.reconcile_runs(now);
            }
            return true;
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
        let mut upstream = Upstream::new(report);
        if let Some(clock) = clock {
            upstream.lease.record_clock(now, clock);
        }
        self.upstream = Some(upstream);
        self.tick(now);
    }

    /// Ends all runs of an incarnation that is gone.
    fn end_incarnation(&mut self, now: Time) {
        let is_claim = |r: &Run| r.claim.is_some();
        let rows = self.runs.iter().filter(|(_, r)| is_claim(r));
        let claims: Vec<RunKey> = rows.map(|(run, _)| *run).collect();
        for run in claims {
            self.abandon_queued(now, run, RefuseReason::Closed);
        }
        let runs: Vec<RunKey> = self.runs.keys().copied().collect();
        for run in runs {
            self.finish_run(now, run, RunEnd::Lapsed);
        }
        self.upstream = None;
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
                RunState::Queued | RunState::Claimed(_) => {}
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
