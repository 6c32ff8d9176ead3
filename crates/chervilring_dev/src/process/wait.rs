//! Waiting for a state.

use std::thread;
use std::time::{Duration, Instant};

use eyre::bail;

/// How long a state is waited for where nothing else is stated.
pub const BOUND: Duration = Duration::from_secs(30);

/// Time between two looks.
const PAUSE: Duration = Duration::from_millis(10);

/// Looks until `look` returns something and returns that.
///
/// # Errors
///
/// Returns an error that names `what` when there is nothing within `bound`.
pub fn wait_for<T>(
    what: &str,
    bound: Duration,
    mut look: impl FnMut() -> Option<T>,
) -> eyre::Result<T> {
    let until = Instant::now() + bound;
    loop {
        if let Some(found) = look() {
            return Ok(found);
        }
        if Instant::now() >= until {
            bail!("{what}: not within {bound:?}");
        }
        thread::sleep(PAUSE);
    }
}
