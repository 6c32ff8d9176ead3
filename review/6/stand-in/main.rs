//! Plays the scripted cases of the second review against the project's own programs.
//!
//! `stand-in CASE FOLDER` exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run. With `TROUBLE=0` in the environment it leaves the disruption out.

mod cases;
mod deployment;
mod http;
mod json;
mod proxy;
mod record;
mod store;
mod worker;

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: stand-in CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Record::new(PathBuf::from(folder).join("record.txt"));
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let line = if trouble { "with the disruption" } else { "without the disruption" };
    record.add(format!("case {case}, {line}"));
    let outcome = cases::play(case, &record, trouble);
    let count = |counter: &std::sync::atomic::AtomicU64| counter.load(std::sync::atomic::Ordering::Relaxed);
    record.add(format!(
        "workers got {} calls and left {} unanswered; {} pieces went through proxies",
        count(&worker::CALLS),
        count(&worker::UNANSWERED_CALLS),
        count(&proxy::PIECES)
    ));
    let (line, code) = match outcome {
        Ok(broken) if broken.is_empty() => ("the rule held".to_owned(), 0),
        Ok(broken) => (format!("the rule was broken: {}", broken.join("; ")), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.add(&line);
    record.write();
    println!("{line}");
    ExitCode::from(code)
}
