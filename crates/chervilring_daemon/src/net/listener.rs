//! The listening TCP socket.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;

use socket2::SockRef;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, Ready};

use super::links::LINK_PRIORITY;

/// A listening TCP socket.
pub struct Listener {
    socket: MioSource<TcpListener>,
    /// Whether the system had no room for a connection that waits.
    failed: Cell<bool>,
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
        Ok(Self {
            socket,
            failed: Cell::new(false),
        })
    }

    /// Sets how many bytes the system holds of an accepted connection that is not read, and of one
    /// whose peer does not read.
    pub fn set_buffers(&self, bytes: usize) {
        let socket = SockRef::from(&*self.socket);
        // A system that refuses keeps its own sizes, which work too.
        drop(socket.set_recv_buffer_size(bytes));
        drop(socket.set_send_buffer_size(bytes));
    }

    /// Returns whether connections may wait that the system had no room for, and forgets it.
    pub fn take_failed(&self) -> bool {
        self.failed.take()
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
                // The peer has gone already: the next connection is tried.
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // A limit of the system is reached; nothing is told once there is room again.
                Err(_) => {
                    self.failed.set(true);
                    return None;
                }
            }
        }
    }
}
