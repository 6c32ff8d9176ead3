//! A small reader of JSON, and the text that strings are written as.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Reads a document; `None` if it is no JSON.
    pub fn read(text: &[u8]) -> Option<Json> {
        let mut reader = Reader { text, at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == text.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(rows) => rows.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(rows)) => rows,
            _ => &[],
        }
    }
}

/// Writes a string with its quotes.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.text.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.text[self.at..].starts_with(word.as_bytes());
        found.then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.text.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.rows(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.figure(),
        }
    }

    fn table(&mut self) -> Option<Json> {
        let mut rows = BTreeMap::new();
        self.take(b'{')?;
        if self.take(b'}').is_some() {
            return Some(Json::Table(rows));
        }
        loop {
            self.space();
            let name = self.string()?;
            self.take(b':')?;
            rows.insert(name, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Table(rows));
            }
        }
    }

    fn rows(&mut self) -> Option<Json> {
        let mut rows = Vec::new();
        self.take(b'[')?;
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

    fn figure(&mut self) -> Option<Json> {
        let begin = self.at;
        let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
        while self.text.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.text[begin..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let code = *self.text.get(self.at)?;
                    self.at += 1;
                    let c = match code {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let number = u32::from_str_radix(digits, 16).ok()?;
                            char::from_u32(number).unwrap_or('\u{fffd}')
                        }
                        other => other as char,
                    };
                    bytes.extend(c.to_string().bytes());
                }
                other => bytes.push(other),
            }
        }
    }
}
