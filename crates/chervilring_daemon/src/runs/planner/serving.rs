//! The ports of a planner for callers, the balancer and metrics.

use std::time::Duration;

use chervilring_core::runs::planner::Caller;
use chervilring_wire::Time;
use stakker::{CX, after};

use super::super::dialect::CallerCall;
use super::PlannerActor;
use crate::net::{ConnNo, HttpAnswer, HttpEvent, HttpReady};

impl PlannerActor {
    /// Handles what callers send.
    pub(super) fn callers(&mut self, cx: CX![], ready: HttpReady) {
        self.check_pause();
        let now = self.parts.clock.time();
        let events = self.parts.callers.handle(now, ready);
        self.caller_events(now, events);
        self.carry_soon(cx);
    }

    /// Has the ports looked at again on which something waits behind what is answered.
    pub(super) fn look_again(&mut self, cx: CX![]) {
        if self.parts.callers.take_pending() {
            after!(Duration::ZERO, [cx], callers(HttpReady::Pending));
        }
        if self.parts.ready.take_pending() {
            after!(Duration::ZERO, [cx], ready(HttpReady::Pending));
        }
        if self.parts.metrics.take_pending() {
            after!(Duration::ZERO, [cx], metrics(HttpReady::Pending));
        }
    }

    /// Takes in what callers send, and that others have left because of it.
    pub(super) fn caller_events(&mut self, now: Time, events: Vec<HttpEvent>) {
        let mut queue = std::collections::VecDeque::from(events);
        while let Some(event) = queue.pop_front() {
            match event {
                HttpEvent::Gone(conn) => self.parts.planner.caller_left(now, Caller(conn.0)),
                HttpEvent::Request(conn, request) => {
                    let Some(routes) = &self.routes else {
                        let answer = (self.parts.dialect.unready)();
                        queue.extend(self.parts.callers.answer(now, conn, &answer));
                        continue;
                    };
                    let call = (self.parts.dialect.read)(&request, routes, now);
                    if matches!(call, CallerCall::Unrouted(_)) {
                        self.source.log_unrouted(&self.parts.log, &request, now);
                    }
                    queue.extend(self.serve(now, conn, call));
                }
            }
            queue.extend(self.steps(now));
        }
    }

    /// Serves what a caller asks for; returns which callers have left because of it.
    fn serve(&mut self, now: Time, conn: ConnNo, call: CallerCall) -> Vec<HttpEvent> {
        let dialect = self.parts.dialect;
        let answer = match call {
            CallerCall::Submit(new) => {
                self.parts.report.submitted.add(1, &[]);
                self.parts.planner.submit(now, Caller(conn.0), new);
                return Vec::new();
            }
            CallerCall::Waiting(route) => {
                (dialect.waiting)(self.parts.planner.unstarted_jobs(&route))
            }
            CallerCall::State(job) => (dialect.state)(self.parts.planner.contains(job)),
            CallerCall::Cancel(job) => (dialect.state)(self.parts.planner.cancel(now, job)),
            CallerCall::Unrouted(answer) | CallerCall::Answer(answer) => answer,
        };
        self.parts.callers.answer(now, conn, &answer)
    }

    /// Answers whether callers are to be sent here.
    pub(super) fn ready(&mut self, cx: CX![], ready: HttpReady) {
        let now = self.parts.clock.time();
        let able = self.routes.is_some()
            && self.stopping.is_none()
            && self.parts.planner.runner_count() > 0;
        let status = if able { 200 } else { 503 };
        let answer = HttpAnswer::json(status, Vec::new());
        self.parts.ready.serve(now, ready, |_| answer.clone());
        self.carry_soon(cx);
    }

    /// Serves metrics and explanations.
    pub(super) fn metrics(&mut self, cx: CX![], ready: HttpReady) {
        let now = self.parts.clock.time();
        let report = &self.parts.report;
        report
            .jobs
            .record(self.parts.planner.job_count() as u64, &[]);
        report
            .runners
            .record(self.parts.planner.runner_count() as u64, &[]);
        let version = self.routes.as_ref().map_or(0, |r| r.version);
        report.version.record(version, &[]);
        report
            .failed_reads
            .record(u64::from(self.source.failed_reads()), &[]);
        let planner = &self.parts.planner;
        let (domains, upstreams) = (planner.evacuated_domains(), planner.evacuated_upstreams());
        report.evacuated.record(domains as u64, &[]);
        report.left_out.record(upstreams as u64, &[]);
        self.serve_operators(now, ready);
        self.carry_soon(cx);
    }
}
