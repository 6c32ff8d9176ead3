//! What threads tell the loop of an entry.

use chervilring_core::membership::StoreEvent;
use chervilring_wire::ConfigBlob;

use crate::http::CallerEvent;

/// An event from a thread.
#[derive(Debug)]
pub(super) enum Event {
    /// A caller or operator asks something.
    Caller(CallerEvent),
    /// The store answered about the ring.
    Store(StoreEvent),
    /// The store has a configuration.
    Config(ConfigBlob),
    /// The process is asked to stop.
    Stop,
    /// The callers' interface is closed; that many callers were left without an answer.
    Closed(usize),
}
