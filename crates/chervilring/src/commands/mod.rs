//! One module for each command.

pub mod agent;
pub mod entry;
mod input;
pub mod job;
pub mod request;
pub mod status;

use crate::args::Command;
use crate::exit::ExitStatus;

/// Runs a command.
pub(crate) fn run(command: Command) -> eyre::Result<ExitStatus> {
    match command {
        Command::Agent(command) => agent::run(command),
        Command::Entry(command) => entry::run(command),
        Command::Request(command) => request::run(command),
        Command::Job(command) => job::run(command),
        Command::Status(command) => status::run(&command),
    }
}
