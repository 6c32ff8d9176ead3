//! Framed links, datagrams and events from threads, around one `stakker` loop per process.

mod clock;
mod datagrams;
mod event_loop;
mod http_conn;
mod http_message;
mod http_port;
mod inbox;
mod ip_client;
mod link;
mod links;
mod listener;

pub use clock::Clock;
pub use datagrams::Datagrams;
pub use event_loop::EventLoop;
pub use http_message::{HttpAnswer, HttpRequest};
pub use http_port::{ConnNo, HttpEvent, HttpPort, HttpReady, PortLimits};
pub use inbox::Inbox;
pub use ip_client::{ConnectGate, gated_ip_client, ip_addr, ip_client};
pub use links::{LinkEvent, LinkId, LinkState, Links};
pub use listener::Listener;
