//! What comes in over links, and how links begin and end.

use chervilring_wire::codec::CodecError;
use chervilring_wire::{AgentMessage, Hello, Micros, PeerMessage, Time};
use slog::{debug, warn};
use stakker_mio::mio::net::TcpStream;

use super::daemon::EntryDaemon;
use super::routes::Remote;
use crate::net::{LinkEvent, LinkId, LinkState};

/// How long a new link may take to say who it is.
const HELLO: Micros = Micros::from_secs(3);

impl EntryDaemon {
    /// Opens links to the members that this entry is to dial.
    pub(super) fn dial(&mut self, now: Time) {
        let (own, ring) = (self.entry.id().clone(), self.entry.ring());
        let is_up = |name: &str| self.routes.has_peer(name);
        for member in self.dialer.due(now, &own, ring, is_up) {
            match self.links.dial(member.addr) {
                Ok(link) => self.greet(link),
                Err(error) => {
                    debug!(self.log, "entry not dialled"; "addr" => %member.addr, "error" => %error);
                }
            }
        }
    }

    /// Adds an accepted connection.
    pub(super) fn accept_link(&mut self, stream: TcpStream) {
        if let Ok(link) = self.links.accept(stream) {
            self.greet(link);
        }
    }

    /// Says who this entry is and waits for the other side to do the same.
    fn greet(&mut self, link: LinkId) {
        self.routes.add(link, self.clock.time() + HELLO);
        let hello = Hello::Entry(self.entry.id().clone());
        // A greeting always fits into a frame.
        let _ = self.links.send(link, &hello);
    }

    /// Handles a link that can be read or written.
    pub(super) fn handle_link(&mut self, event: LinkEvent) {
        if event.writable && self.links.flush_link(event.id) == LinkState::Closed {
            return self.lose(event.id);
        }
        if !event.readable {
            return;
        }
        loop {
            let state = self.links.fill(event.id);
            if let Err(error) = self.take_frames(event.id) {
                self.report.malformed.add(1, &[]);
                warn!(self.log, "link closed"; "error" => %error);
                return self.lose(event.id);
            }
            match state {
                LinkState::More => {}
                LinkState::Open => return,
                LinkState::Closed => return self.lose(event.id),
            }
        }
    }

    /// Handles all whole frames of a link.
    fn take_frames(&mut self, link: LinkId) -> Result<(), CodecError> {
        while let Some(remote) = self.routes.remote(link).cloned() {
            let now = self.clock.now();
            match remote {
                Remote::Unknown(_) => match self.links.receive::<Hello>(link)? {
                    Some(hello) => self.meet(link, hello),
                    None => break,
                },
                Remote::Peer(peer) => match self.links.receive::<PeerMessage>(link)? {
                    Some(message) => self.entry.peer_message(now, &peer, message),
                    None => break,
                },
                Remote::Agent(agent) => match self.links.receive::<AgentMessage>(link)? {
                    Some(message) => self.entry.agent_message(now, &agent, message),
                    None => break,
                },
            }
        }
        Ok(())
    }

    /// Takes in who is at the other end of a link. An earlier link to a process of this name ends,
    /// unless it is to a later life of it.
    fn meet(&mut self, link: LinkId, hello: Hello) {
        let remote = match hello {
            Hello::Entry(peer) => Remote::Peer(peer),
            Hello::Agent(agent) => Remote::Agent(agent),
        };
        let earlier = self.routes.same_name(&remote);
        for other in &earlier {
            if self.routes.remote(*other).map(incarnation) > Some(incarnation(&remote)) {
                return self.lose(link);
            }
        }
        for other in earlier {
            self.lose(other);
        }
        self.routes.identify(link, remote.clone());
        let now = self.clock.now();
        match remote {
            Remote::Peer(peer) => self.entry.peer_up(now, &peer),
            Remote::Agent(agent) => self.entry.agent_up(now, &agent),
            Remote::Unknown(_) => {}
        }
    }

    /// Closes a link and tells the core who is gone.
    pub(super) fn lose(&mut self, link: LinkId) {
        self.links.close(link);
        let now = self.clock.now();
        match self.routes.remove(link) {
            Some(Remote::Peer(peer)) => self.entry.peer_down(now, &peer),
            Some(Remote::Agent(agent)) => self.entry.agent_down(now, &agent),
            Some(Remote::Unknown(_)) | None => {}
        }
    }
}

/// Returns which life of a process is at the other end.
fn incarnation(remote: &Remote) -> u64 {
    match remote {
        Remote::Unknown(_) => 0,
        Remote::Peer(peer) => peer.incarnation.0,
        Remote::Agent(agent) => agent.incarnation.0,
    }
}
