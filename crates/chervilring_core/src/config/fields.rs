//! Reads JSON objects field by field, noting every fault with its path.

use chervilring_wire::Micros;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use serde_with::de::DeserializeAsWrap;

use super::error::Fault;
use super::unit::{SIZE_ALLOWED, SPAN_ALLOWED, SizeText, SpanText};

/// The faults found so far.
#[derive(Debug, Default)]
pub(super) struct Faults(pub(super) Vec<Fault>);

impl Faults {
    pub(super) fn add(&mut self, path: impl Into<String>, what: impl Into<String>, allowed: &str) {
        self.0.push(Fault {
            path: path.into(),
            what: what.into(),
            allowed: allowed.into(),
        });
    }
}

/// The fields of an object that have not been read yet.
pub(super) struct Fields<'a> {
    path: &'a str,
    known: Vec<&'static str>,
    rest: Map<String, Value>,
    faults: &'a mut Faults,
}

impl<'a> Fields<'a> {
    /// Starts reading the value at `path`, which must be an object.
    pub(super) fn open(path: &'a str, value: Value, faults: &'a mut Faults) -> Option<Self> {
        let Value::Object(rest) = value else {
            let shown = if path.is_empty() { "document" } else { path };
            faults.add(
                shown,
                format!("{} is no object", brief(&value)),
                "an object",
            );
            return None;
        };
        Some(Self {
            path,
            known: Vec::new(),
            rest,
            faults,
        })
    }

    /// Returns the path of a field.
    pub(super) fn at(&self, name: &str) -> String {
        join(self.path, name)
    }

    /// Takes out a field as it stands, if present.
    pub(super) fn take(&mut self, name: &'static str) -> Option<Value> {
        self.known.push(name);
        self.rest.remove(name).filter(|v| !v.is_null())
    }

    /// Reads an optional field.
    pub(super) fn optional<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        allowed: &str,
    ) -> Option<T> {
        let value = self.take(name)?;
        let read = T::deserialize(&value).ok();
        if read.is_none() {
            let (path, what) = (self.at(name), format!("{} is not allowed", brief(&value)));
            self.faults.add(path, what, allowed);
        }
        read
    }

    /// Reads a field that must be there.
    pub(super) fn required<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        allowed: &str,
    ) -> Option<T> {
        let present = self.rest.get(name).is_some_and(|v| !v.is_null());
        if present {
            return self.optional(name, allowed);
        }
        self.known.push(name);
        self.rest.remove(name);
        let path = self.at(name);
        self.faults.add(path, "missing", allowed);
        None
    }

    /// Reads a span that must be there.
    pub(super) fn span(&mut self, name: &'static str) -> Option<Micros> {
        let read: Option<Wrapped<Micros, SpanText>> = self.required(name, SPAN_ALLOWED);
        read.map(|w| w.0.into_inner())
    }

    /// Reads an optional size.
    pub(super) fn size(&mut self, name: &'static str) -> Option<u64> {
        let read: Option<Wrapped<u64, SizeText>> = self.optional(name, SIZE_ALLOWED);
        read.map(|w| w.0.into_inner())
    }

    /// Reads an optional list, each item with its path.
    pub(super) fn list(&mut self, name: &'static str) -> Vec<(String, Value)> {
        let path = self.at(name);
        let items = match self.take(name) {
            None => Vec::new(),
            Some(Value::Array(items)) => items,
            Some(other) => {
                let what = format!("{} is no list", brief(&other));
                self.faults.add(&*path, what, "a list");
                Vec::new()
            }
        };
        let indexed = items.into_iter().enumerate();
        indexed.map(|(i, v)| (format!("{path}[{i}]"), v)).collect()
    }

    /// Notes every field that was not asked for.
    pub(super) fn close(self) {
        let allowed = self.known.join(", ");
        for name in self.rest.keys() {
            self.faults
                .add(join(self.path, name), "unknown field", &allowed);
        }
    }
}

/// A value read through an adapter.
#[derive(Deserialize)]
#[serde(transparent, bound = "DeserializeAsWrap<T, A>: Deserialize<'de>")]
struct Wrapped<T, A>(DeserializeAsWrap<T, A>);

/// Returns the path of a field of the object at `path`.
pub(super) fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.into();
    }
    format!("{path}.{name}")
}

/// Returns the value, cut short, for error messages.
fn brief(value: &Value) -> String {
    const SHOWN: usize = 40;
    let text = value.to_string();
    match text.char_indices().nth(SHOWN) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text,
    }
}
