//! Upstreams whose place another incarnation takes, and the runs that they leave behind.
//!
//! A report does not show that the upstream of before is gone. It may come from another program, late from
//! an earlier incarnation, or from a successor that starts while the upstream still drains. Calls that get
//! no answer do not show it either, nor does an exit that is announced before it takes place. So two
//! questions are kept apart:
//!
//! - Who gets work from now on? A successor does as soon as the upstream has announced its exit, or polls
//!   show that it is gone. Its first report counts at once if that is known, and is kept otherwise.
//! - When are the runs of before over? When the upstream lists their end, when another process answers at its
//!   address, or when its lease has expired. Until then they are detached: they take no room, their ends are
//!   not reported, and no other run of their tasks is accepted.

use std::net::SocketAddr;

use chervilring_wire::{Micros, RefuseReason, RunEnd, RunKey, Time};

use super::call::UpstreamIncarnation;
use super::event::RunnerEvent;
use super::state::{Run, RunState, Runner, RunnerStep};
use super::upstream::{Reachability, Report, Silence, Upstream};

impl Upstream {
    /// Returns whether an incarnation that reports takes its place at once.
    ///
    /// One that has never answered may have been made up by another program.
    pub(super) fn is_replaceable(&self) -> bool {
        self.last_answer == Time::default() || self.is_gone()
    }

    /// Returns whether all of its runs have certainly ended.
    fn has_ended(&self) -> bool {
        match self.reachability {
            Reachability::Answering => false,
            // Another process has its address.
            Reachability::Missed | Reachability::Silent => self.silence == Silence::Replaced,
            Reachability::Expired => true,
        }
    }

    /// Returns how its runs have ended once it is gone.
    pub(super) fn run_end(&self) -> RunEnd {
        match self.silence {
            Silence::Crashed | Silence::Replaced => run_end(self.has_announced_exit()),
            // Silence alone does not tell whether it has crashed.
            Silence::Unexplained => RunEnd::Stopped,
        }
    }
}

/// Returns how runs have ended whose upstream's process has: a process that ends as it has announced has
/// not crashed.
pub(super) fn run_end(was_announced: bool) -> RunEnd {
    if was_announced {
        RunEnd::Stopped
    } else {
        RunEnd::Lapsed
    }
}

/// The upstream of a run that was left behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Predecessor {
    addr: SocketAddr,
    /// When it started, in milliseconds since the Unix epoch.
    started_ms: u64,
    /// When its runs have certainly ended with its lease.
    pub(super) expiry: Time,
    /// What its runs then count as.
    end: RunEnd,
    /// What they count as once its process has ended.
    exit_end: RunEnd,
}

impl Predecessor {
    /// Returns whether it is this incarnation.
    pub(super) fn is(&self, incarnation: &UpstreamIncarnation) -> bool {
        (self.addr, self.started_ms) == (incarnation.addr, incarnation.started_ms)
    }
}

impl Run {
    /// Returns the upstream that it was left behind at, if it was.
    pub(super) fn predecessor(&self) -> Option<&Predecessor> {
        match &self.state {
            RunState::Detached(predecessor) => Some(predecessor),
            _ => None,
        }
    }
}

impl Runner {
    /// Lets the incarnation of a report take the place of the current one.
    pub(super) fn replace_incarnation(&mut self, now: Time, report: Report) {
        let next = &report.incarnation;
        let current = self.upstream.as_ref().map(|u| &u.report.incarnation);
        // Calls address an upstream by its id, so one that started again at its address may have started
        // runs that were requested from the incarnation before.
        let is_restart = current.is_some_and(|c| (&c.id, c.addr) == (&next.id, next.addr));
        if !is_restart {
            self.leave_runs(now, &report);
        }
        self.begin_incarnation(now, report);
        self.store_record(now);
        if is_restart {
            self.reconcile_runs(now);
        }
    }

    /// Keeps a report until polls show which incarnation is there.
    pub(super) fn keep_report(&mut self, report: Report) {
        let is_later = |kept: &Report| {
            kept.incarnation == report.incarnation && kept.sequence > report.sequence
        };
        if !self.unconfirmed.as_ref().is_some_and(is_later) {
            self.unconfirmed = Some(report);
        }
    }

    /// Replaces an incarnation that is gone by the one that has reported meanwhile, if any has.
    pub(super) fn replace_if_gone(&mut self, now: Time) {
        let is_gone = self.upstream.as_ref().is_some_and(Upstream::is_gone);
        if let Some(report) = self.unconfirmed.take_if(|_| is_gone) {
            self.replace_incarnation(now, report);
        }
    }

    /// Leaves the runs of the current incarnation behind, as that of a report takes its place.
    fn leave_runs(&mut self, now: Time, next: &Report) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        let has_ended = upstream.has_ended();
        let incarnation = &upstream.report.incarnation;
        let predecessor = Predecessor {
            addr: incarnation.addr,
            started_ms: incarnation.started_ms,
            expiry: upstream.lease.runs_end_by(now, self.max_lease),
            end: upstream.run_end(),
            exit_end: run_end(upstream.has_announced_exit()),
        };
        let event = RunnerEvent::UpstreamReplaced {
            id: incarnation.id.clone(),
            next: next.incarnation.id.clone(),
            reason: upstream.gone_reason(),
            runs: self.run_count() as u32,
            lease: if has_ended {
                Micros::default()
            } else {
                now.duration_until(predecessor.expiry)
            },
        };
        self.steps.push(RunnerStep::Log(event));
        let runs: Vec<(RunKey, RunState)> = self.runs.iter().map(|(k, r)| (*k, r.state)).collect();
        for (run, state) in runs {
            match state {
                // They were placed by what the upstream was.
                RunState::Queued | RunState::Claimed(_) => {
                    self.abandon_queued(now, run, RefuseReason::Closed);
                }
                RunState::Detached(_) => {}
                _ if has_ended => self.finish_run(now, run, predecessor.exit_end),
                _ => self.set_state(run, RunState::Detached(predecessor)),
            }
        }
    }

    /// Ends the runs that were left behind at an upstream whose lease has expired.
    pub(super) fn end_expired_runs(&mut self, now: Time) {
        self.end_detached_runs(now, |p| (now >= p.expiry).then_some(p.end));
    }

    /// Ends the runs that were left behind at an address at which another incarnation answers now.
    pub(super) fn end_succeeded_runs(&mut self, now: Time) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        let current = upstream.report.incarnation.clone();
        self.end_detached_runs(now, |p| {
            let is_succeeded = p.addr == current.addr && p.started_ms != current.started_ms;
            is_succeeded.then_some(p.exit_end)
        });
    }

    /// Ends the runs that were left behind at an upstream for which a function returns an end.
    fn end_detached_runs(&mut self, now: Time, end: impl Fn(&Predecessor) -> Option<RunEnd>) {
        let row = |(run, row): (&RunKey, &Run)| Some((*run, end(row.predecessor()?)?));
        let ended: Vec<(RunKey, RunEnd)> = self.runs.iter().filter_map(row).collect();
        for (run, end) in ended {
            self.finish_run(now, run, end);
        }
    }
}
