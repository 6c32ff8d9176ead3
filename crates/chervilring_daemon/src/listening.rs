//! Tells on standard output where a daemon listens.

use std::io::{self, Write};
use std::net::SocketAddr;

use serde::Serialize;

/// The one line that a daemon prints once it listens.
#[derive(Debug, Serialize)]
struct Line {
    listening: Listening,
}

#[derive(Debug, Serialize)]
struct Listening {
    #[serde(skip_serializing_if = "Option::is_none")]
    http: Option<SocketAddr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    peer: Option<SocketAddr>,
}

/// Prints where the daemon listens, as one line of JSON.
///
/// Whoever starts a daemon with port 0 reads the chosen ports there.
pub fn announce(http: Option<SocketAddr>, peer: Option<SocketAddr>) {
    let line = Line {
        listening: Listening { http, peer },
    };
    let mut out = io::stdout().lock();
    // Nobody may be reading; the daemon serves all the same.
    let _ = serde_json::to_writer(&mut out, &line);
    let _ = out.write_all(b"\n");
    let _ = out.flush();
}
