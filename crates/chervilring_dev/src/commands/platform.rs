//! The command that runs the stand-in of the platform's store.

use std::io::Write;
use std::net::SocketAddr;

use argh::FromArgs;
use chervilring_dev::platform::{Down, Faults, Platform};
use eyre::WrapErr;
use serde_json::json;

/// runs a stand-in of the platform's store; faults can be changed at PUT /control/faults, calls
/// are counted at GET /control/counts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub(crate) struct PlatformArgs {
    /// address to listen at (default: 127.0.0.1:0, a port chosen by the system)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// whether it is down: no, refuse or hang (default: no)
    #[argh(option, default = "Down::No")]
    down: Down,
    /// milliseconds that each call takes (default: 0)
    #[argh(option, default = "0")]
    slow_ms: u64,
    /// how many of the next writes take effect without an answer (default: 0)
    #[argh(option, default = "0")]
    lose_next: u32,
    /// share of writes that take effect without an answer, in percent (default: 0)
    #[argh(option, default = "0")]
    lose_percent: u32,
    /// writes a second; more are refused (default: no limit)
    #[argh(option)]
    writes_per_s: Option<u32>,
    /// reads a second; more are refused (default: no limit)
    #[argh(option)]
    reads_per_s: Option<u32>,
}

/// Runs the stand-in until the process is stopped.
pub(crate) fn run(args: &PlatformArgs) -> eyre::Result<()> {
    let faults = Faults {
        down: args.down,
        slow_ms: args.slow_ms,
        lose_next: args.lose_next,
        lose_percent: args.lose_percent,
        writes_per_s: args.writes_per_s,
        reads_per_s: args.reads_per_s,
        ..Faults::default()
    };
    let listen = args.listen;
    let platform = Platform::start(listen, faults);
    let platform = platform.wrap_err_with(|| format!("cannot listen at {listen}"))?;
    let line = json!({ "listening": { "http": platform.addr().to_string() } });
    let mut stdout = std::io::stdout();
    writeln!(stdout, "{line}").and_then(|()| stdout.flush())?;
    platform.join();
    Ok(())
}
