//! `chervilring_dev bench`: what dispatch costs, over a decade and more of each size.

use argh::FromArgs;
use chervilring_dev::bench::{Sizes, measure, measure_wire};

/// measures what dispatch costs in processor time and memory; prints JSON lines
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub(crate) struct BenchArgs {
    /// agents (default: 11)
    #[argh(option, default = "11")]
    agents: usize,

    /// services, spread over the agents (default: 1)
    #[argh(option, default = "1")]
    services: usize,

    /// teams, each with a quota (default: 5)
    #[argh(option, default = "5")]
    teams: usize,

    /// tasks of a submission (default: 1)
    #[argh(option, default = "1")]
    tasks: usize,

    /// submissions that wait (default: 100)
    #[argh(option, default = "100")]
    waiting: usize,

    /// measure the messages on the wire instead
    #[argh(switch)]
    wire: bool,

    /// task starts to measure over (default: 200000)
    #[argh(option, default = "200000")]
    starts: usize,
}

/// Measures and prints one JSON line.
///
/// # Errors
///
/// Returns an error when the figures do not encode.
pub(crate) fn run(args: &BenchArgs) -> eyre::Result<()> {
    if args.wire {
        for cost in measure_wire() {
            println!("{}", serde_json::to_string(&cost)?);
        }
        return Ok(());
    }
    let sizes = Sizes {
        agents: args.agents.max(1),
        services: args.services.max(1),
        teams: args.teams.max(1),
        tasks: args.tasks.max(1),
        waiting: args.waiting,
        starts: args.starts,
    };
    println!("{}", serde_json::to_string(&measure(&sizes))?);
    Ok(())
}
