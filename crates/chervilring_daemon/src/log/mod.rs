//! Structured logs, on standard output.

use std::fmt;
use std::io::{self, LineWriter, Stdout};
use std::str::FromStr;

use slog::{Drain, Level, Logger, o};
use slog_async::{Async, OverflowStrategy};

/// Lines that may wait for standard output; more are dropped, and their number is logged.
const QUEUE_LINES: usize = 1024;

/// The longest line that is written in one piece, in bytes.
const LINE_BYTES: usize = 16 * 1024;

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text for people.
    Terminal,
}

impl FromStr for LogFormat {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "json" => Ok(Self::Json),
            "terminal" => Ok(Self::Terminal),
            _ => Err(()),
        }
    }
}

impl fmt::Display for LogFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Json => "json",
            Self::Terminal => "terminal",
        })
    }
}

/// Creates the logger of a process.
///
/// Lines are written by a thread of their own, so that a slow reader of standard output holds
/// nobody up. Dropping the last clone of the logger writes what is left.
pub fn logger(format: LogFormat, level: Level, role: &'static str, name: &str) -> Logger {
    let drain = match format {
        LogFormat::Json => {
            let json = slog_json::Json::default(output()).fuse();
            queued(json)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(output());
            queued(slog_term::FullFormat::new(decorator).build().fuse())
        }
    };
    let drain = drain.filter_level(level).fuse();
    Logger::root(drain, o!("role" => role, "name" => name.to_owned()))
}

/// Creates a logger that writes nothing.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Returns standard output, written by whole lines, as other threads may write there too.
fn output() -> LineWriter<Stdout> {
    LineWriter::with_capacity(LINE_BYTES, io::stdout())
}

fn queued<D>(drain: D) -> slog::Fuse<Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    Async::new(drain)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse()
}
