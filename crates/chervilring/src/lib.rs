//! The command line: daemons, and commands for operators and callers.

mod args;
mod client;
pub mod commands;
mod exit;
mod output;

use std::env;
use std::ffi::OsString;
use std::process::ExitCode;

pub use args::{Args, Command, ParseError, parse};
pub use client::{Client, ClientError, Response};
pub use exit::{ExitStatus, Failed};
pub use output::Output;

/// Runs the program with the arguments of this process.
pub fn main() -> ExitCode {
    let mut arguments = env::args_os();
    let program = arguments.next().unwrap_or_else(|| "chervilring".into());
    let program = program.to_string_lossy().into_owned();
    run_arguments(&program, arguments.collect()).into()
}

/// Runs the program with arguments, without the program's own name, and prints what went wrong.
pub fn run_arguments(program: &str, arguments: Vec<OsString>) -> ExitStatus {
    let args = match parse(program, arguments) {
        Ok(args) => args,
        Err(ParseError::Help(text)) => {
            output::print(&text);
            return ExitStatus::Ok;
        }
        Err(ParseError::Usage(text)) => {
            eprintln!("{}", text.trim_end());
            return ExitStatus::Usage;
        }
    };
    match run(args) {
        Ok(status) => status,
        Err(report) => {
            eprintln!("error: {report:#}");
            exit::status_of(&report)
        }
    }
}

/// Runs one command.
///
/// # Errors
///
/// Returns an error when the command could not do what it was asked; [`Failed`] within it tells
/// the exit status.
pub fn run(args: Args) -> eyre::Result<ExitStatus> {
    commands::run(args.command)
}
