//! The clocks of the process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use chervilring_wire::{Micros, Now, Time, Timestamp};
use rustix::time::{ClockId, clock_gettime};

/// Reads the monotonic and the wall clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock whose monotonic time starts now, one second from zero so that spans can be
    /// subtracted from the first readings.
    pub fn start() -> Self {
        let origin = Instant::now();
        Self {
            origin: origin.checked_sub(Duration::from_secs(1)).unwrap_or(origin),
        }
    }

    /// Returns the monotonic time.
    pub fn time(&self) -> Time {
        Time(self.origin.elapsed().as_micros() as u64)
    }

    /// Returns the time since the host was started, which goes on while the host is suspended.
    pub fn since_boot(&self) -> Micros {
        let time = clock_gettime(ClockId::Boottime);
        Micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
    }

    /// Returns both times.
    pub fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        Now {
            mono: self.time(),
            wall: Timestamp(wall.map_or(0, |span| span.as_millis() as u64)),
        }
    }

    /// Returns the instant of a point in time, for timers.
    ///
    /// A point too far off for the platform's clock becomes a day from now.
    pub fn instant(&self, time: Time) -> Instant {
        const DAY: Duration = Duration::from_hours(24);
        self.origin
            .checked_add(Duration::from_micros(time.0))
            .unwrap_or_else(|| Instant::now() + DAY)
    }
}
