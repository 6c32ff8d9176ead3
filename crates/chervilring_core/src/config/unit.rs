//! Serde adapters for durations and sizes that are written with their unit.

use std::fmt;

use chervilring_wire::Micros;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serializer};
use serde_with::{DeserializeAs, SerializeAs};

/// The units of durations in microseconds, largest first.
const DURATION_UNITS: [(&str, u64); 4] = [
    ("min", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

/// The units of sizes in bytes, largest first.
const SIZE_UNITS: [(&str, u64); 3] = [("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

/// Reads and writes a duration as a string with its unit, such as `"250ms"`.
#[derive(Debug)]
pub struct DurationText;

/// Reads and writes a size as a string with its unit, such as `"4MiB"`.
#[derive(Debug)]
pub struct SizeText;

/// Describes valid durations, for error messages.
pub(super) const DURATION_ALLOWED: &str = "text of a whole number and a unit (us, ms, s, min)";

/// Describes valid sizes, for error messages.
pub(super) const SIZE_ALLOWED: &str = "text of a whole number and a unit (B, KiB, MiB)";

impl SerializeAs<Micros> for DurationText {
    fn serialize_as<S: Serializer>(source: &Micros, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&Quantity(source.0, &DURATION_UNITS))
    }
}

impl<'de> DeserializeAs<'de, Micros> for DurationText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Micros, D::Error> {
        let text = String::deserialize(deserializer)?;
        let duration = parse(&text, &DURATION_UNITS);
        duration
            .map(Micros)
            .ok_or_else(|| D::Error::custom(format!("\"{text}\" is not a duration")))
    }
}

impl SerializeAs<u64> for SizeText {
    fn serialize_as<S: Serializer>(source: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&Quantity(*source, &SIZE_UNITS))
    }
}

impl<'de> DeserializeAs<'de, u64> for SizeText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse(&text, &SIZE_UNITS)
            .ok_or_else(|| D::Error::custom(format!("\"{text}\" is not a size")))
    }
}

/// An amount in the smallest of the given units, displayed in the largest unit that divides it.
pub(super) struct Quantity(pub(super) u64, &'static [(&'static str, u64)]);

impl Quantity {
    pub(super) fn duration(micros: Micros) -> Self {
        Self(micros.0, &DURATION_UNITS)
    }

    pub(super) fn size(bytes: u64) -> Self {
        Self(bytes, &SIZE_UNITS)
    }
}

impl fmt::Display for Quantity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides = |(_, scale): &&(&str, u64)| self.0.is_multiple_of(*scale);
        match self.1.iter().find(divides) {
            Some((unit, scale)) => write!(f, "{}{unit}", self.0 / scale),
            None => write!(f, "{}", self.0),
        }
    }
}

/// Parses digits that are directly followed by one of the units.
fn parse(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let end = text.find(|c: char| !c.is_ascii_digit())?;
    let (digits, unit) = text.split_at(end);
    let (_, scale) = units.iter().find(|(name, _)| *name == unit)?;
    digits.parse::<u64>().ok()?.checked_mul(*scale)
}
