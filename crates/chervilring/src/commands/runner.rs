//! `chervilring runner`: runs a runner on the users' platform.

use std::path::PathBuf;

use argh::FromArgs;

use super::settings_file;
use crate::exit::ExitStatus;

/// Runs a runner: it has the upstream on its host run what planners ask for, keeps its lease
/// alive and has the last word on its capacity.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "runner",
    example = "{command_name} --settings local.toml"
)]
pub struct RunnerCommand {
    /// the settings file [`CHERVILRING_SETTINGS`]
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

/// Runs the command until the runner stops.
pub(crate) fn run(command: RunnerCommand) -> eyre::Result<ExitStatus> {
    let path = settings_file(command.settings)?;
    if command.check {
        chervilring_adapter::read_runner(&path)?;
        return Ok(ExitStatus::Ok);
    }
    chervilring_adapter::runner(&path)?;
    Ok(ExitStatus::Ok)
}
