//! One connection of an HTTP port, with what it holds in memory.

use chervilring_wire::{Micros, Time};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioSource, ReadStatus, TcpStreamBuf};

use super::http_message::{HttpRequest, Input, read_request};

/// How much one read takes from the system, and by how much the buffer of a connection grows, in
/// bytes.
const READ_CHUNK: usize = 16 << 10;

/// How many bytes the system may hold in each direction of a connection that is not read.
pub(super) const SOCKET_BUFFER: usize = 16 << 10;

/// How long a connection may stand with half a request, or while its answer is not taken.
const HALF_TIME: Micros = Micros::from_secs(10);

/// How long a request may take from its first byte to its last, and an answer until it is taken.
const TRANSFER_TIME: Micros = Micros::from_secs(30);

/// How long a connection may stand without any request.
const IDLE_TIME: Micros = Micros::from_secs(120);

/// A connection.
pub(super) struct Conn {
    pub(super) tcp: TcpStreamBuf,
    /// Whether a request was handed out and is not answered.
    pub(super) open: bool,
    /// Whether it is to be closed once all is sent.
    pub(super) closing: bool,
    /// When its last request was answered, if one was.
    pub(super) served: Option<Time>,
    /// Whether bytes were left unread because enough wait here.
    paused: bool,
    /// The input that is needed before there can be a whole request, in bytes.
    needed: usize,
    /// When something last came in or was answered.
    pub(super) active: Time,
    /// Since when its buffers hold what they hold: the first byte of a request, or an answer.
    pub(super) since: Option<Time>,
    /// What its buffers took when that was last counted, in bytes.
    pub(super) held: usize,
}

impl Conn {
    pub(super) fn new(now: Time, source: MioSource<TcpStream>) -> Self {
        let mut tcp = TcpStreamBuf::new();
        tcp.set_nodelay(true);
        tcp.init(source);
        Self {
            tcp,
            open: false,
            closing: false,
            served: None,
            paused: false,
            needed: 0,
            active: now,
            since: None,
            held: 0,
        }
    }

    /// Reads a piece of what has come in; `None` once enough waits here, which stays with the system.
    pub(super) fn read(&mut self, now: Time, limit: usize) -> Option<ReadStatus> {
        self.paused = self.waiting() > limit;
        if self.paused {
            // A request that needs more than is read is refused.
            self.needed = 0;
            return None;
        }
        self.grow();
        let status = self.tcp.read(READ_CHUNK);
        if matches!(status, ReadStatus::NewData) {
            self.active = now;
        }
        Some(status)
    }

    /// Takes the next request out of what has come in, if it is whole and may be handed out: the one
    /// before is answered, and its answer was taken.
    ///
    /// # Errors
    ///
    /// Returns the status by which the request is refused.
    pub(super) fn take_request(&mut self, body: usize) -> Result<Option<HttpRequest>, u16> {
        let is_busy = self.open || self.closing || !self.tcp.out.is_empty();
        if is_busy || self.waiting() == 0 || self.waiting() < self.needed {
            return Ok(None);
        }
        let input = &self.tcp.inp[self.tcp.rd..self.tcp.wr];
        match read_request(input, body)? {
            Input::Partial(needed) => {
                self.needed = needed;
                Ok(None)
            }
            Input::Whole(request, used) => {
                self.tcp.rd += used;
                self.needed = 0;
                // What is left belongs to the next request.
                self.since = None;
                Ok(Some(request))
            }
        }
    }

    /// Returns whether something has come in that belongs to no request that was handed out.
    pub(super) fn has_more(&self) -> bool {
        self.paused || self.waiting() > 0
    }

    /// Returns whether reading is to go on, as there is room again for what was left unread.
    pub(super) fn may_resume(&self, limit: usize) -> bool {
        self.paused && self.waiting() <= limit
    }

    /// Gives back buffers that hold nothing and returns what the others take, in bytes.
    pub(super) fn count(&mut self, now: Time) -> usize {
        if self.waiting() == 0 {
            self.tcp.inp = Vec::new();
            (self.tcp.rd, self.tcp.wr) = (0, 0);
        }
        if self.tcp.out.is_empty() {
            self.tcp.out = Vec::new();
        }
        let unread = if self.paused { SOCKET_BUFFER } else { 0 };
        self.held = self.tcp.inp.len() + self.tcp.out.capacity() + unread;
        if self.held == 0 {
            self.since = None;
        } else {
            self.since.get_or_insert(now);
        }
        self.held
    }

    /// Returns whether it has stood for too long.
    pub(super) fn is_stale(&self, now: Time) -> bool {
        let limit = if self.held > 0 { HALF_TIME } else { IDLE_TIME };
        let is_slow = self
            .since
            .is_some_and(|s| s.duration_until(now) > TRANSFER_TIME);
        !self.open && (is_slow || now.duration_since(self.active) > limit)
    }

    /// Returns how many bytes have come in and belong to no request that was handed out.
    fn waiting(&self) -> usize {
        self.tcp.wr - self.tcp.rd
    }

    /// Makes room for a piece. The buffer grows by pieces, as doubling it would hold twice as much as
    /// has come in.
    fn grow(&mut self) {
        if self.tcp.rd > 0 {
            self.tcp.inp.copy_within(self.tcp.rd..self.tcp.wr, 0);
            self.tcp.wr -= self.tcp.rd;
            self.tcp.rd = 0;
        }
        let needed = self.tcp.wr + READ_CHUNK;
        if self.tcp.inp.len() < needed {
            self.tcp.inp.reserve_exact(needed - self.tcp.inp.len());
            self.tcp.inp.resize(needed, 0);
        }
    }
}
