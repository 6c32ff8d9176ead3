//! The operators' commands.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use chervilring::{ExitStatus, run_arguments};
use chervilring_dev::platform::{Down, Faults, Platform};
use serde_json::{Value, json};
use tiny_http::{Response, Server};

use crate::common::{adding, config_store, platform};

fn run(arguments: &[&str]) -> ExitStatus {
    let arguments = arguments.iter().map(|a| (*a).into()).collect();
    run_arguments("chervilring", arguments)
}

/// A file in the directory for temporary files, removed when dropped.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("chervilring-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

fn note(name: &str, id: &str, base: u64, service: &str) -> Scratch {
    Scratch::new(
        name,
        &serde_json::to_string(&adding(id, base, service)).unwrap(),
    )
}

fn submit(platform: &Platform, file: &Scratch, more: &[&str]) -> ExitStatus {
    let url = platform.url();
    let mut arguments = vec![
        "note",
        "submit",
        "--who",
        "ana",
        "--store",
        &url,
        file.path(),
    ];
    arguments.extend(more);
    run(&arguments)
}

#[test]
fn exit_status_tells_what_became_of_a_note() {
    let platform = platform(Faults::default());
    let first = note("first", "n1", 0, "search");
    let second = note("second", "n2", 0, "parts");
    assert_eq!(submit(&platform, &first, &[]), ExitStatus::Ok);
    assert_eq!(
        submit(&platform, &first, &["--output", "json"]),
        ExitStatus::Ok
    );
    assert_eq!(submit(&platform, &second, &[]), ExitStatus::Refused);
    let invalid = Scratch::new("invalid", "{}");
    assert_eq!(submit(&platform, &invalid, &[]), ExitStatus::Usage);

    let third = note("third", "n3", 1, "parts");
    platform.set_faults(Faults {
        lose_percent: 100,
        ..Faults::default()
    });
    // The transaction made again tells that the first one took effect, but no answer ever comes.
    assert_eq!(
        submit(&platform, &third, &["--settle", "1"]),
        ExitStatus::MayHaveRun
    );
    platform.set_faults(Faults {
        down: Down::Refuse,
        ..Faults::default()
    });
    assert_eq!(submit(&platform, &third, &[]), ExitStatus::Unreachable);
    platform.set_faults(Faults::default());
    assert_eq!(submit(&platform, &third, &[]), ExitStatus::Ok);
    assert_eq!(
        config_store(&platform)
            .audit(chervilring_wire::Revision(0))
            .unwrap()
            .len(),
        2
    );
}

#[test]
fn notes_are_checked_shown_and_listed() {
    let platform = platform(Faults::default());
    let url = platform.url();
    let first = note("listed", "n1", 0, "search");
    let run = |words: &[&str]| run(words);
    assert_eq!(run(&["note", "check", first.path()]), ExitStatus::Ok);
    assert_eq!(submit(&platform, &first, &[]), ExitStatus::Ok);
    assert_eq!(
        run(&["note", "check", "--store", &url, first.path()]),
        ExitStatus::Refused
    );
    assert_eq!(run(&["note", "show", "--store", &url]), ExitStatus::Ok);
    assert_eq!(run(&["note", "show", "--store", &url, "1"]), ExitStatus::Ok);
    assert_eq!(
        run(&["note", "show", "--store", &url, "2"]),
        ExitStatus::Refused
    );
    assert_eq!(run(&["note", "list", "--store", &url]), ExitStatus::Ok);
    assert_eq!(
        run(&["audit", "--store", &url, "--output", "json"]),
        ExitStatus::Ok
    );
    assert_eq!(run(&["audit", "--store", "ftp://x"]), ExitStatus::Usage);
    assert_eq!(
        run(&["audit", "--store", "http://127.0.0.1:1"]),
        ExitStatus::Unreachable
    );
}

/// An entry that answers with a status made for each question by its number.
fn entry(status: impl Fn(u64) -> Value + Send + 'static) -> (String, Arc<AtomicU64>) {
    let server = Server::http("127.0.0.1:0").unwrap();
    let addr = server.server_addr().to_string();
    let asked = Arc::new(AtomicU64::new(0));
    let count = Arc::clone(&asked);
    thread::spawn(move || {
        for request in server.incoming_requests() {
            assert_eq!(request.url(), "/v1/status");
            let status = status(count.fetch_add(1, Ordering::Relaxed));
            let _ = request.respond(Response::from_string(status.to_string()));
        }
    });
    (addr, asked)
}

#[test]
fn wait_ends_when_every_process_has_the_revision() {
    let platform = platform(Faults::default());
    let first = note("waited", "n1", 0, "search");
    let (entry, asked) = entry(|n| {
        json!({
            "entry": "e1", "revision": u64::from(n > 0),
            "peers": [{ "entry": "e2", "revision": u64::from(n > 1) }],
            "agents": [{ "agent": "a1", "revision": u64::from(n > 2) }],
        })
    });
    let wait = ["--wait", "--entry", &entry];
    assert_eq!(submit(&platform, &first, &wait), ExitStatus::Ok);
    assert_eq!(asked.load(Ordering::Relaxed), 4);
}

#[test]
fn wait_says_where_a_note_is_not_in_force() {
    let platform = platform(Faults::default());
    let first = note("lagging", "n1", 0, "search");
    let (entry, _) = entry(
        |_| json!({ "entry": "e1", "revision": 1, "agents": [{ "agent": "a1", "revision": 0 }] }),
    );
    let wait = ["--wait", "--wait-secs", "1", "--entry", &entry];
    assert_eq!(submit(&platform, &first, &wait), ExitStatus::MayHaveRun);
    let wait = ["--wait", "--wait-secs", "1", "--entry", "127.0.0.1:1"];
    assert_eq!(submit(&platform, &first, &wait), ExitStatus::MayHaveRun);
}
