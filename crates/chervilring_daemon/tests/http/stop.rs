//! Planned stops.

use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::fixture::{BOUND, Fixture, echo};

const PATH: &str = "/v1/services/parts/requests";

#[test]
fn stop_answers_those_in_flight_and_refuses_new_ones() {
    let fixture = Fixture::start();
    fixture.api.set_ready(true);
    let mut early = fixture.connect();
    early.request("POST", PATH, "", b"early");
    let (ticket, submission) = fixture.submission();
    let mut kept = fixture.connect();
    assert_eq!(kept.call("GET", "/readyz", "", b"").status, 200);

    let api = fixture.api.clone();
    let stop = thread::spawn(move || api.close(Instant::now() + BOUND));
    let until = Instant::now() + BOUND;
    while kept.call("GET", "/readyz", "", b"").status == 200 {
        assert!(Instant::now() < until);
    }
    for client in [&mut kept, &mut fixture.connect()] {
        let answer = client.call("POST", PATH, "", b"late");
        assert_eq!(answer.status, 503);
        assert_eq!(answer.json()["verdict"], "not-run");
        assert_eq!(answer.header("Retry-After"), Some("1"));
        assert_eq!(answer.header("Connection"), Some("close"));
    }
    assert!(!stop.is_finished());
    let addr = fixture.api.addr().unwrap();
    fixture.api.reply(ticket, echo(&submission));
    assert_eq!(early.answer().unwrap().body, b"early");
    assert_eq!(stop.join().unwrap(), 0);
    while TcpStream::connect(addr).is_ok() {
        assert!(Instant::now() < until, "the port is still open");
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn stop_ends_at_its_bound() {
    let fixture = Fixture::start();
    let mut client = fixture.connect();
    client.request("POST", PATH, "", b"never answered");
    let _ = fixture.submission();
    let until = Instant::now() + Duration::from_millis(50);
    assert_eq!(fixture.api.close(until), 1);
}

#[test]
fn kept_connections_are_refused_after_the_close_and_the_port_is_free() {
    let fixture = Fixture::start();
    let addr = fixture.api.addr().unwrap();
    let mut kept = fixture.connect();
    assert_eq!(kept.call("GET", "/healthz", "", b"").status, 200);
    assert_eq!(fixture.api.close(Instant::now() + BOUND), 0);
    let _successor = TcpListener::bind(addr).unwrap();
    let answer = kept.call("GET", "/v1/status", "", b"");
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("Connection"), Some("close"));
}
