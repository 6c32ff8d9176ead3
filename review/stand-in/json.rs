//! A small JSON reader and writer.

use std::fmt;

/// A JSON value. Numbers are kept as integers where they are written as such.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    /// Reads a document; `None` if it is not JSON.
    pub fn read(text: &str) -> Option<Self> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = reader.value()?;
        reader.spaces();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    /// Returns a field of a map.
    pub fn get(&self, name: &str) -> Option<&Self> {
        let Self::Map(rows) = self else { return None };
        rows.iter().find(|(n, _)| n == name).map(|(_, v)| v)
    }

    /// Returns a text field, empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }

    /// Returns a whole number field.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.as_number()
    }

    /// Returns the value as a whole number.
    pub fn as_number(&self) -> Option<u64> {
        match self {
            Self::Int(number) => u64::try_from(*number).ok(),
            _ => None,
        }
    }

    /// Returns the rows of a list field.
    pub fn list(&self, name: &str) -> &[Self] {
        match self.get(name) {
            Some(Self::List(rows)) => rows,
            _ => &[],
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Int(value) => write!(f, "{value}"),
            Self::Float(value) => write!(f, "{value}"),
            Self::Text(text) => f.write_str(&quoted(text)),
            Self::List(rows) => {
                f.write_str("[")?;
                for (index, row) in rows.iter().enumerate() {
                    write!(f, "{}{row}", if index == 0 { "" } else { "," })?;
                }
                f.write_str("]")
            }
            Self::Map(rows) => {
                f.write_str("{")?;
                for (index, (name, row)) in rows.iter().enumerate() {
                    let comma = if index == 0 { "" } else { "," };
                    write!(f, "{comma}{}:{row}", quoted(name))?;
                }
                f.write_str("}")
            }
        }
    }
}

/// Returns a text as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if u32::from(c) < 0x20 => out.push_str(&format!("\\u{:04x}", u32::from(c))),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn spaces(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.spaces();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found.then_some(())
    }

    fn value(&mut self) -> Option<Json> {
        self.spaces();
        match *self.bytes.get(self.at)? {
            b'{' => self.map(),
            b'[' => self.rows(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn number(&mut self) -> Option<Json> {
        let rest = &self.bytes[self.at..];
        let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
        let len = rest.iter().take_while(|b| is_part(b)).count();
        let text = std::str::from_utf8(&rest[..len]).ok()?;
        self.at += len;
        if let Ok(number) = text.parse::<i128>() {
            return Some(Json::Int(number));
        }
        text.parse().ok().map(Json::Float)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let c = self.escape()?;
                    out.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
                }
                byte => out.push(byte),
            }
        }
    }

    fn escape(&mut self) -> Option<char> {
        let byte = *self.bytes.get(self.at)?;
        self.at += 1;
        Some(match byte {
            b'n' => '\n',
            b't' => '\t',
            b'r' => '\r',
            b'b' => '\u{8}',
            b'f' => '\u{c}',
            b'u' => {
                let digits = self.bytes.get(self.at..self.at + 4)?;
                self.at += 4;
                let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                char::from_u32(code).unwrap_or('\u{fffd}')
            }
            other => char::from(other),
        })
    }

    fn rows(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut rows = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(rows));
        }
        loop {
            rows.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(rows));
            }
        }
    }

    fn map(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut rows = Vec::new();
        if self.take(b'}').is_some() {
            return Some(Json::Map(rows));
        }
        loop {
            self.spaces();
            let name = self.string()?;
            self.take(b':')?;
            rows.push((name, self.value()?));
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Map(rows));
            }
        }
    }
}
