//! The actor that carries the agent's decisions to sockets and threads.

use std::net::SocketAddr;
use std::time::Duration;

use chervilring_core::agent::{Agent, AgentStep};
use chervilring_wire::codec::CodecError;
use chervilring_wire::{AgentId, Datagram, EntryId, EntryMessage, Hello, Time};
use slog::{Logger, info, warn};
use stakker::{CX, FixedTimerKey, at};
use stakker_mio::Ready;

use super::calls::{Calls, Ended};
use super::dialer::{Dialer, Due};
use super::http::HttpEvent;
use crate::net::{Clock, Datagrams, LinkEvent, LinkId, LinkState, Links};

/// The longest span between two looks at the clock.
const TICK: Duration = Duration::from_millis(250);

/// What the actor works with.
pub(super) struct Parts {
    /// The decisions.
    pub(super) agent: Agent,
    /// This life of the agent.
    pub(super) id: AgentId,
    /// The clock that all parts share.
    pub(super) clock: Clock,
    /// The addresses of entries.
    pub(super) dialer: Dialer,
    /// The links to entries.
    pub(super) links: Links,
    /// The socket for announcements.
    pub(super) datagrams: Datagrams,
    /// The calls of the upstream.
    pub(super) calls: Calls,
    /// The log.
    pub(super) log: Logger,
}

/// The agent daemon's only actor.
pub(super) struct AgentActor {
    parts: Parts,
    timer: Option<FixedTimerKey>,
    state: &'static str,
}

