//! Input that is wrong.

use std::net::UdpSocket;

use chervilring_wire::codec::MAGIC;
use chervilring_wire::{Micros, TaskOutcome};

use crate::fake_entry::{FakeEntry, until};
use crate::worker::{Worker, program};

const LONG: Micros = Micros::from_secs(25);

#[test]
fn garbage_costs_a_link_and_no_more() {
    let mut worker = Worker::start(8);
    let long = [&MAGIC[..], &[1, 255, 255, 255, 255]].concat();
    for garbage in [b"GET / HTTP/1.1\r\n\r\n".to_vec(), vec![0; 100], long] {
        worker.entry.write_raw(&garbage);
        worker.entry.accept();
    }
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket
        .send_to(b"garbage", worker.entry.addr())
        .expect("sent");
    let key = worker.entry.start(1, "{}", LONG);
    assert!(matches!(worker.entry.answer(key), TaskOutcome::Done(_)));
}

#[test]
fn a_wrong_announcement_is_refused_with_the_field() {
    let worker = Worker::start(8);
    let url = format!("{}/v1/upstream", worker.agent.url());
    let cases = [
        ("{", "EOF"),
        (r#"{"url":"ftp://x","services":["a"]}"#, "url"),
        (r#"{"url":"http://somewhere:1","services":["a"]}"#, "url"),
        (r#"{"url":"http://127.0.0.1:1","services":[]}"#, "services"),
        (
            r#"{"url":"http://127.0.0.1:1","services":["a/b"]}"#,
            "services",
        ),
        (
            r#"{"url":"http://127.0.0.1:1","services":["a"],"slots":0}"#,
            "slots",
        ),
        (
            r#"{"url":"http://127.0.0.1:1","services":["a"],"lease":"3"}"#,
            "is not a duration",
        ),
        (
            r#"{"url":"http://127.0.0.1:1","services":["a"],"labels":["x"]}"#,
            "labels",
        ),
        (
            r#"{"url":"http://127.0.0.1:1","services":["a"],"slot":1}"#,
            "slot",
        ),
    ];
    for (body, named) in cases {
        let request = ureq::put(&url).config().http_status_as_error(false).build();
        let mut answer = request.send(body).expect("an answer");
        let text = answer.body_mut().read_to_string().expect("text");
        assert_eq!(answer.status().as_u16(), 400, "{body}");
        assert!(text.contains(named), "{body}: {text}");
    }
    assert_eq!(worker.status()["state"], "ready");
}

#[test]
fn wrong_settings_are_named() {
    let entry = FakeEntry::new();
    let taken = entry.addr().to_string();
    let cases = [
        ("http", taken.as_str(), "HTTP"),
        ("http", "localhost:1", "http"),
        ("entries", "somewhere", "entries"),
        ("labels", "rack", "labels"),
        ("window", "10", "window"),
    ];
    for (flag, value, named) in cases {
        let run = program(&entry).flag(flag, value).run();
        let (code, _, text) = run.expect("it ends by itself");
        assert!(
            code != 0 && text.contains(named),
            "--{flag} {value}: {code} {text}"
        );
    }
}

#[test]
fn an_agent_without_entries_waits_for_them() {
    let entry = FakeEntry::new();
    let addr = entry.addr();
    drop(entry);
    let binary = std::path::Path::new(env!("CARGO_BIN_EXE_chervilring_dev"));
    let mut agent = chervilring_dev::process::Program::shipped(binary, "w1", "agent")
        .flag("name", "w1")
        .flag("domain", "norte")
        .flag("entries", addr)
        .start()
        .expect("it starts");
    let url = format!("{}/readyz", agent.url());
    let mut status = 0;
    until("it says that it is not ready", || {
        let request = ureq::get(&url).config().http_status_as_error(false).build();
        status = request.call().map_or(0, |a| a.status().as_u16());
        status != 0
    });
    assert_eq!(status, 503);
    assert!(agent.is_running());
}
