//! Framed links, datagrams and events from threads, around one `stakker` loop per process.

mod clock;
mod datagrams;
mod event_loop;
mod inbox;
mod link;
mod links;
mod listener;

pub use clock::Clock;
pub use datagrams::Datagrams;
pub use event_loop::EventLoop;
pub use inbox::Inbox;
pub use links::{LinkEvent, LinkId, LinkState, Links};
pub use listener::Listener;
