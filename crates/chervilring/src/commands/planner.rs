//! `chervilring planner`: runs a planner on the users' platform.

use std::path::PathBuf;

use argh::FromArgs;

use super::settings_file;
use crate::exit::ExitStatus;

/// Runs a planner: callers send it jobs of tasks that take resources, and it places them on the
/// upstreams of all runners that dial it.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "planner",
    example = "{command_name} --settings local.toml"
)]
pub struct PlannerCommand {
    /// the settings file [`CHERVILRING_SETTINGS`]
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

/// Runs the command until the planner stops.
pub(crate) fn run(command: PlannerCommand) -> eyre::Result<ExitStatus> {
    let path = settings_file(command.settings)?;
    if command.check {
        chervilring_adapter::read_planner(&path)?;
        return Ok(ExitStatus::Ok);
    }
    chervilring_adapter::planner(&path)?;
    Ok(ExitStatus::Ok)
}
