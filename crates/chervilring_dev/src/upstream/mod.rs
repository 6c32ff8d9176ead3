//! A stand-in for an upstream: it runs tasks by sleeping, announces itself to its agent, counts
//! what it starts and shows faults on demand.
//!
//! Tasks come in by `POST`. `GET /counts` tells what was started; `PUT`, `GET` and
//! `DELETE /faults` change the [`Faults`]; `DELETE /` leaves the agent; `DELETE /process` dies.

mod announcer;
mod counts;
mod faults;
mod gate;
mod server;
mod settings;
mod task;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use chervilring_daemon::http::Kicker;
use eyre::{WrapErr, eyre};
use tiny_http::Server;

pub use counts::Counts;
pub use faults::Faults;
pub use settings::UpstreamSettings;

use announcer::Announcer;
use gate::Gate;
use server::Shared;

use crate::listener::bind;

/// How often the announcing thread looks for what it is told.
const LOOK: Duration = Duration::from_millis(20);

/// How long after a failed announcement the next one is tried.
const RETRY: Duration = Duration::from_millis(200);

/// A running stand-in; it ends when it is dropped.
#[derive(Debug)]
pub struct Upstream {
    shared: Arc<Shared>,
    gate: Gate,
}

impl Upstream {
    /// Starts a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when its address cannot be listened on.
    pub fn start(settings: &UpstreamSettings) -> eyre::Result<Self> {
        let inner = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = bind(inner)?;
        let inner = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(|e| eyre!("{e}"))?;
        let gate = Gate::start(settings.addr, inner)
            .wrap_err_with(|| format!("cannot listen on {}", settings.addr))?;
        let shared = Arc::new(Shared {
            name: settings.name.clone(),
            speed: settings.speed,
            ..Shared::default()
        });
        let (own, own_gate) = (Arc::clone(&shared), gate.clone());
        let kicker = Kicker::start(inner)?;
        thread::Builder::new()
            .name("upstream".into())
            .spawn(move || server::serve(&server, &own, &own_gate, &kicker))?;
        let this = Self { shared, gate };
        this.start_announcing(settings)?;
        Ok(this)
    }

    /// Returns the base URL at which it is called.
    pub fn url(&self) -> String {
        format!("http://{}", self.gate.addr())
    }

    /// Returns what it started.
    pub fn counts(&self) -> Counts {
        self.shared.counter.get()
    }

    /// Puts faults in force in place of those before.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.faults.set(faults);
    }

    /// Tells the agent that it takes no more work; it goes on with what it has.
    pub fn leave(&self) {
        self.shared.left.store(true, Ordering::Relaxed);
    }

    /// Returns whether the agent has been told that it takes no more work, or cannot be told.
    pub fn has_left(&self) -> bool {
        self.shared.gone.load(Ordering::Relaxed)
    }

    /// Cuts all connections and takes no more.
    pub fn die(&self) {
        self.shared.ended.store(true, Ordering::Relaxed);
        self.gate.close();
    }

    /// Returns whether it has ended.
    pub fn has_ended(&self) -> bool {
        self.shared.ended.load(Ordering::Relaxed)
    }

    fn start_announcing(&self, settings: &UpstreamSettings) -> eyre::Result<()> {
        let Some(announcer) = Announcer::new(settings, &self.url()) else {
            self.shared.gone.store(true, Ordering::Relaxed);
            return Ok(());
        };
        let shared = Arc::clone(&self.shared);
        let renewal = settings.lease / 3;
        let thread = thread::Builder::new().name("announce".into());
        thread.spawn(move || announce(&announcer, &shared, renewal))?;
        Ok(())
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.die();
    }
}

/// Announces and renews until the stand-in has left or ended.
fn announce(announcer: &Announcer, shared: &Shared, renewal: Duration) {
    let mut due = Instant::now();
    while !shared.ended.load(Ordering::Relaxed) {
        if shared.left.load(Ordering::Relaxed) {
            // An agent that is not there, or is stopping, sends no work either.
            let _ = announcer.leave();
            shared.gone.store(true, Ordering::Relaxed);
            return;
        }
        if Instant::now() >= due && !shared.faults.get().mute {
            let done = announcer.announce().is_ok();
            due = Instant::now() + if done { renewal } else { RETRY.min(renewal) };
        }
        thread::sleep(LOOK);
    }
}
