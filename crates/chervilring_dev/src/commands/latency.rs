//! The command that measures what a request spends in entry and agent.

use std::io::{self, Write};

use argh::FromArgs;
use chervilring_dev::latency;

/// measures the time that a request spends in entry and agent at 1, 100 and 1,000 requests in
/// flight, and the requests that one entry carries for each second of processor time
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "latency")]
pub(crate) struct LatencyArgs {}

/// Measures and prints a table.
pub(crate) fn run() -> eyre::Result<()> {
    let lines = latency::run(&std::env::current_exe()?)?;
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "| in flight | work ms | requests | failed | through p50 us | p99 us | direct p50 us | p99 \
         us | requests/s | requests/s per core |\n|---|---|---|---|---|---|---|---|---|---|"
    )?;
    for line in lines {
        let ((p50, p99), (direct50, direct99)) = (line.through, line.direct);
        writeln!(
            out,
            "| {} | {} | {} | {} | {p50} | {p99} | {direct50} | {direct99} | {} | {} |",
            line.callers, line.work_ms, line.requests, line.failed, line.rate, line.per_core
        )?;
    }
    Ok(())
}
