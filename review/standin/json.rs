//! JSON values: as much as the bodies of the platform's pages need.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(u64),
    Real(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Returns a member of a table, or null.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(members) => members.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }

    /// Returns a text, or an empty one for other values.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(number) => write!(f, "{number}"),
            Json::Real(number) => write!(f, "{number}"),
            Json::Text(text) => write_text(f, text),
            Json::List(items) => {
                f.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if index > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Json::Table(members) => {
                f.write_str("{")?;
                for (index, (name, value)) in members.iter().enumerate() {
                    f.write_str(if index > 0 { "," } else { "" })?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut std::fmt::Formatter<'_>, text: &str) -> std::fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' | '\\' => write!(f, "\\{c}")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
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
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.space();
        let is_next = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_next = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_next.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut members = BTreeMap::new();
                if self.take(b'}') {
                    return Some(Json::Table(members));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    if !self.take(b':') {
                        return None;
                    }
                    members.insert(name, self.value()?);
                    if self.take(b'}') {
                        return Some(Json::Table(members));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.take(b']') {
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.take(b']') {
                        return Some(Json::List(items));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            b'"' => Some(Json::Text(self.string()?)),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                match text.parse() {
                    Ok(number) => Some(Json::Number(number)),
                    Err(_) => text.parse().ok().map(Json::Real),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let c = match escape {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    bytes.extend_from_slice(c.to_string().as_bytes());
                }
                _ => bytes.push(byte),
            }
        }
    }
}

/// Makes a table from names and values.
pub fn table<const N: usize>(members: [(&str, Json); N]) -> Json {
    Json::Table(members.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

pub fn text(text: impl Into<String>) -> Json {
    Json::Text(text.into())
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    let mut encoded = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for position in 0..4 {
            match position <= chunk.len() {
                true => encoded.push(DIGITS[(bits >> (18 - 6 * position)) as usize & 63] as char),
                false => encoded.push('='),
            }
        }
    }
    encoded
}

/// Decodes a text from base64; an empty one if it is none.
pub fn base64_decode(encoded: &str) -> String {
    let mut bytes = Vec::new();
    for chunk in encoded.trim_end_matches('=').as_bytes().chunks(4) {
        let mut bits = 0_u32;
        for byte in chunk {
            let digit = DIGITS.iter().position(|digit| digit == byte).unwrap_or(0);
            bits = bits << 6 | digit as u32;
        }
        bits <<= 6 * (4 - chunk.len());
        bytes.extend(&bits.to_be_bytes()[1..chunk.len()]);
    }
    String::from_utf8(bytes).unwrap_or_default()
}
