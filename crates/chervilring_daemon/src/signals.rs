//! Requests to stop, by signal.

use std::io;
use std::thread;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Calls `stop`, on a thread of its own, each time the process is asked to stop.
///
/// # Errors
///
/// Returns the system's error when the signals cannot be handled.
pub fn on_stop(stop: impl Fn() + Send + 'static) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || signals.forever().for_each(|_| stop()))?;
    Ok(())
}

/// What a signal asks of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// To stop.
    Stop,
    /// To read its settings again.
    Reload,
}

/// Calls `tell`, on a thread of its own, for each signal that asks something of the process.
///
/// # Errors
///
/// Returns the system's error when the signals cannot be handled.
pub fn on_signal(tell: impl Fn(Asked) + Send + 'static) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let asked = |signal| match signal {
        SIGHUP => Asked::Reload,
        _ => Asked::Stop,
    };
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || signals.forever().for_each(|signal| tell(asked(signal))))?;
    Ok(())
}
