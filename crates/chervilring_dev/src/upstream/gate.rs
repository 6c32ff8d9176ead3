//! The port in front of the stand-in, where connections can be cut.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};

/// How much is copied at once, in bytes.
const CHUNK: usize = 64 << 10;

/// The connections that go through, by the address that the server behind sees.
#[derive(Debug, Clone)]
pub(super) struct Gate {
    addr: SocketAddr,
    open: Arc<Mutex<Table>>,
}

#[derive(Debug, Default)]
struct Table {
    streams: HashMap<SocketAddr, TcpStream>,
    closed: bool,
    /// The thread that takes connections.
    listening: Option<JoinHandle<()>>,
}

impl Gate {
    /// Listens on `addr` and passes connections on to `server`.
    pub(super) fn start(addr: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let gate = Self {
            addr: listener.local_addr()?,
            open: Arc::default(),
        };
        let own = gate.clone();
        let thread = thread::Builder::new().name("gate".into());
        let listening = thread.spawn(move || {
            for stream in listener.incoming() {
                if own.lock().closed {
                    return;
                }
                // A connection that cannot be passed on is closed by being dropped.
                let _ = stream.and_then(|s| own.pass(s, server));
            }
        })?;
        gate.lock().listening = Some(listening);
        Ok(gate)
    }

    /// Returns the address with the port that the system chose.
    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Cuts the connection that the server behind sees as coming from `peer`.
    pub(super) fn cut(&self, peer: SocketAddr) {
        if let Some(stream) = self.lock().streams.remove(&peer) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Cuts all connections and takes no more: when it returns the port is closed.
    pub(super) fn close(&self) {
        let mut table = self.lock();
        table.closed = true;
        for (_, stream) in table.streams.drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let listening = table.listening.take();
        drop(table);
        // Wakes the listening thread, which ends and closes the port.
        let _ = TcpStream::connect(self.addr);
        if let Some(listening) = listening {
            // Only a panic of that thread is an error, and it has closed the port as well.
            let _ = listening.join();
        }
    }

    fn pass(&self, outer: TcpStream, server: SocketAddr) -> io::Result<()> {
        let inner = TcpStream::connect(server)?;
        outer.set_nodelay(true)?;
        inner.set_nodelay(true)?;
        let peer = inner.local_addr()?;
        self.lock().streams.insert(peer, outer.try_clone()?);
        let (from, to) = (outer.try_clone()?, inner.try_clone()?);
        thread::Builder::new().spawn(move || copy(from, to))?;
        let gate = self.clone();
        thread::Builder::new().spawn(move || {
            copy(inner, outer);
            gate.lock().streams.remove(&peer);
        })?;
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Copies bytes until either side ends, then ends both.
fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
