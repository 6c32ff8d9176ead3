//! Bytes that are not HTTP, or nearly.

use std::net::{Shutdown, SocketAddr};
use std::panic;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};

use quickcheck::{Gen, QuickCheck};

use crate::client::Client;
use crate::fixture::Fixture;

static ADDR: OnceLock<SocketAddr> = OnceLock::new();
static PANICS: AtomicUsize = AtomicUsize::new(0);

const SEED: u64 = 7;

/// Requests that are then bent.
const WHOLE: [&str; 3] = [
    "POST /v1/services/parts/requests HTTP/1.1\r\nContent-Length: 5\r\nPrefer: wait=1\r\n\r\nwheel",
    "PUT /v1/jobs/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{\"s\r\n0\r\n\r\n",
    "GET /v1/jobs/x?y HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n",
];

/// Throws a bent request, or noise, at the server.
#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn throw(which: usize, edits: Vec<(usize, u8)>, noise: Vec<u8>) -> bool {
    let mut bytes = WHOLE[which % WHOLE.len()].as_bytes().to_vec();
    for (place, byte) in &edits {
        let place = place % bytes.len();
        bytes[place] = *byte;
    }
    if edits.is_empty() {
        bytes = noise;
    }
    let mut client = Client::connect(*ADDR.get().unwrap());
    client.send(&bytes);
    // An error means that the server closed the connection first.
    let _ = client.stream.get_mut().shutdown(Shutdown::Write);
    PANICS.load(Ordering::SeqCst) == 0
}

#[test]
fn garbage_neither_panics_nor_stops_the_server() {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        PANICS.fetch_add(1, Ordering::SeqCst);
        print(info);
    }));
    let fixture = Fixture::start();
    ADDR.set(fixture.api.addr().unwrap()).unwrap();
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, SEED))
        .tests(1_000)
        .quickcheck(throw as fn(usize, Vec<(usize, u8)>, Vec<u8>) -> bool);
    fixture.assert_alive();
    let text = fixture.metrics.text();
    assert!(text.contains("chervilring_http_requests_total"), "{text}");
    assert_eq!(PANICS.load(Ordering::SeqCst), 0);
}
