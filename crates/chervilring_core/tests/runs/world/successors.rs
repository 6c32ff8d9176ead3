//! Upstreams of the model that take the place of others: after a crash, or beside one that drains. And reports
//! that are not of the upstream that is there.

use std::net::SocketAddr;

use chervilring_core::runs::runner::{Report, UpstreamCall};
use chervilring_wire::{Name, Time};

use super::{Event, World};
use crate::upstream::{FIRST_START, Upstream};

/// An upstream that listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Listener {
    /// The newest one of a runner.
    Newest(usize),
    /// One that drains beside it.
    Beside(usize),
}

/// What a report that is not of the upstream says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OddReport {
    /// Another program made it up, with an id of its own.
    Foreign,
    /// Another program made it up, with the id of the upstream.
    ForeignSameId,
    /// It is the last one of an upstream that has crashed.
    Late,
}

/// The port of reports that another program made up.
const FOREIGN_PORT: u16 = 9;

/// How far the time of day may be ahead of the true one, in milliseconds.
const CLOCK_STEP: u64 = 2_400;

impl World {
    pub(super) fn upstream(&self, listener: Listener) -> &Upstream {
        match listener {
            Listener::Newest(r) => &self.upstreams[r],
            Listener::Beside(place) => &self.beside[place].1,
        }
    }

    /// Returns the upstream that a call reaches.
    pub(super) fn listener(&self, r: usize, call: &UpstreamCall) -> Option<Listener> {
        let addr = call.incarnation().addr;
        let is_there = |up: &Upstream| up.up && up.addr == addr;
        if is_there(&self.upstreams[r]) {
            return Some(Listener::Newest(r));
        }
        let mut beside = self.beside.iter();
        let place = beside.position(|(p, up)| *p == r && is_there(up))?;
        Some(Listener::Beside(place))
    }

    /// Returns whether an upstream leaves the next call unanswered.
    pub(super) fn leaves_call(&mut self, r: usize) -> bool {
        let left = self.left_calls.get_mut(&r).filter(|left| **left > 0);
        left.map(|left| *left -= 1).is_some()
    }

    pub(super) fn deliver_odd_report(&mut self, r: usize, kind: OddReport) {
        let mut late = self.past_reports.iter().filter(|(place, _)| *place == r);
        let report = match kind {
            OddReport::Late => late.next_back().map(|(_, report)| report.clone()),
            OddReport::Foreign => Some(self.foreign_report(r, "i-0000ffff".into())),
            OddReport::ForeignSameId => Some(self.foreign_report(r, self.upstreams[r].id.clone())),
        };
        let Some(report) = report else {
            return;
        };
        self.wake_runner(r, |core, now| {
            core.handle_report(now, report);
        });
    }

    fn foreign_report(&self, r: usize, id: Name) -> Report {
        let mut report = self.upstreams[r].clone().report(self.now);
        report.incarnation.id = id;
        report.incarnation.started_ms += CLOCK_STEP / 2;
        report.incarnation.addr = SocketAddr::from(([127, 0, 0, 1], FOREIGN_PORT));
        report.service = "unnamed".into();
        report
    }

    /// Returns the next upstream of a runner, with an id of its own. The time of day by which it dates its
    /// start may have been ahead.
    fn successor(&mut self, r: usize) -> Upstream {
        let last = &self.upstreams[r];
        self.successors += 1;
        let number = u64::from(self.successors);
        let mut next = Upstream::new(r, last.rate, last.speed, last.capacity.cpu);
        next.id = format!("u{r}-{number}").as_str().into();
        next.addr = last.addr;
        next.ignored = last.ignored;
        next.end_delay = last.end_delay;
        next.first_start = FIRST_START + number * 10 + self.rng.u64(0..2) * CLOCK_STEP;
        next.restart(self.now);
        next
    }

    /// Crashes an upstream. The next one has another id, and its address or another one.
    pub(super) fn renew(&mut self, r: usize, span: u64) {
        if !self.upstreams[r].up {
            return;
        }
        let report = self.upstreams[r].report(self.now);
        self.past_reports.push((r, report));
        self.losses.record_crash(self.now, r, &self.upstreams[r]);
        let mut next = self.successor(r);
        if self.rng.bool() {
            next.addr.set_port(FOREIGN_PORT + self.successors);
        }
        next.up = false;
        self.upstreams[r] = next;
        self.at(span, Event::Drain(r + 1_000));
    }

    /// Starts the successor of an upstream, which drains for a time.
    pub(super) fn release(&mut self, r: usize, span: u64) {
        if !self.upstreams[r].up || self.upstreams[r].draining {
            return;
        }
        let mut next = self.successor(r);
        next.addr.set_port(FOREIGN_PORT + self.successors);
        self.upstreams[r].draining = true;
        self.report(r);
        let last = std::mem::replace(&mut self.upstreams[r], next);
        self.at(span, Event::Leave(r, last.id.clone()));
        self.beside.push((r, last));
        self.report(r);
    }

    /// Ends an upstream that drains beside the newest one.
    pub(super) fn end_beside(&mut self, r: usize, id: &Name) {
        let is_it = |(place, up): &mut (usize, Upstream)| (*place, &up.id) == (r, id);
        for (_, up) in self.beside.extract_if(.., is_it) {
            self.losses.record_crash(self.now, r, &up);
        }
    }

    /// Announces the exit of an upstream, which follows soon, or seconds later.
    pub(super) fn leave(&mut self, r: usize, id: &Name) {
        let end = [0, 5_000, 1_500_000][self.rng.usize(0..3)];
        self.at(end, Event::End(r, id.clone()));
        self.wake_runner(r, |core, now: Time| core.upstream_left(now, id));
    }
}
