//! Requests to stop, by signal.

use std::io;
use std::thread;

use signal_hook::consts::{SIGINT, SIGTERM};
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
