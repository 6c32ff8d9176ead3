//! A proxy in front of a planner's port for links, which stands for the network.

use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{LINKS, PROXY};

/// How many pieces went through proxies, each at least a packet.
pub static PIECES: AtomicU64 = AtomicU64::new(0);

/// A proxy; what a planner sends to one of its runners can be held up.
#[derive(Clone)]
pub struct Proxy {
    /// The name of that runner, which its first message holds.
    runner: Arc<Mutex<String>>,
    /// Bytes towards it wait until then.
    held: Arc<Mutex<Option<Instant>>>,
}

impl Proxy {
    pub fn new() -> Self {
        Self {
            runner: Arc::default(),
            held: Arc::default(),
        }
    }

    pub fn start(&self, ip: IpAddr) -> io::Result<()> {
        let listener = TcpListener::bind(SocketAddr::new(ip, PROXY))?;
        let this = self.clone();
        thread::spawn(move || {
            for runner in listener.incoming().flatten() {
                if let Ok(planner) = TcpStream::connect(SocketAddr::new(ip, LINKS)) {
                    this.join(&runner, &planner);
                }
            }
        });
        Ok(())
    }

    /// Says what the runner is called whose link can be held up; its links from then on count.
    pub fn watch(&self, runner: &str) {
        runner.clone_into(&mut self.runner.lock().unwrap());
    }

    /// Holds up what the planner sends to the runner for a time.
    pub fn hold(&self, span: Duration) {
        *self.held.lock().unwrap() = Some(Instant::now() + span);
    }

    fn join(&self, runner: &TcpStream, planner: &TcpStream) {
        let is_watched = Arc::new(AtomicBool::new(false));
        for (from, to, to_runner) in [(runner, planner, false), (planner, runner, true)] {
            let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            drop(to.set_nodelay(true));
            let (this, is_watched) = (self.clone(), Arc::clone(&is_watched));
            thread::spawn(move || {
                let mut chunk = [0; 16 << 10];
                while let Ok(count @ 1..) = from.read(&mut chunk) {
                    PIECES.fetch_add(1, Ordering::Relaxed);
                    if to_runner {
                        this.wait(&is_watched);
                    } else if this.is_named(&chunk[..count]) {
                        is_watched.store(true, Ordering::SeqCst);
                    }
                    if to.write_all(&chunk[..count]).is_err() {
                        break;
                    }
                }
                drop(from.shutdown(Shutdown::Both));
                drop(to.shutdown(Shutdown::Both));
            });
        }
    }

    fn is_named(&self, bytes: &[u8]) -> bool {
        let name = self.runner.lock().unwrap();
        let mut windows = bytes.windows(name.len().max(1));
        !name.is_empty() && windows.any(|w| w == name.as_bytes())
    }

    fn wait(&self, is_watched: &AtomicBool) {
        let until = *self.held.lock().unwrap();
        if let Some(until) = until.filter(|_| is_watched.load(Ordering::SeqCst)) {
            thread::sleep(until.saturating_duration_since(Instant::now()));
        }
    }
}
