//! One TCP connection that carries frames.

use chervilring_wire::codec::{self, CodecError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioSource, ReadStatus, TcpStreamBuf};

use super::links::LinkState;

/// How much one read takes from the system, in bytes. Each link keeps a buffer of this size.
const READ_CHUNK: usize = 8 << 10;

/// How much is read before the frames are handed on, in bytes.
const READ_BATCH: usize = 1 << 20;

/// The longest first message over an accepted link, in bytes: whoever has not introduced itself is not
/// trusted with memory.
const MAX_FIRST_MESSAGE: usize = 64 << 10;

/// How much may wait to be sent before the peer counts as stuck, in bytes.
const MAX_UNSENT: usize = 256 << 20;

/// A TCP connection with its buffers.
pub(super) struct Link {
    tcp: TcpStreamBuf,
    /// Whether its peer has sent a whole message, or need not introduce itself.
    pub(super) introduced: bool,
}

impl Link {
    /// Creates a link; `introduced` says whether its peer may begin with a message of any length.
    pub(super) fn new(stream: MioSource<TcpStream>, introduced: bool) -> Self {
        let mut tcp = TcpStreamBuf::new();
        tcp.set_nodelay(true);
        tcp.init(stream);
        Self { tcp, introduced }
    }

    /// Appends a frame to what is to be sent.
    pub(super) fn push<T: Serialize>(&mut self, message: &T) -> Result<(), CodecError> {
        codec::write_frame(&mut self.tcp.out, message)
    }

    /// Sends as much as the system takes.
    pub(super) fn flush(&mut self) -> LinkState {
        let sent = self.tcp.flush();
        if sent.is_err() || self.tcp.out.len() > MAX_UNSENT {
            return LinkState::Closed;
        }
        LinkState::Open
    }

    /// Reads a batch of bytes.
    pub(super) fn fill(&mut self) -> LinkState {
        let mut total = 0;
        loop {
            let before = self.tcp.wr - self.tcp.rd;
            match self.tcp.read(READ_CHUNK) {
                ReadStatus::NewData => total += self.tcp.wr - self.tcp.rd - before,
                ReadStatus::WouldBlock => return LinkState::Open,
                ReadStatus::EndOfStream | ReadStatus::Error(_) => return LinkState::Closed,
            }
            if total >= READ_BATCH {
                return LinkState::More;
            }
        }
    }

    /// Takes the next whole frame.
    pub(super) fn receive<T: DeserializeOwned>(&mut self) -> Result<Option<T>, CodecError> {
        let input = &self.tcp.inp[self.tcp.rd..self.tcp.wr];
        let announced = codec::payload_len(input)?.unwrap_or(0);
        if !self.introduced && announced > MAX_FIRST_MESSAGE {
            return Err(CodecError::TooLong(announced));
        }
        let Some((message, used)) = codec::read_frame(input)? else {
            return Ok(None);
        };
        self.introduced = true;
        self.tcp.rd += used;
        Ok(Some(message))
    }
}
