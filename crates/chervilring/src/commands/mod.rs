//! One module for each command.

pub mod agent;
pub mod audit;
pub mod clear_doubts;
pub mod declare_dead;
pub mod entry;
pub mod explain;
mod in_force;
mod input;
pub mod job;
pub mod note;
pub mod planner;
pub mod request;
pub mod runner;
pub mod status;
mod store;
mod utc;

use std::env;
use std::path::PathBuf;

use eyre::OptionExt;

use crate::args::Command;
use crate::exit::ExitStatus;

/// Runs a command.
pub(crate) fn run(command: Command) -> eyre::Result<ExitStatus> {
    match command {
        Command::Agent(command) => agent::run(command),
        Command::Entry(command) => entry::run(command),
        Command::Planner(command) => planner::run(command),
        Command::Runner(command) => runner::run(command),
        Command::Request(command) => request::run(command),
        Command::Job(command) => job::run(command),
        Command::Note(command) => note::run(&command),
        Command::Audit(command) => audit::run(&command),
        Command::Status(command) => status::run(&command),
        Command::Explain(command) => explain::run(&command),
        Command::ClearDoubts(command) => clear_doubts::run(&command),
        Command::DeclareDead(command) => declare_dead::run(&command),
    }
}

/// Returns the path of the settings file: the flag, or else the environment variable.
fn settings_file(flag: Option<PathBuf>) -> eyre::Result<PathBuf> {
    let named = || env::var_os("CHERVILRING_SETTINGS").map(PathBuf::from);
    flag.or_else(named)
        .ok_or_eyre("no settings file: give --settings or CHERVILRING_SETTINGS")
}
