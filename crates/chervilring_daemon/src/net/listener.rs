//! The listening TCP socket.

use std::io;
use std::net::SocketAddr;

use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, Ready};

use super::links::LINK_PRIORITY;

/// A listening TCP socket.
pub struct Listener {
    socket: MioSource<TcpListener>,
}

impl Listener {
    /// Listens on an address; `ready` is called when connections wait.
    ///
    /// # Errors
    ///
    /// Returns the system's error, as when the port is taken.
    pub fn bind(poll: &MioPoll, addr: SocketAddr, ready: Fwd<Ready>) -> io::Result<Self> {
        let socket = TcpListener::bind(addr)?;
        let socket = poll.add(socket, Interest::READABLE, LINK_PRIORITY, ready)?;
        Ok(Self { socket })
    }

    /// Returns the address with the port that the system chose.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts the next waiting connection, if there is one.
    pub fn accept(&self) -> Option<TcpStream> {
        loop {
            match self.socket.accept() {
                Ok((stream, _)) => return Some(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
                // The peer has gone already, or a limit of the system is reached: the next
                // connection is tried, and the peer dials again.
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }
}
