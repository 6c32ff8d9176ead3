//! The UDP socket of a process.

use std::io;
use std::net::SocketAddr;

use chervilring_wire::codec::{self, CodecError, MAX_DATAGRAM};
use serde::Serialize;
use serde::de::DeserializeOwned;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::UdpSocket;
use stakker_mio::{MioPoll, Ready, UdpServerQueue};

use super::links::LINK_PRIORITY;

/// How many datagrams may wait to be sent; more are dropped, as the network would.
const MAX_UNSENT: usize = 4096;

/// A UDP socket that carries one message a datagram.
pub struct Datagrams {
    queue: UdpServerQueue,
    buffer: Vec<u8>,
    addr: SocketAddr,
}

impl Datagrams {
    /// Binds the socket; `ready` is called when it can be read or written.
    ///
    /// # Errors
    ///
    /// Returns the system's error, as when the port is taken.
    pub fn bind(poll: &MioPoll, addr: SocketAddr, ready: Fwd<Ready>) -> io::Result<Self> {
        let socket = UdpSocket::bind(addr)?;
        let addr = socket.local_addr()?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = poll.add(socket, interest, LINK_PRIORITY, ready)?;
        let mut queue = UdpServerQueue::new();
        queue.init(source);
        Ok(Self {
            queue,
            buffer: vec![0; MAX_DATAGRAM + 1],
            addr,
        })
    }

    /// Returns the address with the port that the system chose.
    pub fn local_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Queues a message for an address; [`Datagrams::flush`] sends it.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError::TooLong`] when it does not fit into a datagram.
    pub fn send<T: Serialize>(&mut self, to: SocketAddr, message: &T) -> Result<(), CodecError> {
        let packet = codec::write_datagram(message)?;
        if self.queue.out.len() < MAX_UNSENT {
            self.queue.push(to, packet);
        }
        Ok(())
    }

    /// Sends what is queued. A datagram that cannot be sent is lost, as any datagram may be.
    pub fn flush(&mut self) {
        while !self.queue.out.is_empty() {
            if self.queue.flush().is_ok() {
                return;
            }
        }
    }

    /// Reads the next datagram: its sender and the message, or why it was not understood.
    ///
    /// It must be called until it returns `None`, or no further readiness is reported.
    pub fn receive<T: DeserializeOwned>(&mut self) -> Option<(SocketAddr, Result<T, CodecError>)> {
        loop {
            match self.queue.read(&mut self.buffer) {
                Ok(Some((from, bytes))) => return Some((from, codec::read_datagram(bytes))),
                // An earlier datagram was answered by "port unreachable"; others may wait.
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
                Ok(None) | Err(_) => return None,
            }
        }
    }
}
