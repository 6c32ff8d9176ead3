//! Points in time, and the durations that messages carry.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point on a process's own monotonic clock, in microseconds since its start.
///
/// Messages never carry it, because the clocks of different hosts are not comparable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A duration in microseconds.
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
    /// The wall clock: the timestamps of submission ids are compared with it.
    pub wall: Timestamp,
}

impl Micros {
    /// Creates a duration from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Creates a duration from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Returns the duration in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the duration in whole seconds, rounded up.
    pub const fn secs_ceil(self) -> u64 {
        self.0.div_ceil(1_000_000)
    }
}

impl Time {
    /// A deadline that never passes.
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns the duration until `later`, or zero when `later` has passed.
    pub fn duration_until(self, later: Self) -> Micros {
        Micros(later.0.saturating_sub(self.0))
    }

    /// Returns the duration since `earlier`, or zero when `earlier` is in the future.
    pub fn duration_since(self, earlier: Self) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Micros> for Time {
    type Output = Self;

    fn add(self, duration: Micros) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl Sub<Micros> for Time {
    type Output = Self;

    fn sub(self, duration: Micros) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }
}

impl Add for Micros {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}
