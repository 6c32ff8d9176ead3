//! Tools of the project's developers.

mod commands;

use std::env;
use std::process::ExitCode;

use argh::FromArgs;
use chervilring_dev::process::SHIPPED;
use commands::bench::BenchArgs;
use commands::demo::DemoArgs;
use commands::latency::LatencyArgs;
use commands::measure::MeasureArgs;
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
    Bench(BenchArgs),
    Demo(DemoArgs),
    Measure(MeasureArgs),
    Latency(LatencyArgs),
    Platform(PlatformArgs),
    Replay(ReplayArgs),
    Upstream(UpstreamArgs),
}

fn main() -> ExitCode {
    // The processes of the demo and of tests run the shipped program out of this one, so that
    // building this one is enough.
    let mut arguments = env::args_os().skip(1);
    if arguments.next().is_some_and(|first| first == SHIPPED) {
        return chervilring::run_arguments(SHIPPED, arguments.collect()).into();
    }
    match run(argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> eyre::Result<()> {
    match args.command {
        Command::Bench(args) => commands::bench::run(&args),
        Command::Demo(_) => commands::demo::run(),
        Command::Measure(_) => commands::measure::run(),
        Command::Latency(_) => commands::latency::run(),
        Command::Platform(args) => commands::platform::run(&args),
        Command::Replay(args) => commands::replay::run(&args),
        Command::Upstream(args) => commands::upstream::run(args),
    }
}
