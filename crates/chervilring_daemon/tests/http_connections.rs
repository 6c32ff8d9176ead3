//! Connections that come in at the same time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use chervilring_daemon::http::{Answer, Server, ServerSettings};
use chervilring_daemon::log;
use chervilring_daemon::metrics::Metrics;

/// How long a connection may wait for its first answer: far below the time after which an idle
/// connection is closed.
const BOUND: Duration = Duration::from_secs(5);

const CONNECTIONS: usize = 60;
const ROUNDS: usize = 5;

fn start_server() -> Server {
    let metrics = Metrics::new().expect("metrics");
    let settings = ServerSettings::new(SocketAddr::from(([127, 0, 0, 1], 0)), 1 << 20);
    let answer = |call: chervilring_daemon::http::Call| call.answer(Answer::json(200, "{}"));
    Server::start(settings, &metrics, log::silent(), answer).expect("a free port")
}

/// Sends a request and keeps the connection open.
fn ask(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(BOUND))?;
    stream.write_all(b"GET /v1/any HTTP/1.1\r\nHost: test\r\n\r\n")?;
    let mut status = [0; 12];
    stream.read_exact(&mut status)?;
    assert_eq!(&status, b"HTTP/1.1 200");
    Ok(stream)
}

#[test]
fn kept_connections_do_not_hold_up_those_that_came_with_them() {
    let server = start_server();
    let addr = server.addr();
    for _ in 0..ROUNDS {
        let together = Arc::new(Barrier::new(CONNECTIONS));
        let callers: Vec<_> = (0..CONNECTIONS)
            .map(|_| {
                let together = Arc::clone(&together);
                thread::spawn(move || {
                    together.wait();
                    ask(addr)
                })
            })
            .collect();
        let kept: Vec<_> = callers
            .into_iter()
            .map(|c| c.join().expect("no panic"))
            .collect();
        let stuck = kept.iter().filter(|stream| stream.is_err()).count();
        assert_eq!(stuck, 0, "of {CONNECTIONS} connections");
    }
}
