//! The table of TCP links of a process.

use std::io;
use std::net::SocketAddr;

use chervilring_wire::codec::CodecError;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Serialize;
use serde::de::DeserializeOwned;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, Ready};

use super::link::Link;

/// The priority at which sockets are handled, out of `0..=10`.
pub(super) const LINK_PRIORITY: u32 = 5;

/// Names a link of this process; never used again after the link is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LinkId(pub(crate) u64);

/// Says that a link's socket is ready.
#[derive(Debug, Clone, Copy)]
pub struct LinkEvent {
    /// The link.
    pub id: LinkId,
    /// Whether there may be something to read.
    pub readable: bool,
    /// Whether there may be room to send.
    pub writable: bool,
}

/// The state of a link after it was read or flushed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// All that had come in was read.
    Open,
    /// More has come in: the frames read so far are to be taken, then it is read again.
    More,
    /// The connection has ended; frames read before that can still be taken.
    Closed,
}

/// The links of a process.
///
/// The owner handles a [`LinkEvent`] by [`Links::fill`], then [`Links::receive`] until there is no
/// whole frame left, and starts over while the state is [`LinkState::More`]. Messages are queued
/// by [`Links::send`] and leave with the next [`Links::flush`], one system call for all of them.
pub struct Links {
    poll: MioPoll,
    ready: Fwd<LinkEvent>,
    table: FxHashMap<LinkId, Link>,
    unsent: FxHashSet<LinkId>,
    last: u64,
    /// The most links, if they are limited.
    limit: Option<usize>,
}

impl Links {
    /// Creates an empty table; `ready` is called for each link that can be read or written.
    pub fn new(poll: MioPoll, ready: Fwd<LinkEvent>) -> Self {
        Self {
            poll,
            ready,
            table: FxHashMap::default(),
            unsent: FxHashSet::default(),
            last: 0,
            limit: None,
        }
    }

    /// Sets how many links there may be at the most when further ones are accepted. The first message
    /// over each of these must be short.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = Some(limit);
    }

    /// Opens a link to an address. Messages may be sent at once; they leave when it is connected.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no socket can be had. That nobody listens shows later, by
    /// [`LinkState::Closed`].
    pub fn dial(&mut self, addr: SocketAddr) -> io::Result<LinkId> {
        let stream = TcpStream::connect(addr)?;
        self.add(stream, true)
    }

    /// Adds an accepted connection. Past the limit the oldest link is closed over which no message has
    /// come.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the socket cannot be polled, and an error when the limit is
    /// reached by links that are in use.
    pub fn accept(&mut self, stream: TcpStream) -> io::Result<LinkId> {
        if self.limit.is_some_and(|limit| self.table.len() >= limit) {
            let silent = self.table.iter().filter(|(_, l)| !l.introduced);
            let oldest = silent.map(|(id, _)| *id).min_by_key(|id| id.0);
            let oldest = oldest.ok_or_else(|| io::Error::other("too many links"))?;
            self.close(oldest);
        }
        self.add(stream, self.limit.is_none())
    }

    fn add(&mut self, stream: TcpStream, introduced: bool) -> io::Result<LinkId> {
        self.last += 1;
        let id = LinkId(self.last);
        let ready = self.ready.clone();
        let forward = Fwd::new(move |state: Ready| {
            ready.fwd(LinkEvent {
                id,
                readable: state.is_readable() || state.is_read_closed() || state.is_error(),
                writable: state.is_writable() || state.is_error(),
            });
        });
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = self.poll.add(stream, interest, LINK_PRIORITY, forward)?;
        self.table.insert(id, Link::new(source, introduced));
        Ok(id)
    }

    /// Queues a message. On a closed link it is dropped, as it would be on the way.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError::TooLong`] when the message does not fit into a frame.
    pub fn send<T: Serialize>(&mut self, id: LinkId, message: &T) -> Result<(), CodecError> {
        let Some(link) = self.table.get_mut(&id) else {
            return Ok(());
        };
        self.unsent.insert(id);
        link.push(message)
    }

    /// Sends what is queued on all links and returns those that have failed; they are closed.
    pub fn flush(&mut self) -> Vec<LinkId> {
        let ids: Vec<LinkId> = self.unsent.drain().collect();
        let failed = |id: &LinkId| self.flush_link(*id) == LinkState::Closed;
        let closed: Vec<LinkId> = ids.into_iter().filter(failed).collect();
        for id in &closed {
            self.close(*id);
        }
        closed
    }

    /// Sends what is queued on a link whose socket is writable again.
    pub fn flush_link(&mut self, id: LinkId) -> LinkState {
        self.table
            .get_mut(&id)
            .map_or(LinkState::Closed, Link::flush)
    }

    /// Reads a batch of bytes from a link.
    pub fn fill(&mut self, id: LinkId) -> LinkState {
        self.table
            .get_mut(&id)
            .map_or(LinkState::Closed, Link::fill)
    }

    /// Takes the next whole message of a link.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer sent what is no frame; the link is then to be closed.
    pub fn receive<T: DeserializeOwned>(&mut self, id: LinkId) -> Result<Option<T>, CodecError> {
        self.table.get_mut(&id).map_or(Ok(None), Link::receive)
    }

    /// Reads all that has come in over a link and hands on each whole message.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer sent what is no frame; the link is then to be closed.
    fn read_all<T: DeserializeOwned>(
        &mut self,
        id: LinkId,
        mut take: impl FnMut(T),
    ) -> Result<LinkState, CodecError> {
        loop {
            let state = self.fill(id);
            while let Some(message) = self.receive(id)? {
                take(message);
            }
            if state != LinkState::More {
                return Ok(state);
            }
        }
    }

    /// Writes to and reads from a link that is ready, and hands on each whole message.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer sent what is no frame; the link is then to be closed.
    pub fn serve<T: DeserializeOwned>(
        &mut self,
        event: LinkEvent,
        take: impl FnMut(T),
    ) -> Result<LinkState, CodecError> {
        if event.writable && self.flush_link(event.id) == LinkState::Closed {
            return Ok(LinkState::Closed);
        }
        if event.readable {
            return self.read_all(event.id, take);
        }
        Ok(LinkState::Open)
    }

    /// Closes a link.
    pub fn close(&mut self, id: LinkId) {
        self.table.remove(&id);
        self.unsent.remove(&id);
    }
}
