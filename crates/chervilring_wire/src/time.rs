//! Points in time and the spans that cross the wire.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point on a process's own monotonic clock, in microseconds since its start.
///
/// It never crosses the wire: clocks are not compared between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A span in microseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Micros(pub u64);

/// A point of wall-clock time, in milliseconds since the Unix epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Timestamp(pub u64);

/// The two clocks of a process, read together.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// The monotonic clock: deadlines are compared with it.
    pub mono: Time,
    /// The wall clock: stamps of submissions are compared with it.
    pub wall: Timestamp,
}

impl Micros {
    /// Creates a span from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Creates a span from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Returns the span in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the span in whole seconds, rounded up.
    pub const fn secs_ceil(self) -> u64 {
        self.0.div_ceil(1_000_000)
    }
}

impl Time {
    /// The end of time: a deadline that never comes.
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns the span until `later`, or zero when that has passed.
    pub fn duration_until(self, later: Self) -> Micros {
        Micros(later.0.saturating_sub(self.0))
    }

    /// Returns the span since `earlier`, or zero when that lies ahead.
    pub fn duration_since(self, earlier: Self) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Micros> for Time {
    type Output = Self;

    fn add(self, span: Micros) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<Micros> for Time {
    type Output = Self;

    fn sub(self, span: Micros) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Add for Micros {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}
