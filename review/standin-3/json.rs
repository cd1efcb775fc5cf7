//! A small JSON reader and writer, so that the stand-ins need no library.

use std::fmt;

/// A JSON value. Objects keep the order of their members.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Integer(u64),
    Float(f64),
    Text(String),
    Array(Vec<Self>),
    Object(Vec<(String, Self)>),
}

impl Value {
    /// Makes an object from its members.
    pub fn object<const N: usize>(members: [(&str, Self); N]) -> Self {
        Self::Object(members.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
    }

    pub fn text(text: impl Into<String>) -> Self {
        Self::Text(text.into())
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        let Self::Object(members) = self else { return None };
        members.iter().find(|(found, _)| found == name).map(|(_, value)| value)
    }

    pub fn as_u64(&self) -> Option<u64> {
        if let Self::Integer(number) = self { Some(*number) } else { None }
    }

    pub fn as_str(&self) -> Option<&str> {
        if let Self::Text(text) = self { Some(text) } else { None }
    }

    pub fn as_array(&self) -> &[Self] {
        if let Self::Array(values) = self { values } else { &[] }
    }

    /// Returns the text of a member, or an empty one.
    pub fn str_of(&self, name: &str) -> String {
        self.get(name).and_then(Self::as_str).unwrap_or_default().to_owned()
    }

    /// Returns the number of a member, or zero.
    pub fn u64_of(&self, name: &str) -> u64 {
        self.get(name).and_then(Self::as_u64).unwrap_or_default()
    }

    /// Parses a document; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == parser.bytes.len()).then_some(value)
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Self::Integer(number)
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<bool> for Value {
    fn from(is_true: bool) -> Self {
        Self::Bool(is_true)
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(is_true) => write!(f, "{is_true}"),
            Self::Integer(number) => write!(f, "{number}"),
            Self::Float(number) => write!(f, "{number}"),
            Self::Text(text) => write_text(f, text),
            Self::Array(values) => {
                f.write_str("[")?;
                for (index, value) in values.iter().enumerate() {
                    write!(f, "{}{value}", if index == 0 { "" } else { "," })?;
                }
                f.write_str("]")
            }
            Self::Object(members) => {
                f.write_str("{")?;
                for (index, (name, value)) in members.iter().enumerate() {
                    f.write_str(if index == 0 { "" } else { "," })?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for character in text.chars() {
        match character {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if u32::from(c) < 0x20 => write!(f, "\\u{:04x}", u32::from(c))?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn next_is(&mut self, byte: u8) -> bool {
        self.skip_space();
        let is_next = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let is_next = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_next.then_some(value)
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.array(),
            b'"' => self.string().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.at += 1;
        let mut members = Vec::new();
        if self.next_is(b'}') {
            return Some(Value::Object(members));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            if !self.next_is(b':') {
                return None;
            }
            members.push((name, self.value()?));
            if self.next_is(b'}') {
                return Some(Value::Object(members));
            }
            if !self.next_is(b',') {
                return None;
            }
        }
    }

    fn array(&mut self) -> Option<Value> {
        self.at += 1;
        let mut values = Vec::new();
        if self.next_is(b']') {
            return Some(Value::Array(values));
        }
        loop {
            values.push(self.value()?);
            if self.next_is(b']') {
                return Some(Value::Array(values));
            }
            if !self.next_is(b',') {
                return None;
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let character = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => char::from(other),
                    };
                    text.extend_from_slice(character.encode_utf8(&mut [0; 4]).as_bytes());
                }
                other => text.push(other),
            }
        }
    }

    fn number(&mut self) -> Option<Value> {
        let begin = self.at;
        while self.bytes.get(self.at).is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[begin..self.at]).ok()?;
        let integer = text.parse().ok().map(Value::Integer);
        integer.or_else(|| text.parse().ok().map(Value::Float))
    }
}
