//! The links of a runner to planners.

use chervilring_core::runs::planner::LinkNo;
use chervilring_core::runs::runner::DialAction;
use chervilring_wire::{PlannerMessage, Time};
use slog::warn;
use stakker::CX;

use super::{Parts, RunnerActor};
use crate::net::{LinkEvent, LinkId, LinkState};

impl RunnerActor {
    /// Reads from and writes to a link.
    pub(super) fn link_ready(&mut self, cx: CX![], event: LinkEvent) {
        self.check_pause();
        let Parts {
            links,
            dial,
            runner,
            clock,
            log,
            ..
        } = &mut self.parts;
        let take = |message: PlannerMessage| {
            let (now, link) = (clock.time(), LinkNo(event.id.0));
            dial.link_up(now, link);
            runner.message(now, link, message);
        };
        let state = links.serve(event, take).unwrap_or_else(|error| {
            warn!(log, "link dropped"; "error" => %error);
            LinkState::Closed
        });
        if state == LinkState::Closed {
            self.close(event.id);
        }
        self.carry_soon(cx);
    }

    /// Closes a link and takes in that it has ended.
    pub(super) fn close(&mut self, link: LinkId) {
        self.parts.links.close(link);
        let now = self.parts.clock.time();
        self.parts.dial.link_closed(now, LinkNo(link.0));
        self.parts.runner.link_down(now, LinkNo(link.0));
    }

    /// Dials planners and closes links as is due.
    pub(super) fn dial(&mut self, now: Time) {
        let ready = self.parts.runner.may_send_hello(now);
        for action in self.parts.dial.due_actions(now, ready) {
            match action {
                DialAction::Close(link) => self.close(LinkId(link.0)),
                DialAction::CloseWhenIdle(link) => self.parts.runner.close_when_idle(now, link),
                DialAction::Dial(addr) => match self.parts.links.dial(addr) {
                    Ok(link) => {
                        let link = LinkNo(link.0);
                        self.parts.dial.link_opening(now, addr, link);
                        self.parts.runner.link_up(now, link);
                    }
                    Err(error) => {
                        warn!(self.parts.log, "planner not dialled"; "addr" => %addr,
                            "error" => %error);
                        self.parts.dial.back_off(now, addr);
                    }
                },
            }
        }
    }
}
