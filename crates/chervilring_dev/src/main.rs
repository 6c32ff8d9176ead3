//! Tools of the project's developers.

mod commands;

use argh::FromArgs;
use commands::platform::PlatformArgs;
use commands::replay::ReplayArgs;
use commands::upstream::UpstreamArgs;

/// stand-ins, trace replay and the demo of chervilring
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Platform(PlatformArgs),
    Replay(ReplayArgs),
    Upstream(UpstreamArgs),
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Platform(args) => commands::platform::run(&args),
        Command::Replay(args) => commands::replay::run(&args),
        Command::Upstream(args) => commands::upstream::run(args),
    }
}
