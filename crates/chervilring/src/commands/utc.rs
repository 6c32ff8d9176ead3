//! Points of wall-clock time as people read them.

use chervilring_wire::Timestamp;

const MILLIS_PER_SEC: u64 = 1_000;
const SECS_PER_DAY: u64 = 86_400;

/// Days from the first day of March of the year zero to the Unix epoch.
const EPOCH_DAY: u64 = 719_468;

/// Days in 400 years of the Gregorian calendar.
const DAYS_PER_ERA: u64 = 146_097;

/// Returns a stamp in UTC, such as `2026-12-04T03:00:00Z`.
pub(super) fn utc(stamp: Timestamp) -> String {
    let secs = stamp.0 / MILLIS_PER_SEC;
    let (year, month, day) = date(secs / SECS_PER_DAY);
    let (hour, min, sec) = (secs / 3_600 % 24, secs / 60 % 60, secs % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{min:02}:{sec:02}Z")
}

/// Returns year, month and day of a day since the Unix epoch.
///
/// Years are counted from March, so that a leap day is the last day of its year.
fn date(day: u64) -> (u64, u64, u64) {
    let day = day + EPOCH_DAY;
    let era = day / DAYS_PER_ERA;
    let day = day % DAYS_PER_ERA;
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let shifted = (5 * day + 2) / 153;
    let month = if shifted < 10 {
        shifted + 3
    } else {
        shifted - 9
    };
    let year = era * 400 + year + u64::from(month <= 2);
    (year, month, day - (153 * shifted + 2) / 5 + 1)
}
