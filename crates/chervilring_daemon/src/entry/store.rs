//! The threads that wait for the platform's store.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use chervilring_core::config::Config;
use chervilring_core::membership::{StoreCall, StoreEvent};
use chervilring_store::{CatchUp, ConfigStore, RingStore, StoreError};
use chervilring_wire::{ConfigBlob, Revision};
use slog::{Logger, info, warn};

use super::event::Event;
use crate::net::{Clock, Inbox};

/// The pause before the configuration is read again from a store that did not answer.
const PAUSE: Duration = Duration::from_millis(250);

/// How long a planned stop waits for the lease to be given back.
const RELEASE: Duration = Duration::from_secs(1);

/// The threads that wait for the store, so that the loop never does.
pub(super) struct StoreThreads {
    calls: Option<Sender<StoreCall>>,
    done: Receiver<()>,
}

impl StoreThreads {
    /// Starts one thread for the ring and one for the configuration.
    pub(super) fn start(
        ring: RingStore,
        config: ConfigStore,
        clock: Clock,
        inbox: &Inbox<Event>,
        log: &Logger,
    ) -> std::io::Result<Self> {
        let (calls, queue) = channel();
        let (finished, done) = channel();
        let (to, lines) = (inbox.clone(), log.clone());
        let catch_up = config.catch_up();
        thread::Builder::new()
            .name("store-ring".into())
            .spawn(move || {
                serve_ring(ring, catch_up, clock, &queue, &to, &lines);
                // Nobody waits any more when the process ends without a planned stop.
                let _ = finished.send(());
            })?;
        let (to, lines) = (inbox.clone(), log.clone());
        thread::Builder::new()
            .name("store-config".into())
            .spawn(move || watch_config(&config, &to, &lines))?;
        Ok(Self {
            calls: Some(calls),
            done,
        })
    }

    /// Hands a call to the ring's thread.
    pub(super) fn call(&self, call: StoreCall) {
        if let Some(calls) = &self.calls {
            // The thread ends only after this sender is dropped.
            let _ = calls.send(call);
        }
    }

    /// Waits, for a bounded time, until the calls handed over are done.
    pub(super) fn finish(&mut self) {
        self.calls = None;
        // A store that does not answer lets the lease lapse instead.
        let _ = self.done.recv_timeout(RELEASE);
    }
}

/// Carries out calls until no more can come.
fn serve_ring(
    mut store: RingStore,
    mut catch_up: CatchUp,
    clock: Clock,
    queue: &Receiver<StoreCall>,
    inbox: &Inbox<Event>,
    log: &Logger,
) {
    let mut reachable = true;
    for call in queue {
        let mut head = None;
        // An entry that never had a lease gives none back: that tells nothing of the store.
        let asks = call != StoreCall::Release;
        let result = carry_out(&mut store, clock, call, &mut head);
        if asks && result.is_ok() != reachable {
            reachable = result.is_ok();
            log_reachable(log, result.as_ref().err());
        }
        inbox.push(Event::Store(result.unwrap_or(StoreEvent::Failed)));
        // What a dead watch leaves out; where the store fails, the next renewal tries again.
        if let Some(Ok(Some(config))) = head.map(|head| catch_up.saw(head)) {
            inbox.push(Event::Config(blob(&config)));
        }
    }
}

fn log_reachable(log: &Logger, error: Option<&StoreError>) {
    match error {
        None => info!(log, "store answers"),
        Some(error) => warn!(log, "store does not answer"; "error" => %error),
    }
}

fn carry_out(
    store: &mut RingStore,
    clock: Clock,
    call: StoreCall,
    head: &mut Option<Revision>,
) -> Result<StoreEvent, StoreError> {
    match call {
        StoreCall::Renew => {
            let sent = clock.time();
            let found = store.renew()?;
            *head = Some(found.head);
            Ok(StoreEvent::Renewed {
                sent_at: sent,
                lease_held: found.kept,
                ring: found.ring,
                live_entries: found.live,
            })
        }
        StoreCall::Cas {
            base_revision,
            ring,
        } => {
            let result = store.cas_ring(base_revision, &ring)?;
            Ok(StoreEvent::Cas {
                replaced: result.done,
                ring: result.ring,
            })
        }
        StoreCall::Release => {
            store.release()?;
            Ok(StoreEvent::Released)
        }
    }
}

/// Brings each newer configuration to the loop.
fn watch_config(store: &ConfigStore, inbox: &Inbox<Event>, log: &Logger) {
    let first = loop {
        match store.current() {
            Ok(snapshot) => break snapshot.config,
            Err(_) => thread::sleep(PAUSE),
        }
    };
    inbox.push(Event::Config(blob(&first)));
    let mut watch = store.watch(first);
    let mut reachable = true;
    loop {
        match watch.wait() {
            Ok(config) => {
                reachable = true;
                inbox.push(Event::Config(blob(&config)));
            }
            Err(error) => {
                if reachable {
                    warn!(log, "configuration not watched"; "error" => %error);
                }
                reachable = false;
            }
        }
    }
}

fn blob(config: &Arc<Config>) -> ConfigBlob {
    ConfigBlob {
        revision: config.revision,
        document: config.to_json().into(),
    }
}
