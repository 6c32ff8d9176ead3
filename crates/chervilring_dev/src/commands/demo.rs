//! The command that runs the demo.

use argh::FromArgs;
use chervilring_dev::demo;

/// starts a whole deployment on this machine, shows requests, jobs, release notes and the death of
/// an entry, and stops it; fails when any of it does not turn out as it must
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoArgs {}

/// Runs the demo.
pub(crate) fn run() -> eyre::Result<()> {
    demo::run(&std::env::current_exe()?)
}
