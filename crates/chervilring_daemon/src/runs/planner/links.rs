//! The links of runners to a planner.

use std::time::Duration;

use chervilring_core::runs::planner::LinkNo;
use chervilring_wire::RunnerMessage;
use slog::warn;
use stakker::{CX, after};
use stakker_mio::Ready;

use super::{Parts, PlannerActor};
use crate::net::{LinkEvent, LinkId, LinkState};

/// How many links are accepted before others are looked at.
const ACCEPT_BATCH: usize = 64;

impl PlannerActor {
    /// Accepts links of runners.
    pub(super) fn accept(&mut self, cx: CX![], _ready: Ready) {
        self.accept_links(cx);
    }

    /// Accepts links that wait; further ones in the next turn of the loop.
    pub(super) fn accept_links(&mut self, cx: CX![]) {
        for _ in 0..ACCEPT_BATCH {
            let Some(stream) = self.parts.listener.accept() else {
                return self.carry_soon(cx);
            };
            if let Err(error) = self.parts.links.accept(stream) {
                warn!(self.parts.log, "link not accepted"; "error" => %error);
            }
        }
        after!(Duration::ZERO, [cx], accept_links());
        self.carry_soon(cx);
    }

    /// Reads from and writes to a link.
    pub(super) fn link_ready(&mut self, cx: CX![], event: LinkEvent) {
        self.check_pause();
        let Parts {
            links,
            planner,
            clock,
            log,
            ..
        } = &mut self.parts;
        let link = LinkNo(event.id.0);
        let take = |message: RunnerMessage| planner.message(clock.time(), link, message);
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
        self.parts.planner.link_down(now, LinkNo(link.0));
    }
}
