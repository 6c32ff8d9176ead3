//! The actor that owns all state of an entry.

use std::thread;

use chervilring_core::entry::{Change, Entry, EntryStep};
use chervilring_wire::{CorrelationId, Datagram, Micros, Reply, Time};
use serde_json::json;
use slog::{Logger, info, warn};
use stakker::{CX, FixedTimerKey, at, lazy, stop};
use stakker_mio::Ready;

use super::dialer::Dialer;
use super::event::Event;
use super::report::Report;
use super::routes::Routes;
use super::setup::{Evicted, Setup};
use super::store::StoreThreads;
use crate::http::{CallerApi, CallerEvent};
use crate::net::{Clock, Datagrams, Inbox, LinkEvent, LinkId, Links, Listener};

/// How often links are dialled and checked.
const UPKEEP: Micros = Micros::from_millis(100);

/// How long callers may take to read their last answers at a planned stop.
const CLOSE: Micros = Micros::from_secs(5);

/// The actor that owns all state of an entry.
///
/// Events change the state at once; when all that are at hand are in, [`EntryDaemon::settle`] runs
/// the systems of the core and carries out their steps.
pub(super) struct EntryDaemon {
    pub(super) clock: Clock,
    pub(super) entry: Entry,
    pub(super) links: Links,
    pub(super) routes: Routes,
    pub(super) dialer: Dialer,
    pub(super) listener: Listener,
    pub(super) datagrams: Datagrams,
    pub(super) api: CallerApi,
    pub(super) store: StoreThreads,
    pub(super) log: Logger,
    pub(super) report: Report,
    pub(super) upkeep: Time,
    /// When a planned stop ends even if work is left.
    pub(super) stop_by: Time,
    pub(super) stop_span: Micros,
    inbox: Inbox<Event>,
    timer: Option<FixedTimerKey>,
    settling: bool,
    closing: bool,
    evicted: bool,
    end: Option<End>,
}

/// How the actor ends.
#[derive(Debug, Clone, Copy)]
enum End {
    Stopped,
    Evicted,
}

impl EntryDaemon {
    /// Creates the actor, with its sockets bound and its threads started.
    pub(super) fn init(cx: CX![], setup: Setup) -> Option<Self> {
        match setup.build(cx) {
            Ok(mut daemon) => {
                daemon.wake(cx);
                Some(daemon)
            }
            Err(error) => {
                cx.fail_string(format!("{error:#}"));
                None
            }
        }
    }

    /// Joins the parts.
    pub(super) fn new(parts: Parts) -> Self {
        Self {
            clock: parts.clock,
            entry: parts.entry,
            links: parts.links,
            routes: Routes::default(),
            dialer: Dialer::default(),
            listener: parts.listener,
            datagrams: parts.datagrams,
            api: parts.api,
            store: parts.store,
            log: parts.log,
            report: parts.report,
            upkeep: Time::default(),
            stop_by: Time::NEVER,
            stop_span: parts.stop_span,
            inbox: parts.inbox,
            timer: None,
            settling: false,
            closing: false,
            evicted: false,
            end: None,
        }
    }

    /// Handles events from threads.
    pub(super) fn events(&mut self, cx: CX![], events: Vec<Event>) {
        for event in events {
            self.event(event);
        }
        self.wake(cx);
    }

