//! Adapters for spans and sizes written with their unit.

use std::fmt;

use chervilring_wire::Micros;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serializer};
use serde_with::{DeserializeAs, SerializeAs};

/// The units of spans, largest first, in microseconds.
const SPANS: [(&str, u64); 4] = [
    ("min", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

/// The units of sizes, largest first, in bytes.
const SIZES: [(&str, u64); 3] = [("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

/// Writes a span as text with its unit, such as `"250ms"`.
#[derive(Debug)]
pub struct SpanText;

/// Writes a size as text with its unit, such as `"4MiB"`.
#[derive(Debug)]
pub struct SizeText;

/// Returns what a span may look like, for error messages.
pub(super) const SPAN_ALLOWED: &str = "text of a whole number and a unit (us, ms, s, min)";

/// Returns what a size may look like, for error messages.
pub(super) const SIZE_ALLOWED: &str = "text of a whole number and a unit (B, KiB, MiB)";

impl SerializeAs<Micros> for SpanText {
    fn serialize_as<S: Serializer>(source: &Micros, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&Quantity(source.0, &SPANS))
    }
}

impl<'de> DeserializeAs<'de, Micros> for SpanText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Micros, D::Error> {
        let text = String::deserialize(deserializer)?;
        let span = read(&text, &SPANS);
        span.map(Micros)
            .ok_or_else(|| D::Error::custom(format!("\"{text}\" is not a span")))
    }
}

impl SerializeAs<u64> for SizeText {
    fn serialize_as<S: Serializer>(source: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&Quantity(*source, &SIZES))
    }
}

impl<'de> DeserializeAs<'de, u64> for SizeText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        read(&text, &SIZES).ok_or_else(|| D::Error::custom(format!("\"{text}\" is not a size")))
    }
}

/// A number of the smallest of these units, displayed in the largest that divides it.
pub(super) struct Quantity(pub(super) u64, &'static [(&'static str, u64)]);

impl Quantity {
    pub(super) fn span(micros: Micros) -> Self {
        Self(micros.0, &SPANS)
    }

    pub(super) fn size(bytes: u64) -> Self {
        Self(bytes, &SIZES)
    }
}

impl fmt::Display for Quantity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = |(_, scale): &&(&str, u64)| self.0.is_multiple_of(*scale);
        match self.1.iter().find(whole) {
            Some((unit, scale)) => write!(f, "{}{unit}", self.0 / scale),
            None => write!(f, "{}", self.0),
        }
    }
}

/// Reads digits followed at once by one of the units.
fn read(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let end = text.find(|c: char| !c.is_ascii_digit())?;
    let (digits, unit) = text.split_at(end);
    let (_, scale) = units.iter().find(|(name, _)| *name == unit)?;
    digits.parse::<u64>().ok()?.checked_mul(*scale)
}
