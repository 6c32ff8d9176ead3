//! Limits on bodies, callers and connections.

use std::time::Duration;

use crate::fixture::{BODY, Fixture, echo};

const PATH: &str = "/v1/services/parts/requests";

#[test]
fn bodies_past_the_limit_are_refused() {
    let fixture = Fixture::start();
    // The second and third would take more memory than there is if they were allocated.
    for length in [BODY as u64 + 1, 99_999_999_999_999, u64::MAX] {
        let mut client = fixture.connect();
        let head = format!("POST {PATH} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
        client.send(head.as_bytes());
        let answer = client.answer().unwrap();
        assert_eq!(answer.status, 413, "{length}");
        assert_eq!(answer.json()["verdict"], "not-run");
        drop(client);
        fixture.assert_alive();
    }
}

#[test]
fn chunked_bodies_are_taken_up_to_the_limit() {
    let fixture = Fixture::start();
    let head = format!("POST {PATH} HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    let mut client = fixture.connect();
    client.send(head.as_bytes());
    client.send(b"5\r\nwheel\r\n0\r\n\r\n");
    fixture.echo();
    assert_eq!(client.answer().unwrap().body, b"wheel");
    client.send(head.as_bytes());
    let chunk = [b"10000\r\n".as_slice(), &vec![b'x'; 0x1_0000], b"\r\n"].concat();
    for _ in 0..=BODY / 0x1_0000 {
        client.send(&chunk);
    }
    assert_eq!(client.answer().unwrap().status, 413);
    // What the client sends on is the rest of that body: it is no request.
    client.request("POST", PATH, "", b"smuggled");
    assert!(fixture.api.waiting() == 0);
    fixture.assert_alive();
}

#[test]
fn slow_clients_hold_up_nobody() {
    let fixture = Fixture::start();
    let mut slow: Vec<_> = (0..100).map(|_| fixture.connect()).collect();
    for client in &mut slow {
        let head = format!("POST {PATH} HTTP/1.1\r\nContent-Length: 5000\r\n\r\nhalf");
        client.send(head.as_bytes());
    }
    let mut client = fixture.connect();
    client.request("POST", PATH, "", &[b'x'; 2_000]);
    fixture.echo();
    assert_eq!(client.answer().unwrap().status, 200);
    // A slow client is served once its body is whole.
    slow[0].send(&[b'x'; 4_996]);
    fixture.echo();
    assert_eq!(slow[0].answer().unwrap().body.len(), 5_000);
}

#[test]
fn too_many_callers_are_refused() {
    let fixture = Fixture::with(Duration::from_mins(1), 2);
    let mut clients: Vec<_> = (0..2).map(|_| fixture.connect()).collect();
    for client in &mut clients {
        client.request("POST", PATH, "", b"x");
    }
    let waiting: Vec<_> = (0..2).map(|_| fixture.submission()).collect();
    let answer = fixture.connect().call("POST", PATH, "", b"x");
    assert_eq!(answer.status, 503);
    assert_eq!(answer.json()["verdict"], "not-run");
    assert_eq!(answer.header("Retry-After"), Some("1"));
    for (ticket, submission) in waiting {
        fixture.api.reply(ticket, echo(&submission));
    }
    for client in &mut clients {
        assert_eq!(client.answer().unwrap().status, 200);
    }
}

#[test]
fn idle_connections_are_closed_and_new_ones_taken() {
    let fixture = Fixture::with(Duration::from_millis(200), 10);
    let mut waiting = fixture.connect();
    waiting.request("POST", PATH, "", b"long");
    let (ticket, submission) = fixture.submission();
    let mut idle = fixture.connect();
    assert_eq!(idle.call("GET", "/healthz", "", b"").status, 200);
    // The server closes it, and by then has also stopped to accept for lack of connections.
    assert!(idle.answer().is_none());
    for _ in 0..3 {
        std::thread::sleep(Duration::from_millis(250));
        fixture.assert_alive();
    }
    // A caller whose answer takes longer than that still gets it.
    fixture.api.reply(ticket, echo(&submission));
    assert_eq!(waiting.answer().unwrap().body, b"long");
}

#[test]
fn paths_and_methods_are_checked() {
    let fixture = Fixture::start();
    let mut client = fixture.connect();
    let cases = [
        ("GET", "/nowhere", "", 404),
        ("GET", PATH, "", 405),
        ("POST", "/v1/jobs/x", "", 405),
        ("POST", "/v1/services/%zz/requests", "", 400),
        ("POST", "/v1/services//requests", "", 400),
        ("GET", "/v1/jobs/x", "Prefer: wait=soon\r\n", 400),
        ("POST", PATH, "Chervilring-Timeout-Ms: 5s\r\n", 400),
        ("POST", PATH, "Chervilring-Idempotent: yes\r\n", 400),
        ("POST", PATH, "Idempotency-Key: a b\r\n", 400),
        ("GET", "/readyz", "", 503),
    ];
    for (method, path, headers, status) in cases {
        let answer = client.call(method, path, headers, b"");
        assert_eq!(answer.status, status, "{method} {path} {headers}");
    }
    fixture.api.set_ready(true);
    assert_eq!(client.call("GET", "/readyz", "", b"").status, 200);
    let metrics = client.call("GET", "/metrics", "", b"");
    let text = String::from_utf8(metrics.body).unwrap();
    assert!(text.contains("chervilring_http_requests_total"), "{text}");
}
