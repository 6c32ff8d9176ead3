//! Processor time of another process.

use std::fs;
use std::time::Duration;

use eyre::{WrapErr, eyre};
use rustix::param::clock_ticks_per_second;

/// Fields of `/proc/PID/stat` between the program's name and the time used in user mode.
const SKIPPED: usize = 11;

/// Measures the processor time that a process uses from a point in time on.
#[derive(Debug)]
pub(super) struct CpuClock {
    process: u32,
    start: Duration,
}

impl CpuClock {
    pub(super) fn start(process: u32) -> eyre::Result<Self> {
        let start = read(process)?;
        Ok(Self { process, start })
    }

    /// Returns the time used since the start.
    pub(super) fn used(&self) -> eyre::Result<Duration> {
        Ok(read(self.process)?.saturating_sub(self.start))
    }
}

/// Returns the time used in user and kernel mode.
fn read(process: u32) -> eyre::Result<Duration> {
    let path = format!("/proc/{process}/stat");
    let text = fs::read_to_string(&path).wrap_err_with(|| format!("{path} cannot be read"))?;
    let fields = text.rsplit_once(')').map(|(_, rest)| rest);
    let ticks = fields.and_then(|fields| {
        let mut fields = fields.split_whitespace().skip(SKIPPED);
        let user: u64 = fields.next()?.parse().ok()?;
        let kernel: u64 = fields.next()?.parse().ok()?;
        Some(user + kernel)
    });
    let ticks = ticks.ok_or_else(|| eyre!("{path} is not understood: {text:?}"))?;
    Ok(Duration::from_secs_f64(
        ticks as f64 / clock_ticks_per_second() as f64,
    ))
}
