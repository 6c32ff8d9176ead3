//! The cases of the review: `cases NAME RECORD`, run from the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` a case leaves its disruption out.

mod born;
mod cancel;
mod config;
mod deployment;
mod http;
mod json;
mod label;
mod lease;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;

use deployment::Failure;
use record::Record;

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, path] = &args[..] else {
        eprintln!("usage: cases NAME RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    match play(name, Path::new(path), trouble) {
        Ok(Verdict::Held) => {
            println!("{name}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(what)) => {
            println!("{name}: the rule was broken: {what}");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("{name}: could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn play(name: &str, path: &Path, trouble: bool) -> Result<Verdict, Failure> {
    let record = Record::create(path)?;
    let verdict = match name {
        "config" => config::play(&record, trouble),
        "born" => born::play(&record, trouble),
        "lease" => lease::play(&record, trouble),
        "label" => label::play(&record, trouble),
        "cancel" => cancel::play(&record, trouble),
        _ => Err(format!("there is no case {name}").into()),
    };
    match &verdict {
        Ok(Verdict::Held) => record.write("the rule held"),
        Ok(Verdict::Broken(what)) => record.write(&format!("the rule was broken: {what}")),
        Err(error) => record.write(&format!("could not run: {error}")),
    }
    verdict
}
