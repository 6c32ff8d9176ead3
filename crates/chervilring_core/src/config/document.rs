//! Parses JSON documents and rejects duplicate fields, which `serde_json` would accept.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

/// Parses a JSON document and rejects duplicate fields in an object.
///
/// # Errors
///
/// Returns a syntax error or a duplicate field, with its line and column.
pub(super) fn parse(text: &str) -> Result<Value, serde_json::Error> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = UniqueFields.deserialize(&mut reader)?;
    reader.end()?;
    Ok(value)
}

/// Deserializes any JSON value in whose objects each field occurs once.
#[derive(Clone, Copy)]
struct UniqueFields;

impl<'de> DeserializeSeed<'de> for UniqueFields {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for UniqueFields {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element_seed(self)? {
            list.push(item);
        }
        Ok(Value::Array(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Value, A::Error> {
        let mut map = Map::new();
        while let Some(name) = fields.next_key::<String>()? {
            if map.contains_key(&name) {
                return Err(A::Error::custom(format!("duplicate field \"{name}\"")));
            }
            map.insert(name, fields.next_value_seed(self)?);
        }
        Ok(Value::Object(map))
    }
}