impl AgentActor {
    /// Creates the actor and announces the agent.
    #[expect(
        clippy::unnecessary_wraps,
        reason = "actors are made by functions of this form"
    )]
    pub(super) fn init(cx: CX![], parts: Parts) -> Option<Self> {
        let mut this = Self {
            parts,
            timer: None,
            state: "down",
        };
        this.carry(cx);
        Some(this)
    }

    /// Runs what is due.
    pub(super) fn tick(&mut self, cx: CX![]) {
        self.carry(cx);
    }

    /// Begins the stop.
    pub(super) fn leave(&mut self, cx: CX![], _signals: Vec<i32>) {
        info!(self.parts.log, "stopping");
        let now = self.parts.clock.time();
        self.parts.agent.begin_stop(now);
        self.carry(cx);
    }

    /// Takes in the ends of calls.
    pub(super) fn calls_ended(&mut self, cx: CX![], ends: Vec<Ended>) {
        let now = self.parts.clock.time();
        for (key, end) in ends {
            self.parts.agent.call_ended(now, key, end);
        }
        self.carry(cx);
    }

    /// Takes in what came over HTTP.
    pub(super) fn requests(&mut self, cx: CX![], events: Vec<HttpEvent>) {
        for event in events {
            let now = self.parts.clock.time();
            match event.upstream {
                Some(upstream) => self.parts.agent.upstream_event(now, upstream),
                None => self.parts.agent.tick(now),
            }
            // The thread has given up waiting if this fails.
            let _ = event.reply.try_send(self.parts.agent.status());
        }
        self.carry(cx);
    }

    /// Reads datagrams.
    pub(super) fn datagrams_ready(&mut self, cx: CX![], _ready: Ready) {
        let now = self.parts.clock.time();
        while let Some((_, read)) = self.parts.datagrams.receive() {
            // What does not come from an entry is dropped, like any datagram may be.
            let Ok(Datagram::Ack(ack)) = read else {
                continue;
            };
            self.parts.dialer.acked(now, &ack.entry);
            self.parts.agent.announce_acked(now, &ack);
        }
        self.parts.datagrams.flush();
        self.carry(cx);
    }

    /// Reads from and writes to a link.
    pub(super) fn link_ready(&mut self, cx: CX![], event: LinkEvent) {
        let mut state = LinkState::Open;
        if event.writable {
            state = self.parts.links.flush_link(event.id);
        }
        if event.readable && state != LinkState::Closed {
            state = self.read(event.id);
        }
        if state == LinkState::Closed {
            self.close(event.id);
        }
        self.carry(cx);
    }

    /// Reads all that has come in over a link.
    fn read(&mut self, link: LinkId) -> LinkState {
        loop {
            let state = self.parts.links.fill(link);
            self.parts.dialer.heard(self.parts.clock.time(), link);
            while let Some(read) = self.receive(link).transpose() {
                if let Err(error) = read {
                    warn!(self.parts.log, "dropped a link"; "error" => %error);
                    return LinkState::Closed;
                }
            }
            if state != LinkState::More {
                return state;
            }
        }
    }

    /// Takes in the next message of a link, if one is whole.
    fn receive(&mut self, link: LinkId) -> Result<Option<()>, CodecError> {
        let Some(from) = self.parts.dialer.entry_at(link).cloned() else {
            let Some(hello) = self.parts.links.receive::<Hello>(link)? else {
                return Ok(None);
            };
            let Hello::Entry(entry) = hello else {
                return Err(CodecError::Foreign);
            };
            self.greet(link, &entry);
            return Ok(Some(()));
        };
        let Some(message) = self.parts.links.receive::<EntryMessage>(link)? else {
            return Ok(None);
        };
        let now = self.parts.clock.time();
        self.parts.agent.entry_message(now, &from, message);
        Ok(Some(()))
    }

    fn greet(&mut self, link: LinkId, entry: &EntryId) {
        info!(self.parts.log, "link is up"; "entry" => %entry);
        self.parts.dialer.greeted(link, entry.clone());
        self.parts.agent.entry_up(self.parts.clock.time(), entry);
    }

    fn close(&mut self, link: LinkId) {
        let now = self.parts.clock.time();
        self.parts.links.close(link);
        let Some(entry) = self.parts.dialer.closed(now, link) else {
            return;
        };
        info!(self.parts.log, "link is down"; "entry" => %entry);
        // Two addresses may lead to the same entry.
        if self.parts.dialer.link_to(&entry).is_none() {
            self.parts.agent.entry_down(now, &entry);
        }
    }

    /// Runs what is due and carries out all steps.
    fn carry(&mut self, cx: CX![]) {
        self.parts.agent.tick(self.parts.clock.time());
        self.dial();
        for step in self.parts.agent.drain() {
            match step {
                AgentStep::SendToEntry { to, message } => self.send(&to, &message),
                AgentStep::CallUpstream(call) => {
                    if let Err(error) = self.parts.calls.start(call) {
                        warn!(self.parts.log, "no thread for a call"; "error" => %error);
                    }
                }
                AgentStep::AbortCall(key) => self.parts.calls.abort(key),
                AgentStep::Announce(announce) => self.announce(&Datagram::Announce(announce)),
                AgentStep::Connect(members) => self.parts.dialer.set_members(&members),
                AgentStep::Exit => cx.shutdown(stakker::StopCause::Stopped),
            }
        }
        for link in self.parts.links.flush() {
            self.close(link);
        }
        self.parts.datagrams.flush();
        self.log_state();
        self.set_timer(cx);
    }

    fn send(&mut self, to: &EntryId, message: &chervilring_wire::AgentMessage) {
        let Some(link) = self.parts.dialer.link_to(to) else {
            return;
        };
        if let Err(error) = self.parts.links.send(link, message) {
            warn!(self.parts.log, "message not sent"; "entry" => %to, "error" => %error);
        }
    }

    fn announce(&mut self, announce: &Datagram) {
        let addrs: Vec<SocketAddr> = self.parts.dialer.addrs().collect();
        for addr in addrs {
            if let Err(error) = self.parts.datagrams.send(addr, announce) {
                warn!(self.parts.log, "announcement not sent"; "error" => %error);
            }
        }
    }

    /// Dials the addresses that are due, and closes links on which nothing is heard.
    fn dial(&mut self) {
        let now = self.parts.clock.time();
        for due in self.parts.dialer.due(now) {
            match due {
                Due::Close(link) => self.close(link),
                Due::Dial(addr) => self.open(now, addr),
            }
        }
    }

    fn open(&mut self, now: Time, addr: SocketAddr) {
        let Ok(link) = self.parts.links.dial(addr) else {
            self.parts.dialer.back_off(now, addr);
            return;
        };
        self.parts.dialer.opened(now, addr, link);
        let hello = Hello::Agent(self.parts.id.clone());
        if let Err(error) = self.parts.links.send(link, &hello) {
            warn!(self.parts.log, "hello not sent"; "error" => %error);
        }
    }

    fn log_state(&mut self) {
        let state = self.parts.agent.state_name();
        if state != self.state {
            info!(self.parts.log, "state changed"; "state" => state);
            self.state = state;
        }
    }

    fn set_timer(&mut self, cx: CX![]) {
        let wake = self.parts.agent.wake_at().min(self.parts.dialer.wake_at());
        let due = self.parts.clock.instant(wake).min(cx.now() + TICK);
        // A `timer_min!` cannot be moved to a point that has passed: it panics.
        if let Some(timer) = self.timer.take() {
            cx.timer_del(timer);
        }
        self.timer = Some(at!(due, [cx], tick()));
    }
}
