//! The command line as scripts see it.

use std::ffi::OsString;
use std::os::unix::ffi::OsStringExt;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    run_os(arguments.iter().map(OsString::from).collect())
}

fn run_os(arguments: Vec<OsString>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chervilring"));
    for (name, _) in std::env::vars_os() {
        if name.to_string_lossy().starts_with("CHERVILRING_") {
            command.env_remove(name);
        }
    }
    command.args(arguments).output().unwrap()
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

#[test]
fn every_command_has_help_with_an_example() {
    let commands = [
        &["entry"][..],
        &["agent"],
        &["request"],
        &["status"],
        &["job", "submit"],
        &["job", "show"],
        &["job", "cancel"],
        &["note", "submit"],
        &["audit"],
    ];
    for command in commands {
        let output = run(&[command, &["--help"]].concat());
        assert_eq!(code(&output), 0, "{command:?}");
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(text.contains("Example"), "{command:?}: {text}");
    }
}

#[test]
fn wrong_settings_are_named_with_what_is_allowed() {
    let base = [
        "entry",
        "--name",
        "e1",
        "--domain",
        "norte",
        "--store",
        "http://10.0.0.1:1",
    ];
    let wrong = [
        (&["--http", "localhost"][..], "`http`", "IP number"),
        (&["--lease", "5"], "`lease`", "5s"),
        (
            &["--lease", "2s", "--authority", "3s"],
            "`authority`",
            "2000ms",
        ),
        (&["--body", "0"], "`body`", "1024"),
        (&["--peer", "0.0.0.0:80"], "`advertise`", "address"),
        (&["--log-level", "loud"], "`log-level`", "warning"),
        (&["--name", "a b"], "`name`", "printable"),
        (&["--store", "10.0.0.1"], "`store`", "http://"),
    ];
    for (flags, setting, allowed) in wrong {
        let mut arguments: Vec<&str> = base.iter().chain(flags).copied().collect();
        if flags[0] == "--name" || flags[0] == "--store" {
            let first = arguments.iter().position(|a| *a == flags[0]).unwrap();
            arguments.drain(first..first + 2);
        }
        let output = run(&arguments);
        let error = stderr(&output);
        assert_eq!(code(&output), 2, "{flags:?}: {error}");
        assert!(error.contains(setting), "{flags:?}: {error}");
        assert!(error.contains(allowed), "{flags:?}: {error}");
    }
    let missing = run(&["agent", "--name", "a1", "--domain", "norte"]);
    assert_eq!(code(&missing), 2);
    assert!(stderr(&missing).contains("CHERVILRING_ENTRIES"));
}

#[test]
fn check_prints_the_settled_settings() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chervilring"));
    command.env("CHERVILRING_NAME", "from-environment");
    command.env("CHERVILRING_LEASE", "8s");
    command.args(["entry", "--check", "--domain", "norte", "--lease", "9s"]);
    let output = command
        .args(["--store", "http://10.0.0.1:1"])
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout.clone()).unwrap();
    assert_eq!(code(&output), 0);
    assert!(
        text.contains("CHERVILRING_NAME=from-environment\n"),
        "{text}"
    );
    assert!(text.contains("CHERVILRING_LEASE=9000ms\n"), "{text}");
}

#[test]
fn arguments_that_are_not_text_are_refused() {
    let broken = OsString::from_vec(b"--na\xffme".to_vec());
    let output = run_os(vec!["entry".into(), broken]);
    assert_eq!(code(&output), 2);
    assert!(stderr(&output).contains("argument 2 is not UTF-8"));
    assert_eq!(code(&run(&["entri"])), 2);
    assert_eq!(code(&run(&["request"])), 2);
}

#[test]
fn unreachable_entries_have_their_own_exit_code() {
    // Nothing listens on this port.
    let entry = ["--entry", "127.0.0.1:1"];
    let commands = [
        &["request", "--service", "s", "--body", "b"][..],
        &["job", "submit", "--service", "s", "--task", "1"],
        &["job", "show", "x"],
        &["status"],
    ];
    for command in commands {
        let output = run(&[command, &entry].concat());
        assert_eq!(code(&output), 5, "{command:?}: {}", stderr(&output));
    }
    let none = run(&["status"]);
    assert_eq!(code(&none), 2);
    assert!(stderr(&none).contains("--entry"));
    let bad = run(&[
        "job",
        "submit",
        "--entry",
        "127.0.0.1:1",
        "--service",
        "s",
        "--task",
        "x",
    ]);
    assert_eq!(code(&bad), 2);
    assert!(stderr(&bad).contains("is not JSON"));
}
