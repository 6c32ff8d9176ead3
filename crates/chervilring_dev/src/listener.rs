//! Listening for the stand-ins' HTTP.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;

/// Listens so that answers are sent at once.
///
/// The connections inherit this from the listener. Without it an answer of more than one segment
/// waits some 40 ms for the acknowledgement of its first.
pub(crate) fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(listen)?;
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_nodelay(true)?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}
