//! Reads JSON objects field by field and collects every fault with its path.

use chervilring_wire::Micros;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use serde_with::de::DeserializeAsWrap;

use super::error::Fault;
use super::unit::{DURATION_ALLOWED, DurationText, SIZE_ALLOWED, SizeText};

/// The faults found so far.
#[derive(Debug, Default)]
pub(super) struct Faults(pub(super) Vec<Fault>);

impl Faults {
    /// Adds a fault.
    pub(super) fn add(
        &mut self,
        path: impl Into<String>,
        problem: impl Into<String>,
        allowed: &str,
    ) {
        self.0.push(Fault {
            path: path.into(),
            problem: problem.into(),
            allowed: allowed.into(),
        });
    }
}

/// Reads the fields of one JSON object and reports unknown ones.
pub(super) struct Fields<'a> {
    path: &'a str,
    read_names: Vec<&'static str>,
    unread: Map<String, Value>,
    faults: &'a mut Faults,
}

impl<'a> Fields<'a> {
    /// Starts reading the value at `path`, which must be an object.
    pub(super) fn open(path: &'a str, value: Value, faults: &'a mut Faults) -> Option<Self> {
        let Value::Object(unread) = value else {
            let shown = if path.is_empty() { "document" } else { path };
            faults.add(
                shown,
                format!("{} is not an object", truncated(&value)),
                "an object",
            );
            return None;
        };
        Some(Self {
            path,
            read_names: Vec::new(),
            unread,
            faults,
        })
    }

    /// Returns the path of a field.
    pub(super) fn path_of(&self, name: &str) -> String {
        join(self.path, name)
    }

    /// Removes and returns the value of a field, or `None` if the field is absent or null.
    pub(super) fn take(&mut self, name: &'static str) -> Option<Value> {
        self.read_names.push(name);
        self.unread.remove(name).filter(|v| !v.is_null())
    }

    /// Reads an optional field. Adds a fault if its value has the wrong type.
    pub(super) fn optional<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        allowed: &str,
    ) -> Option<T> {
        let value = self.take(name)?;
        let read = T::deserialize(&value).ok();
        if read.is_none() {
            let (path, problem) = (
                self.path_of(name),
                format!("{} is not allowed", truncated(&value)),
            );
            self.faults.add(path, problem, allowed);
        }
        read
    }

    /// Reads a required field. Adds a fault if it is absent, null or of the wrong type.
    pub(super) fn required<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        allowed: &str,
    ) -> Option<T> {
        let present = self.unread.get(name).is_some_and(|v| !v.is_null());
        if present {
            return self.optional(name, allowed);
        }
        self.read_names.push(name);
        self.unread.remove(name);
        let path = self.path_of(name);
        self.faults.add(path, "missing", allowed);
        None
    }

    /// Reads a required duration.
    pub(super) fn duration(&mut self, name: &'static str) -> Option<Micros> {
        let read: Option<Wrapped<Micros, DurationText>> = self.required(name, DURATION_ALLOWED);
        read.map(|w| w.0.into_inner())
    }

    /// Reads an optional size.
    pub(super) fn size(&mut self, name: &'static str) -> Option<u64> {
        let read: Option<Wrapped<u64, SizeText>> = self.optional(name, SIZE_ALLOWED);
        read.map(|w| w.0.into_inner())
    }

    /// Reads an optional array and returns each item with its path.
    pub(super) fn list(&mut self, name: &'static str) -> Vec<(String, Value)> {
        let path = self.path_of(name);
        let items = match self.take(name) {
            None => Vec::new(),
            Some(Value::Array(items)) => items,
            Some(other) => {
                let problem = format!("{} is not an array", truncated(&other));
                self.faults.add(&*path, problem, "an array");
                Vec::new()
            }
        };
        let indexed = items.into_iter().enumerate();
        indexed.map(|(i, v)| (format!("{path}[{i}]"), v)).collect()
    }

    /// Adds a fault for every field that was not read.
    pub(super) fn finish(self) {
        let allowed = self.read_names.join(", ");
        for name in self.unread.keys() {
            self.faults
                .add(join(self.path, name), "unknown field", &allowed);
        }
    }
}

/// A value that is deserialized through the `serde_with` adapter `A`.
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

/// Returns the value as JSON for error messages, truncated if it is long.
fn truncated(value: &Value) -> String {
    const MAX_CHARS: usize = 40;
    let text = value.to_string();
    match text.char_indices().nth(MAX_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text,
    }
}