    fn event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Caller(CallerEvent::Submit { ticket, submission }) => {
                self.entry.submit(now, ticket, *submission);
            }
            Event::Caller(CallerEvent::Query { ticket, id, query }) => {
                self.entry.query(now, ticket, id, query);
            }
            Event::Caller(CallerEvent::Status { ticket }) => self.status(ticket),
            Event::Caller(CallerEvent::DeclareDead { ticket, name }) => {
                let declared = self.entry.declare_dead(now, &name);
                let answer = serde_json::json!({ "member": name, "declared": declared });
                self.api.status(ticket, answer);
            }
            Event::Caller(CallerEvent::ClearDoubts { ticket }) => {
                self.entry.clear_doubts(now);
                self.status(ticket);
            }
            Event::Store(event) => self.entry.store(now, event),
            Event::Config(blob) => self.entry.configure(now, blob),
            Event::Stop => self.begin_stop(),
            Event::Closed(left) => self.closed(left),
        }
    }

    fn status(&mut self, ticket: CorrelationId) {
        let status = self.entry.status(self.clock.now());
        let value = serde_json::to_value(status).unwrap_or_else(|error| {
            warn!(self.log, "status cannot be written"; "error" => %error);
            json!({"error": error.to_string()})
        });
        self.api.status(ticket, value);
    }

    fn begin_stop(&mut self) {
        if self.stop_by == Time::NEVER {
            self.stop_by = self.clock.time() + self.stop_span;
            self.api.refuse();
            self.entry.leave(self.clock.now());
        }
    }

    /// Handles a link that can be read or written.
    pub(super) fn link_ready(&mut self, cx: CX![], event: LinkEvent) {
        self.handle_link(event);
        self.wake(cx);
    }

    /// Accepts the connections that wait.
    pub(super) fn accept(&mut self, cx: CX![], _: Ready) {
        while let Some(stream) = self.listener.accept() {
            self.accept_link(stream);
        }
        self.wake(cx);
    }

    /// Reads the datagrams that wait.
    pub(super) fn datagrams_ready(&mut self, cx: CX![], _: Ready) {
        while let Some((from, datagram)) = self.datagrams.receive() {
            let Ok(Datagram::Announce(announce)) = datagram else {
                self.report.malformed.add(1, &[]);
                continue;
            };
            let ack = self.entry.announce(self.clock.now(), &announce);
            // An answer that is too long for a datagram cannot be: it holds one name.
            let _ = self.datagrams.send(from, &Datagram::Ack(ack));
        }
        self.wake(cx);
    }

    /// Has [`EntryDaemon::settle`] run once the events at hand are in.
    fn wake(&mut self, cx: CX![]) {
        if !self.settling {
            self.settling = true;
            lazy!([cx], settle());
        }
    }

    /// Runs the systems of the core and carries out their steps.
    fn settle(&mut self, cx: CX![]) {
        self.settling = false;
        self.keep_links();
        loop {
            let now = self.clock.now();
            self.entry.run(now);
            for step in self.entry.drain() {
                self.carry_out(step);
            }
            let failed = self.links.flush();
            if failed.is_empty() {
                break;
            }
            for link in failed {
                self.lose(link);
            }
        }
        self.datagrams.flush();
        if self.clock.time() >= self.stop_by {
            self.close();
        }
        match self.end {
            Some(End::Stopped) => stop!(cx),
            Some(End::Evicted) => cx.fail(Evicted),
            None => self.arm(cx),
        }
    }

    /// Sets the timer to when the core or the links are due next.
    fn arm(&mut self, cx: CX![]) {
        if let Some(timer) = self.timer.take() {
            cx.timer_del(timer);
        }
        let due = self.entry.wake_at().min(self.upkeep).min(self.stop_by);
        let due = self.clock.instant(due);
        self.timer = Some(at!(due, [cx], timer_due()));
    }

    fn timer_due(&mut self, cx: CX![]) {
        self.timer = None;
        self.wake(cx);
    }

    /// Dials, and closes links that did not say who they are.
    fn keep_links(&mut self) {
        let now = self.clock.time();
        if now < self.upkeep {
            return;
        }
        self.upkeep = now + UPKEEP;
        self.dial(now);
        for link in self.routes.silent(now) {
            self.lose(link);
        }
        self.api.set_ready(self.entry.is_ready());
        self.report.update(&mut self.entry);
    }

    fn carry_out(&mut self, step: EntryStep) {
        match step {
            EntryStep::Reply { ticket, reply } => self.reply(ticket, reply),
            EntryStep::Peer { to, message } => {
                let link = self.routes.peer(&to);
                self.send(link, &message);
            }
            EntryStep::Agent { to, message } => {
                let link = self.routes.agent(&to);
                self.send(link, &message);
            }
            EntryStep::Store(call) => self.store.call(call),
            EntryStep::Change(change) => self.log_change(&change),
            EntryStep::Left => self.close(),
            EntryStep::Evicted => {
                self.evicted = true;
                self.api.refuse();
                self.close();
            }
        }
    }

    fn reply(&mut self, ticket: CorrelationId, reply: Reply) {
        self.api.reply(ticket, reply);
    }

    /// Queues a message; one that cannot be sent breaks its link, so that both sides notice.
    fn send<T: serde::Serialize>(&mut self, link: Option<LinkId>, message: &T) {
        let Some(link) = link else {
            return;
        };
        if let Err(error) = self.links.send(link, message) {
            warn!(self.log, "message not sent"; "error" => %error);
            self.lose(link);
        }
    }

    /// Closes the callers' interface once all callers have their answer, on a thread of its own,
    /// for the loop goes on carrying answers meanwhile.
    fn close(&mut self) {
        if self.closing {
            return;
        }
        self.closing = true;
        let until = self.stop_by.min(self.clock.time() + CLOSE);
        let until = self.clock.instant(until);
        let (api, inbox) = (self.api.clone(), self.inbox.clone());
        let closer = move || inbox.push(Event::Closed(api.close(until)));
        let started = thread::Builder::new().name("closer".into()).spawn(closer);
        if started.is_err() {
            self.inbox.push(Event::Closed(self.api.waiting()));
        }
    }

    /// Ends the process after its last answer.
    fn closed(&mut self, left: usize) {
        if left > 0 {
            warn!(self.log, "callers left without an answer"; "callers" => left);
        }
        self.store.finish();
        let end = if self.evicted {
            End::Evicted
        } else {
            End::Stopped
        };
        self.end = Some(end);
    }

    fn log_change(&self, change: &Change) {
        match change {
            Change::Ring(version) => info!(self.log, "ring in force"; "version" => version.0),
            Change::Revision(revision) => {
                info!(self.log, "configuration in force"; "revision" => revision.0);
            }
            Change::BadConfig(revision) => {
                warn!(self.log, "configuration cannot be read"; "revision" => revision.0);
            }
            Change::AgentUp(agent) => info!(self.log, "agent up"; "agent" => %agent),
            Change::AgentDown(agent) => info!(self.log, "agent down"; "agent" => %agent),
            Change::PeerUp(peer) => info!(self.log, "entry up"; "entry" => %peer),
            Change::PeerDown(peer) => info!(self.log, "entry down"; "entry" => %peer),
            Change::DeclaredDead(name) => {
                warn!(self.log, "entry declared dead by an operator"; "entry" => %name);
            }
            Change::DoubtsCleared => warn!(self.log, "doubts cleared by an operator"),
            Change::Stopping => info!(self.log, "stopping"),
            Change::Left => info!(self.log, "left the ring"),
            Change::Evicted => warn!(self.log, "evicted from the ring"),
        }
    }
}

/// What an [`EntryDaemon`] is made of.
pub(super) struct Parts {
    pub(super) clock: Clock,
    pub(super) entry: Entry,
    pub(super) links: Links,
    pub(super) listener: Listener,
    pub(super) datagrams: Datagrams,
    pub(super) api: CallerApi,
    pub(super) store: StoreThreads,
    pub(super) inbox: Inbox<Event>,
    pub(super) log: Logger,
    pub(super) report: Report,
    pub(super) stop_span: Micros,
}
